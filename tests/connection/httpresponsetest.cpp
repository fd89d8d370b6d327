#include "support/wait.h"

#include <connection/httpserver.h>

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace snipehill;

namespace
{

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/** Server on a free port that runs the given handler on one thread. */
class HandlerServer
{
public:
    explicit HandlerServer(HttpHandler handler) : m_server(m_context.get_executor(), limits(), std::move(handler))
    {
        Reason reason;
        REQUIRE(m_server.start({"127.0.0.1", 0}, reason));
        m_thread = std::thread([this] {
            m_context.run();
        });
    }
    ~HandlerServer()
    {
        m_context.stop();
        m_thread.join();
    }
    HandlerServer(const HandlerServer &) = delete;
    HandlerServer &operator=(const HandlerServer &) = delete;

    Tcp::socket connect(asio::io_context &context) const
    {
        Tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), m_server.port()});
        return socket;
    }

    /** Handles what is ready on another thread, so that events of the calling handler's connection are queued on its strand. */
    void pollOnOtherThread()
    {
        std::thread([this] {
            m_context.poll();
        }).join();
    }

    std::size_t activeExchanges() const
    {
        return m_server.activeExchanges();
    }

private:
    static HttpServerLimits limits()
    {
        HttpServerLimits limits;
        limits.headerBytes = 1024;
        limits.bodyBytes = 64;
        limits.headerCount = 8;
        return limits;
    }

    asio::io_context m_context;
    HttpServer m_server;
    std::thread m_thread;
};

struct Received
{
    std::string bytes;
    boost::system::error_code writeError;
    boost::system::error_code readError; //!< end of file if the server closed the connection in order
};

/** Sends all parts, one after the other, before reading anything; then reads until the connection ends. */
Received exchange(const HandlerServer &server, const std::vector<std::string> &parts)
{
    asio::io_context context;
    Tcp::socket socket = server.connect(context);
    Received received;
    for (const std::string &part : parts) {
        if (!received.writeError) {
            asio::write(socket, asio::buffer(part), received.writeError);
        }
    }
    if (!received.writeError) {
        socket.shutdown(Tcp::socket::shutdown_send, received.writeError);
    }
    asio::read(socket, asio::dynamic_buffer(received.bytes), received.readError);
    return received;
}

/** Handler that responds with 200 and an empty body. */
asio::awaitable<void> respondOk(HttpExchange &exchange)
{
    HeaderList headers;
    co_await exchange.respond(200, std::move(headers), "");
}

std::string firstLine(const std::string &response)
{
    return response.substr(0, response.find("\r\n"));
}

} // namespace

