#include "responsereader.h"

#include <catch2/catch.hpp>

#include <boost/asio/this_coro.hpp>

namespace snipehill::support
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

/** Sends a request over a persistent connection and reads the response. */
asio::awaitable<Received> exchange(HttpConnection &connection, std::string requestBody)
{
    Received received;
    HttpRequest request(http::verb::post, "/", 11);
    request.body() = std::move(requestBody);
    request.prepare_payload();
    const TimePoint began = Clock::now();
    bool more = co_await connection.send(request, timeLimit, received.reason) && co_await connection.readHead(timeLimit, received.reason);
    if (more) {
        received.status = connection.head().result_int();
    }
    while (more) {
        const auto piece = co_await connection.readSome(timeLimit, received.reason);
        received.whole = piece && piece->empty();
        received.body += piece.value_or("");
        more = piece && !piece->empty();
    }
    received.took = Clock::now() - began;
    CHECK((received.whole || !connection.isReusable()));
    co_return received;
}

} // namespace

asio::awaitable<Received> receiveOverConnection(Endpoint server, std::string requestBody)
{
    Received received;
    HttpConnection connection(co_await asio::this_coro::executor);
    if (co_await connection.connect(std::move(server), timeLimit, received.reason)) {
        received = co_await exchange(connection, std::move(requestBody));
    }
    connection.abort();
    co_return received;
}

asio::awaitable<Received> receiveOverUsedConnection(Endpoint server, std::string requestBody)
{
    Received received;
    HttpConnection connection(co_await asio::this_coro::executor);
    if (co_await connection.connect(std::move(server), timeLimit, received.reason)) {
        received = co_await exchange(connection, "");
    }
    CHECK((received.whole && connection.isReusable() && connection.isIdle()));
    received = co_await exchange(connection, std::move(requestBody));
    connection.abort();
    co_return received;
}

asio::awaitable<Received> receiveInCall(Endpoint server, std::string requestBody)
{
    Received received;
    HttpCall call{.peer = std::move(server), .method = http::verb::post, .body = std::move(requestBody), .timeout = timeLimit};
    const TimePoint began = Clock::now();
    const auto response = co_await httpCall(std::move(call), received.reason);
    received.took = Clock::now() - began;
    received.whole = response.has_value();
    if (response) {
        received.status = response->result_int();
        received.body = response->body();
    }
    co_return received;
}

} // namespace snipehill::support
