#include <connection/httpclient.h>

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace snipehill;

namespace
{

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/** Answers one request on each of a number of connections with the given bytes and closes the connection in order. */
class BreakingServer
{
public:
    explicit BreakingServer(std::vector<std::string> answers) : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        m_thread = std::thread([this, answers = std::move(answers)] {
            for (const std::string &answer : answers) {
                Tcp::socket socket = m_acceptor.accept();
                std::string request;
                boost::system::error_code error;
                asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
                asio::write(socket, asio::buffer(answer), error);
            }
        });
    }
    ~BreakingServer()
    {
        m_thread.join();
    }
    BreakingServer(const BreakingServer &) = delete;
    BreakingServer &operator=(const BreakingServer &) = delete;

    Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/** Whether a persistent connection takes the answer for a whole response. */
asio::awaitable<bool> readsWhole(Endpoint server)
{
    HttpConnection connection(co_await asio::this_coro::executor);
    HttpRequest request(boost::beast::http::verb::get, "/", 11);
    Reason reason;
    bool whole = co_await connection.connect(std::move(server), seconds(5), reason) && co_await connection.send(request, seconds(5), reason)
        && co_await connection.readHead(seconds(5), reason);
    for (bool more = whole; more;) {
        const auto piece = co_await connection.readSome(seconds(5), reason);
        whole = piece.has_value();
        more = piece && !piece->empty();
    }
    CHECK((whole || !connection.isReusable()));
    connection.abort();
    co_return whole;
}

asio::awaitable<bool> callSucceeds(Endpoint server)
{
    Reason reason;
    HttpCall call{.peer = std::move(server)};
    co_return (co_await httpCall(std::move(call), reason)).has_value();
}

} // namespace

// Guards against a response that breaks off being passed on as a whole one with an empty or short body.
TEST_CASE("A response that ends at any byte before its end is not taken for a whole one", "[connection]")
{
    struct Case
    {
        const char *what;
        std::string head;
        std::string body;
        bool endMarked; //!< the head says where the body ends
    };
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::vector<Case> cases{
        {"length first", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nServer-Seal: s\r\n\r\n", "body", true},
        {"length last", "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nConnection: close\r\nContent-Length: 12\r\n\r\n", "body of 12 b", true},
        {"empty body", "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n", "", true},
        {"chunks", "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n", true},
        {"after an interim response", interim + "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\n", "body", true},
        {"no reason phrase", "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\n", "body", true},
        {"HTTP/1.0", "HTTP/1.0 200 OK\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\n", "body", true},
        {"end of the connection as the end", "HTTP/1.1 200 OK\r\nServer-Seal: s\r\n\r\n", "body", false},
    };
    for (const Case &c : cases) {
        const std::string bytes = c.head + c.body;
        std::vector<std::string> answers;
        for (std::size_t size = 0; size <= bytes.size(); ++size) {
            answers.insert(answers.end(), 2, bytes.substr(0, size));
        }
        const BreakingServer server(answers);
        for (std::size_t size = 0; size <= bytes.size(); ++size) {
            INFO(c.what << ", " << size << " of " << bytes.size() << " bytes");
            const bool whole = c.endMarked ? size == bytes.size() : size >= c.head.size();
            asio::io_context context;
            auto onConnection = asio::co_spawn(context, readsWhole(server.endpoint()), asio::use_future);
            context.run();
            CHECK(onConnection.get() == whole);
            context.restart();
            auto inOneCall = asio::co_spawn(context, callSucceeds(server.endpoint()), asio::use_future);
            context.run();
            CHECK(inOneCall.get() == whole);
        }
    }
}

// Guards against a body that is passed on in a coding that the caller was not told of.
TEST_CASE("A response with a transfer coding other than chunked is not taken for a whole one", "[connection][smuggling]")
{
    for (const char *coding : {"gzip", "gzip, chunked", "chunked, gzip", "identity", "xchunked"}) {
        INFO(coding);
        const std::string answer = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: ") + coding + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
        BreakingServer server({answer, answer});
        asio::io_context context;
        auto whole = asio::co_spawn(context, readsWhole(server.endpoint()), asio::use_future);
        context.run();
        CHECK(!whole.get());
        context.restart();
        auto succeeds = asio::co_spawn(context, callSucceeds(server.endpoint()), asio::use_future);
        context.run();
        CHECK(!succeeds.get());
    }
}
