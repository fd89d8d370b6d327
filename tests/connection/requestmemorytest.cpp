#include "support/wait.h"

#include <connection/httpserver.h>

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace snipehill;

namespace
{

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::size_t budgetBytes = 4U << 20U;
constexpr std::size_t bodyBytes = 200000;
constexpr int clients = 40; // more than the budget allows at once
constexpr int maxChargeFactor = 6; // three copies of a body, whose buffer may be twice as large

/** Sends the bytes, then the last byte once the gate opens, and returns what is received until the connection ends. */
std::string upload(std::uint16_t port, const std::string &bytes, const std::shared_future<void> &gate)
{
    asio::io_context context;
    Tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes.data(), bytes.size() - 1), error);
    gate.wait();
    asio::write(socket, asio::buffer(bytes.data() + bytes.size() - 1, 1), error);
    std::string response;
    asio::read(socket, asio::dynamic_buffer(response), error);
    return response;
}

} // namespace

// Guards against clients that fill the memory of the process with requests that are being received.
TEST_CASE("Requests beyond the memory for requests are refused as not run, the others are served", "[http][memory]")
{
    struct Case
    {
        const char *what;
        std::string bytes;
    };
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n";
    const std::string body(bodyBytes, 'x');
    std::string chunks;
    for (std::size_t at = 0; at < bodyBytes; at += 1000) {
        chunks += "3e8\r\n" + body.substr(at, 1000) + "\r\n";
    }
    const std::vector<Case> cases{
        {"bodies with a length", head + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + body},
        {"bodies in chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n"},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        asio::io_context context;
        MemoryBudget memory(budgetBytes);
        HttpServerLimits limits;
        limits.requestMemory = &memory;
        std::atomic<int> rejected{0};
        HttpServerObserver observer;
        observer.onRejected = [&rejected](unsigned status, std::string_view, const std::string &) {
            rejected += status == 503 ? 1 : 0;
        };
        HttpServer server(
            context.get_executor(),
            limits,
            [](HttpExchange &exchange) -> asio::awaitable<void> {
                HeaderList headers;
                co_await exchange.respond(200, std::move(headers), std::to_string(exchange.request().body().size()));
            },
            observer);
        Reason reason;
        REQUIRE(server.start({"127.0.0.1", 0}, reason));
        std::thread thread([&context] {
            context.run();
        });
        std::promise<void> opened;
        const std::shared_future<void> gate = opened.get_future().share();
        std::vector<std::future<std::string>> responses;
        responses.reserve(clients);
        for (int i = 0; i < clients; ++i) {
            responses.push_back(std::async(std::launch::async, upload, server.port(), c.bytes, gate));
        }
        CHECK(support::waitUntil([&rejected] {
            return rejected > 0;
        }));
        CHECK(memory.usedBytes() <= budgetBytes);
        opened.set_value();
        int served = 0;
        for (std::future<std::string> &pending : responses) {
            const std::string response = pending.get();
            const bool whole = response.starts_with("HTTP/1.1 200") && response.ends_with("\r\n\r\n" + std::to_string(bodyBytes));
            const bool refused = response.starts_with("HTTP/1.1 503") && response.find("Retry-After: 1\r\n") != std::string::npos
                && response.find("\"not_run\"") != std::string::npos;
            CHECK((whole || refused));
            served += whole ? 1 : 0;
        }
        CHECK(served + rejected == clients);
        CHECK(served >= static_cast<int>(budgetBytes / bodyBytes) / maxChargeFactor);
        CHECK(support::waitUntil([&memory] {
            return memory.usedBytes() == 0;
        }));
        context.stop();
        thread.join();
    }
}
