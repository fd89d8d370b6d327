#include <connection/httpclient.h>

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace snipehill;

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

/** Target that accepts one connection, reads a request and answers with the given bytes; it keeps the connection open. */
class ScriptedTarget
{
public:
    explicit ScriptedTarget(std::string response) : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}), m_socket(m_context)
    {
        m_thread = std::thread([this, response = std::move(response)] {
            boost::system::error_code ignored;
            m_acceptor.accept(m_socket, ignored);
            std::string request;
            asio::read_until(m_socket, asio::dynamic_buffer(request), "\r\n\r\n", ignored);
            asio::write(m_socket, asio::buffer(response), ignored);
        });
    }
    ~ScriptedTarget()
    {
        m_thread.join();
    }
    ScriptedTarget(const ScriptedTarget &) = delete;
    ScriptedTarget &operator=(const ScriptedTarget &) = delete;

    Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    Tcp::socket m_socket;
    std::thread m_thread;
};

struct TargetAnswer
{
    bool complete = false;
    bool reusable = false;
    unsigned status = 0;
    std::string body;
    Reason reason;
};

asio::awaitable<void> callTarget(Endpoint endpoint, http::verb method, TargetAnswer &answer)
{
    constexpr milliseconds timeout{1000};
    HttpConnection connection(co_await asio::this_coro::executor);
    HttpRequest request(method, "/", 11);
    request.set(http::field::host, "a");
    const bool headReceived = co_await connection.connect(endpoint, timeout, answer.reason) && co_await connection.send(request, timeout, answer.reason)
        && co_await connection.readHead(timeout, answer.reason);
    if (!headReceived) {
        co_return;
    }
    answer.status = connection.head().result_int();
    while (auto part = co_await connection.readSome(timeout, answer.reason)) {
        if (part->empty()) {
            answer.complete = true;
            break;
        }
        answer.body += *part;
    }
    answer.reusable = connection.isReusable();
}

} // namespace

// Guards against a complete response of a target that is taken for a broken one, or an interim response that is taken for the final one.
TEST_CASE("The final response of a target is read whole whatever its method and what precedes it", "[http]")
{
    struct Case
    {
        const char *description;
        http::verb method;
        std::string response;
        unsigned status;
        std::string body;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
    const std::vector<Case> cases{
        {"plain", http::verb::get, ok + "ab", 200, "ab"},
        {"HEAD", http::verb::head, ok, 200, ""},
        {"HEAD, chunked", http::verb::head, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 200, ""},
        {"continue", http::verb::get, "HTTP/1.1 100 Continue\r\n\r\n" + ok + "ab", 200, "ab"},
        {"early hints twice", http::verb::get, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + ok + "ab", 200, "ab"},
        {"early hints, then HEAD", http::verb::head, "HTTP/1.1 103 Early Hints\r\n\r\n" + ok, 200, ""},
    };
    for (const Case &c : cases) {
        INFO(c.description);
        ScriptedTarget target(c.response);
        TargetAnswer answer;
        asio::io_context context;
        asio::co_spawn(context, callTarget(target.endpoint(), c.method, answer), asio::detached);
        context.run();
        INFO(answer.reason.detail);
        CHECK(answer.complete);
        CHECK(answer.reusable);
        CHECK(answer.status == c.status);
        CHECK(answer.body == c.body);
    }
}
