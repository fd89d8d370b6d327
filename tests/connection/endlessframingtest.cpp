#include "platform/storehost.h"

#include <connection/httpclient.h>
#include <connection/httpserver.h>

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace snipehill;

namespace
{

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::size_t maxTakenBytes = 24U << 20U; // socket buffers of both ends; the receiver itself keeps far less
constexpr std::size_t maxSentBytes = 512U << 20U; // a sender stops here even if the receiver goes on
constexpr milliseconds timeLimit{5000};

/** Sends bytes, then one block again and again until the receiver closes the connection; returns the number of bytes that were taken. */
std::size_t sendWithoutEnd(Tcp::socket &socket, const std::string &begin, const std::string &block)
{
    std::string blocks;
    while (blocks.size() < 65536) {
        blocks += block;
    }
    boost::system::error_code error;
    std::size_t taken = asio::write(socket, asio::buffer(begin), error);
    while (!error && taken < maxSentBytes) {
        taken += asio::write(socket, asio::buffer(blocks), error);
    }
    return taken;
}

/** Answers the first request on one connection without end. */
class EndlessServer
{
public:
    EndlessServer(std::string begin, std::string block) : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        m_thread = std::thread([this, begin = std::move(begin), block = std::move(block)] {
            Tcp::socket socket = m_acceptor.accept();
            std::string request;
            boost::system::error_code error;
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
            m_taken = sendWithoutEnd(socket, begin, block);
        });
    }
    ~EndlessServer()
    {
        m_thread.join();
    }
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }
    /** Waits until the connection was closed. */
    std::size_t taken()
    {
        if (m_thread.joinable()) {
            m_thread.join();
            m_thread = std::thread([] {});
        }
        return m_taken;
    }

private:
    asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_taken{0};
    std::thread m_thread;
};

/** How a peer was given up. */
struct GivenUp
{
    bool complete = false; //!< a whole response was taken from it
    ConnectionResult result = ConnectionResult::Success;
    Reason reason;
};

/** Reads a response over a persistent connection and discards its body. */
asio::awaitable<GivenUp> readOverConnection(Endpoint server)
{
    HttpConnection connection(co_await asio::this_coro::executor);
    HttpRequest request(boost::beast::http::verb::get, "/", 11);
    GivenUp given;
    given.complete = co_await connection.connect(std::move(server), timeLimit, given.reason) && co_await connection.send(request, timeLimit, given.reason)
        && co_await connection.readHead(timeLimit, given.reason);
    for (bool more = given.complete; more;) {
        const auto piece = co_await connection.readSome(timeLimit, given.reason);
        given.complete = piece.has_value();
        more = piece && !piece->empty();
    }
    given.result = connection.result();
    connection.abort();
    co_return given;
}

asio::awaitable<GivenUp> readOverCall(Endpoint server)
{
    GivenUp given;
    HttpCall call{.peer = std::move(server), .timeout = timeLimit};
    given.complete = (co_await httpCall(std::move(call), given.reason)).has_value();
    given.result = ConnectionResult::Overlong;
    co_return given;
}

template<typename Result> Result run(asio::awaitable<Result> work)
{
    asio::io_context context;
    auto result = asio::co_spawn(context, std::move(work), asio::use_future);
    context.run();
    return result.get();
}

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against a peer whose response has framing without end, which fills the memory of the process that reads it.
TEST_CASE("Framing of a response that has no end is given up at once", "[connection][endless]")
{
    struct Case
    {
        const char *what;
        std::string begin;
        std::string block;
    };
    const std::vector<Case> cases{
        {"status line", "HTTP/1.1 200 ", "x"},
        {"name of a header field", "HTTP/1.1 200 OK\r\nX-", "x"},
        {"value of a header field", "HTTP/1.1 200 OK\r\nX: ", "x"},
        {"header fields", "HTTP/1.1 200 OK\r\n", "X: x\r\n"},
        {"folded header field", "HTTP/1.1 200 OK\r\nX: x\r\n", " x\r\n"},
        {"head of an interim response", "HTTP/1.1 103 Early Hints\r\n", "X: x\r\n"},
        {"chunk size", chunkedHead, "0"},
        {"chunk extension", chunkedHead + "5;a=", "x"},
        {"chunk extensions", chunkedHead + "5", ";a=x"},
        {"quoted chunk extension", chunkedHead + "5;a=\"", "x"},
        {"extension of a later chunk", chunkedHead + "4\r\nbody\r\n5;a=", "x"},
        {"extension of the last chunk", chunkedHead + "4\r\nbody\r\n0;a=", "x"},
        {"value of a trailer field", chunkedHead + "4\r\nbody\r\n0\r\nX: ", "x"},
        {"trailer fields", chunkedHead + "4\r\nbody\r\n0\r\n", "X: x\r\n"},
    };
    for (const Case &c : cases) {
        for (const bool persistent : {true, false}) {
            INFO(c.what << (persistent ? " on a persistent connection" : " in a single call"));
            EndlessServer server(c.begin, c.block);
            const TimePoint began = Clock::now();
            const GivenUp given = run(persistent ? readOverConnection(server.endpoint()) : readOverCall(server.endpoint()));
            CHECK(!given.complete);
            CHECK(!given.reason.detail.empty());
            CHECK(Clock::now() - began < timeLimit);
            CHECK(given.result != ConnectionResult::TimedOut);
            CHECK(server.taken() < maxTakenBytes);
        }
    }
}

