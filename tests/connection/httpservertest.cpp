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

/** Server on a free port that counts the requests that reach its handler. */
class CountingServer
{
public:
    explicit CountingServer(HttpServerLimits limits)
        : m_server(m_context.get_executor(), limits, [this](HttpExchange &exchange) {
            return handleRequest(exchange);
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

    /** Sends the bytes and returns everything received until the server closes the connection. */
    std::string exchange(const std::string &bytes)
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), m_server.port()});
        boost::system::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        std::string response;
        asio::read(socket, asio::dynamic_buffer(response), error);
        return response;
    }

    /** Sends the bytes and closes the connection once the handler runs; true if the handler was notified of it. */
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
    asio::awaitable<void> handleRequest(HttpExchange &exchange)
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

TEST_CASE("invalid HTTP requests get a 4xx response and do not reach the handler", "[http]")
{
    struct Case
    {
        const char *description;
        std::string bytes;
        std::string statusLine;
    };
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
    const std::vector<Case> cases{
        {"not HTTP", "hello\r\n\r\n", "HTTP/1.1 400"},
        {"unsupported version", "GET / HTTP/9.9\r\n\r\n", "HTTP/1.1 400"},
        {"control bytes in the target", std::string("GET /\x01 HTTP/1.1\r\nHost: a\r\n\r\n"), "HTTP/1.1 400"},
        {"Content-Length and chunked coding", head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 400"},
        {"chunked coding and Content-Length", head + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", "HTTP/1.1 400"},
        {"repeated Content-Length", head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "HTTP/1.1 400"},
        {"negative Content-Length", head + "Content-Length: -1\r\n\r\n", "HTTP/1.1 400"},
        {"invalid chunk size", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", "HTTP/1.1 400"},
        {"space before the colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", "HTTP/1.1 400"},
        {"folded line", "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n", "HTTP/1.1 400"},
        {"line feed without carriage return", "GET / HTTP/1.1\r\nHost: a\nX: 1\r\n\r\n", "HTTP/1.1 400"},
        {"carriage return within a line", "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r2\r\n\r\n", "HTTP/1.1 400"},
        {"repeated Host", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "HTTP/1.1 400"},
        {"repeated Transfer-Encoding", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n", "HTTP/1.1 400"},
        {"body too large", head + "Content-Length: 65\r\n\r\n" + std::string(65, 'a'), "HTTP/1.1 413"},
        {"header section too large", "GET / HTTP/1.1\r\nX: " + std::string(2000, 'a') + "\r\n\r\n", "HTTP/1.1 431"},
        {"too many header fields", "GET / HTTP/1.1\r\n" + manyFields(9) + "\r\n", "HTTP/1.1 431"},
        {"incomplete header section", "GET / HTTP/1.1\r\nX: 1\r\n", "HTTP/1.1 408"},
        {"incomplete body", head + "Content-Length: 10\r\n\r\nabc", "HTTP/1.1 408"},
    };
    CountingServer server(smallLimits());
    for (const Case &c : cases) {
        INFO(c.description);
        const std::string response = server.exchange(c.bytes);
        CHECK(response.substr(0, c.statusLine.size()) == c.statusLine);
        CHECK(server.handled() == 0);
    }
}

TEST_CASE("a running handler is notified when its client disconnects", "[http]")
{
    CountingServer server(smallLimits());
    CHECK(server.disconnectAfter("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"));
}

TEST_CASE("pipelined requests are answered in order and an exception in a handler affects only its own exchange", "[http]")
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
