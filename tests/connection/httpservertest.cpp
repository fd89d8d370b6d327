#include "support/wait.h"

#include <connection/httpserver.h>

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace snipehill;

namespace
{

namespace asio = boost::asio;

/** A server on a free port that counts the requests that reach its handler. */
class CountingServer
{
public:
    explicit CountingServer(HttpServerLimits limits)
        : m_server(m_context.get_executor(), limits, [this](HttpExchange &exchange) {
            return answer(exchange);
        })
    {
        Reason reason;
        REQUIRE(m_server.start({"127.0.0.1", 0}, reason));
        m_thread = std::thread([this] {
            m_context.run();
        });
    }

    ~CountingServer()
    {
        m_context.stop();
        m_thread.join();
    }
    CountingServer(const CountingServer &) = delete;
    CountingServer &operator=(const CountingServer &) = delete;

    /** Sends the bytes, returns all that comes back until the server closes. */
    std::string exchange(const std::string &bytes)
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), m_server.port()});
        boost::system::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        return answer;
    }

    /** Sends the bytes and closes without waiting; true when the handler has learnt of it. */
    bool disconnectAfter(const std::string &bytes)
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), m_server.port()});
        const int before = m_handled;
        asio::write(socket, asio::buffer(bytes));
        const bool reached = support::waitUntil([&] {
            return m_handled > before;
        });
        socket.close();
        return reached && support::waitUntil([this] {
                   return m_disconnects > 0;
               });
    }

    int handled() const
    {
        return m_handled;
    }

private:
    asio::awaitable<void> answer(HttpExchange &exchange)
    {
        ++m_handled;
        if (exchange.request().target() == "/wait") {
            asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::seconds(20));
            exchange.onDisconnect([this, &timer] {
                ++m_disconnects;
                timer.cancel();
            });
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            co_return;
        }
        if (exchange.request().target() == "/throw") {
            throw std::runtime_error("handler failed");
        }
        HeaderList headers;
        co_await exchange.respond(200, std::move(headers), exchange.request().body());
    }

    asio::io_context m_context;
    std::atomic<int> m_handled{0};
    std::atomic<int> m_disconnects{0};
    HttpServer m_server;
    std::thread m_thread;
};

HttpServerLimits smallLimits()
{
    HttpServerLimits limits;
    limits.headerBytes = 1024;
    limits.bodyBytes = 64;
    limits.headerCount = 8;
    limits.idleTimeout = milliseconds(300);
    limits.requestTimeout = milliseconds(300);
    return limits;
}

std::string manyFields(int count)
{
    std::string fields;
    for (int i = 0; i < count; ++i) {
        fields += "X" + std::to_string(i) + ": 1\r\n";
    }
    return fields;
}

} // namespace

TEST_CASE("bad HTTP input gets its 4xx and reaches nothing", "[http]")
{
    struct Case
    {
        const char *what;
        std::string bytes;
        std::string statusLine;
    };
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
    const std::vector<Case> cases{
        {"no HTTP", "hello\r\n\r\n", "HTTP/1.1 400"},
        {"bad version", "GET / HTTP/9.9\r\n\r\n", "HTTP/1.1 400"},
        {"control bytes in the target", std::string("GET /\x01 HTTP/1.1\r\nHost: a\r\n\r\n"), "HTTP/1.1 400"},
        {"length and chunks", head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 400"},
        {"chunks and length", head + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", "HTTP/1.1 400"},
        {"two lengths", head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "HTTP/1.1 400"},
        {"negative length", head + "Content-Length: -1\r\n\r\n", "HTTP/1.1 400"},
        {"bad chunk size", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", "HTTP/1.1 400"},
        {"folded field", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", "HTTP/1.1 400"},
        {"continued line", "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n", "HTTP/1.1 400"},
        {"line feed alone", "GET / HTTP/1.1\r\nHost: a\nX: 1\r\n\r\n", "HTTP/1.1 400"},
        {"carriage return in a line", "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r2\r\n\r\n", "HTTP/1.1 400"},
        {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "HTTP/1.1 400"},
        {"two codings", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n", "HTTP/1.1 400"},
        {"body too long", head + "Content-Length: 65\r\n\r\n" + std::string(65, 'a'), "HTTP/1.1 413"},
        {"header too long", "GET / HTTP/1.1\r\nX: " + std::string(2000, 'a') + "\r\n\r\n", "HTTP/1.1 431"},
        {"too many fields", "GET / HTTP/1.1\r\n" + manyFields(9) + "\r\n", "HTTP/1.1 431"},
        {"head that never ends", "GET / HTTP/1.1\r\nX: 1\r\n", "HTTP/1.1 408"},
        {"body that never ends", head + "Content-Length: 10\r\n\r\nabc", "HTTP/1.1 408"},
    };
    CountingServer server(smallLimits());
    for (const Case &c : cases) {
        INFO(c.what);
        const std::string answer = server.exchange(c.bytes);
        CHECK(answer.substr(0, c.statusLine.size()) == c.statusLine);
        CHECK(server.handled() == 0);
    }
}

TEST_CASE("a handler learns at once that its client has left", "[http]")
{
    CountingServer server(smallLimits());
    CHECK(server.disconnectAfter("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"));
}

TEST_CASE("requests on one connection are answered in order, a failing handler costs one exchange", "[http]")
{
    CountingServer server(smallLimits());
    const std::string two = server.exchange(
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1"
        "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nConnection: close\r\n\r\n2");
    const auto first = two.find("\r\n\r\n1");
    REQUIRE(first != std::string::npos);
    CHECK(two.find("\r\n\r\n2") > first);
    CHECK(server.exchange("GET /throw HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 500"));
    CHECK(server.exchange("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
    CHECK(server.handled() == 4);
}