// Guards against a wait that starts anew with each byte, so that a slow peer outlasts the time of the request.
TEST_CASE("The wait for a part of a body ends in time although framing keeps arriving", "[connection][endless]")
{
    asio::io_context serverContext;
    Tcp::acceptor acceptor(serverContext, {asio::ip::make_address("127.0.0.1"), 0});
    std::thread slowServer([&acceptor] {
        Tcp::socket socket = acceptor.accept();
        boost::system::error_code error;
        asio::write(socket, asio::buffer(chunkedHead + "5;a="), error);
        for (int i = 0; !error && i < 200; ++i) {
            std::this_thread::sleep_for(milliseconds(20));
            asio::write(socket, asio::buffer("x", 1), error);
        }
    });
    const auto read = [](Endpoint server) -> asio::awaitable<Duration> {
        HttpConnection connection(co_await asio::this_coro::executor);
        HttpRequest request(boost::beast::http::verb::get, "/", 11);
        Reason reason;
        const bool head = co_await connection.connect(std::move(server), timeLimit, reason) && co_await connection.send(request, timeLimit, reason)
            && co_await connection.readHead(timeLimit, reason);
        REQUIRE(head);
        const TimePoint began = Clock::now();
        CHECK(!co_await connection.readSome(milliseconds(300), reason));
        CHECK(connection.result() == ConnectionResult::TimedOut);
        connection.abort();
        co_return Clock::now() - began;
    };
    CHECK(run(read({"127.0.0.1", acceptor.local_endpoint().port()})) < seconds(2));
    slowServer.join();
}

// Guards against a store, or what answers in its place, that fills the memory of the process with one response.
TEST_CASE("A response of the store that has no end is given up", "[connection][endless]")
{
    struct Case
    {
        const char *what;
        std::string begin;
        std::string block;
    };
    const std::string lengthHead = "HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\n";
    const std::vector<Case> cases{
        {"body with a length", lengthHead, "x"},
        {"body in chunks", chunkedHead, "5\r\nxxxxx\r\n"},
        {"body that ends with the connection", "HTTP/1.1 200 OK\r\n\r\n", "x"},
        {"chunk extension", chunkedHead + "5;a=", "x"},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        EndlessServer server(c.begin, c.block);
        platform::StoreClient store(server.endpoint());
        Reason reason;
        CHECK(!run(store.readNewest("keyed.op", timeLimit, reason)));
        CHECK(reason.step == Step::LogRead);
        CHECK(server.taken() < maxTakenBytes + (8U << 20U));
    }
}

// Guards against clients whose requests have framing without end, which fill the memory of the process.
TEST_CASE("Framing of a request that has no end is rejected at once", "[http][endless]")
{
    struct Case
    {
        const char *what;
        std::string begin;
        std::string block;
        std::string statusLine;
    };
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<Case> cases{
        {"request target", "GET /", "x", "HTTP/1.1 431"},
        {"header fields", head, "X: x\r\n", "HTTP/1.1 431"},
        {"chunk size", chunked, "0", "HTTP/1.1 400"},
        {"chunk extension", chunked + "5;a=", "x", "HTTP/1.1 400"},
        {"extension of a later chunk", chunked + "4\r\nbody\r\n5;a=", "x", "HTTP/1.1 400"},
        {"trailer fields", chunked + "4\r\nbody\r\n0\r\n", "X: x\r\n", "HTTP/1.1 400"},
        {"body in chunks", chunked, "5\r\nxxxxx\r\n", "HTTP/1.1 413"},
    };
    asio::io_context serverContext;
    std::atomic<int> handled{0};
    HttpServer server(serverContext.get_executor(), {}, [&handled](HttpExchange &exchange) -> asio::awaitable<void> {
        ++handled;
        HeaderList headers;
        co_await exchange.respond(200, std::move(headers), "");
    });
    Reason reason;
    REQUIRE(server.start({"127.0.0.1", 0}, reason));
    std::thread serverThread([&serverContext] {
        serverContext.run();
    });
    for (const Case &c : cases) {
        INFO(c.what);
        asio::io_context context;
        Tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        const TimePoint began = Clock::now();
        std::atomic<std::size_t> taken{0};
        std::thread sender([&] {
            taken = sendWithoutEnd(socket, c.begin, c.block);
        });
        std::string response;
        boost::system::error_code error;
        asio::read_until(socket, asio::dynamic_buffer(response), "\r\n\r\n", error);
        CHECK(response.substr(0, c.statusLine.size()) == c.statusLine);
        sender.join();
        CHECK(Clock::now() - began < timeLimit);
        CHECK(taken < maxTakenBytes + (32U << 20U)); // what the server reads and discards, so that the client can read the response
    }
    CHECK(handled == 0);
    serverContext.stop();
    serverThread.join();
}
