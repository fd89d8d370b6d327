#include <connection/httpclient.h>

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>

#include <array>
#include <future>
#include <string>
#include <thread>

using namespace snipehill;

namespace
{

namespace asio = boost::asio;

constexpr std::size_t bodyBytes = 32U << 20U; // more than the socket buffers of both ends hold

/** Accepts one connection and reads from it after a pause, until its end. */
class PausingServer
{
public:
    explicit PausingServer(milliseconds pause) : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        m_thread = std::thread([this, pause] {
            asio::ip::tcp::socket socket = m_acceptor.accept();
            std::this_thread::sleep_for(pause);
            std::array<char, 65536> buffer{};
            boost::system::error_code error;
            while (!error) {
                socket.read_some(asio::buffer(buffer), error);
            }
        });
    }
    ~PausingServer()
    {
        m_thread.join();
    }
    PausingServer(const PausingServer &) = delete;
    PausingServer &operator=(const PausingServer &) = delete;

    Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

asio::awaitable<bool> sendAfterConnect(HttpConnection &connection, Endpoint peer, milliseconds connectTimeout, Reason &reason)
{
    HttpRequest request(boost::beast::http::verb::post, "/", 11);
    request.body().assign(bodyBytes, 'x');
    request.prepare_payload();
    const bool sent = co_await connection.connect(std::move(peer), connectTimeout, reason) && co_await connection.send(request, seconds(10), reason);
    connection.abort();
    co_return sent;
}

} // namespace

// Guards against a connection that inherits the little time its first request had left, and breaks under later requests.
TEST_CASE("The timeout of a connect does not limit how long the peer may pause afterwards", "[connection]")
{
    struct Case
    {
        milliseconds connectTimeout;
        milliseconds pause;
    };
    for (const Case &c : {Case{milliseconds(400), milliseconds(0)}, Case{milliseconds(50), milliseconds(1000)}, Case{milliseconds(400), milliseconds(1000)}}) {
        INFO("connect timeout " << c.connectTimeout.count() << " ms, pause " << c.pause.count() << " ms");
        PausingServer server(c.pause);
        asio::io_context context;
        HttpConnection connection(context.get_executor());
        Reason reason;
        auto sent = asio::co_spawn(context, sendAfterConnect(connection, server.endpoint(), c.connectTimeout, reason), asio::use_future);
        context.run();
        CHECK(sent.get());
        CHECK(reason.detail.empty());
    }
}