// Guards against a reset that destroys the response because received bytes were still unread when the connection was closed.
TEST_CASE("A caller that still sends when its response is written gets the response and an orderly close", "[http]")
{
    struct Case
    {
        const char *description;
        std::string head;
        std::string statusLine;
    };
    const std::vector<Case> cases{
        {"body over the limit", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4194304\r\n\r\n", "HTTP/1.1 413 Payload Too Large"},
        {"header section over the limit", "POST / HTTP/1.1\r\nX: " + std::string(2000, 'a') + "\r\n\r\n", "HTTP/1.1 431 Request Header Fields Too Large"},
        {"too many header fields",
         "POST / HTTP/1.1\r\nA: 1\r\nB: 1\r\nC: 1\r\nD: 1\r\nE: 1\r\nF: 1\r\nG: 1\r\nH: 1\r\nI: 1\r\n\r\n",
         "HTTP/1.1 431 Request Header Fields Too Large"},
        {"not HTTP", "hello\r\n\r\n", "HTTP/1.1 400 Bad Request"},
        {"bytes behind a request that asks for the close", "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "HTTP/1.1 200 OK"},
    };
    const HandlerServer server(respondOk);
    const std::string rest(4U << 20U, 'a');
    for (const Case &c : cases) {
        INFO(c.description);
        const Received received = exchange(server, {c.head, rest});
        CHECK(received.writeError.message() == "Success");
        CHECK(firstLine(received.bytes) == c.statusLine);
        CHECK(received.readError == asio::error::eof);
    }
}

// Guards against a drain that waits for callers that keep a closed connection open.
TEST_CASE("A connection that waits for its caller's close is no active exchange and ends soon", "[http]")
{
    const HandlerServer server(respondOk);
    asio::io_context context;
    Tcp::socket socket = server.connect(context);
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")));
    std::string response;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(response), error);
    CHECK(error == asio::error::eof);
    CHECK(support::waitUntil([&] {
        return server.activeExchanges() == 0;
    }));
    // Writing fails once the server has closed its side.
    CHECK(support::waitUntil([&] {
        boost::system::error_code writeError;
        socket.write_some(asio::buffer("a", 1), writeError);
        return writeError.failed();
    }));
}

// Guards against a call of a callback whose handler has ended with an exception and whose captured state is destroyed.
TEST_CASE("The disconnect callback of a handler that threw is never called", "[http]")
{
    std::atomic<int> started{0};
    std::atomic<int> lateCalls{0};
    std::atomic<bool> closed{false};
    HandlerServer *running = nullptr;
    HandlerServer server([&](HttpExchange &exchange) -> asio::awaitable<void> {
        struct Frame
        {
            ~Frame()
            {
                *ended = true;
            }
            std::shared_ptr<bool> ended = std::make_shared<bool>(false);
        };
        const Frame frame;
        exchange.onDisconnect([&lateCalls, ended = frame.ended] {
            lateCalls += *ended ? 1 : 0;
        });
        ++started;
        support::waitUntil([&] {
            return closed.load();
        });
        // Queues the event of the close behind this handler on the strand, so that it is handled before the response to the exception is written.
        running->pollOnOtherThread();
        throw std::runtime_error("handler failed");
        co_return;
    });
    running = &server;
    asio::io_context context;
    Tcp::socket socket = server.connect(context);
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    REQUIRE(support::waitUntil([&] {
        return started > 0;
    }));
    socket.close();
    closed = true;
    REQUIRE(support::waitUntil([&] {
        return server.activeExchanges() == 0;
    }));
    CHECK(lateCalls == 0);
}

// Guards against a request without an answer because only std::exception was caught.
TEST_CASE("A handler that throws something other than std::exception is answered with 500", "[http]")
{
    const HandlerServer server([](HttpExchange &) -> asio::awaitable<void> {
        throw 1; // NOLINT(hicpp-exception-baseclass)
        co_return;
    });
    const Received received = exchange(server, {"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"});
    CHECK(firstLine(received.bytes) == "HTTP/1.1 500 Internal Server Error");
}

// Guards against responses that end as an abort or as an invalid message because of their status or of the request's method.
TEST_CASE("A response is sent as a valid message whatever its status and the method of its request", "[http]")
{
    struct Case
    {
        const char *description;
        const char *method;
        unsigned status;
        const char *body;
        bool stream;
        std::string statusLine;
        std::string receivedBody;
        bool hasLength;
    };
    const std::vector<Case> cases{
        {"success without a name", "GET", 299, "ab", false, "HTTP/1.1 299 ", "ab", true},
        {"client error without a name", "GET", 498, "ab", false, "HTTP/1.1 498 ", "ab", true},
        {"server error without a name", "GET", 599, "ab", false, "HTTP/1.1 599 ", "ab", true},
        {"stream with a status without a name", "GET", 299, "ab", true, "HTTP/1.1 299 ", "2\r\nab\r\n0\r\n\r\n", false},
        {"no content", "GET", 204, "", false, "HTTP/1.1 204 ", "", false},
        {"no content, with a body", "GET", 204, "ab", false, "HTTP/1.1 204 ", "", false},
        {"not modified, with a body", "GET", 304, "ab", false, "HTTP/1.1 304 ", "", false},
        {"HEAD", "HEAD", 200, "ab", false, "HTTP/1.1 200 ", "", true},
        {"HEAD without a known length", "HEAD", 200, "", false, "HTTP/1.1 200 ", "", false},
        {"stream in response to HEAD", "HEAD", 200, "ab", true, "HTTP/1.1 200 ", "", false},
        {"stream without content", "GET", 204, "ab", true, "HTTP/1.1 204 ", "", false},
        {"status 000", "GET", 0, "ab", false, "HTTP/1.1 500 ", "internal error", true},
        {"interim status", "GET", 101, "ab", false, "HTTP/1.1 500 ", "internal error", true},
        {"status above 599", "GET", 600, "ab", false, "HTTP/1.1 500 ", "internal error", true},
        {"stream with status 000", "GET", 0, "ab", true, "HTTP/1.1 500 ", "internal error", true},
    };
    for (const Case &c : cases) {
        INFO(c.description);
        const HandlerServer server([&c](HttpExchange &exchange) -> asio::awaitable<void> {
            HeaderList headers;
            if (c.stream) {
                co_await exchange.beginStream(c.status, std::move(headers));
                co_await exchange.write(c.body);
                co_await exchange.finish();
            } else {
                co_await exchange.respond(c.status, std::move(headers), c.body);
            }
        });
        const Received received = exchange(server, {std::string(c.method) + " / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"});
        CHECK(received.bytes.substr(0, c.statusLine.size()) == c.statusLine);
        const auto headEnd = received.bytes.find("\r\n\r\n");
        REQUIRE(headEnd != std::string::npos);
        CHECK(received.bytes.substr(headEnd + 4) == c.receivedBody);
        CHECK((received.bytes.find("Content-Length: ") < headEnd) == c.hasLength);
        CHECK(received.readError == asio::error::eof);
    }
}
