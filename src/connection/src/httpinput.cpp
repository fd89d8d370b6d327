#include "httpinput.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace snipehill
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusUnavailable = 503;

/** Cancels the pending reads of a stream on timeout. The stream's own timeout would close it before an error response could be sent. */
class ReadTimeout
{
public:
    ReadTimeout(const std::shared_ptr<HttpStream> &stream, milliseconds timeout) : m_timer(stream->get_executor(), timeout)
    {
        stream->expires_never();
        m_timer.async_wait([stream, expired = m_expired](const boost::system::error_code &error) {
            if (!error && expired.use_count() > 1) {
                *expired = true;
                stream->cancel();
            }
        });
    }

    bool expired() const noexcept
    {
        return *m_expired;
    }

private:
    std::shared_ptr<bool> m_expired = std::make_shared<bool>(false); //!< shared with the timer's handler, which may run after this object is destroyed
    asio::steady_timer m_timer;
};

constexpr std::string_view headEnd = "\r\n\r\n";
constexpr milliseconds closeTimeout{1000}; // enough for a round trip and short against a drain
constexpr std::size_t maxDiscardedBytes = 16U << 20U;
constexpr std::size_t bodyCopies = 3; // as received, as parsed, and in the message to a target

/** Charges what the request takes, with a body buffer of the given capacity. */
bool chargeMemory(RequestInput &input, std::size_t bodyCapacity)
{
    return input.memory.resize(input.buffer.capacity() + bodyCopies * bodyCapacity);
}

} // namespace

unsigned statusForInput(const boost::system::error_code &error)
{
    if (error == http::error::header_limit) {
        return 431;
    }
    if (error == http::error::body_limit) {
        return 413;
    }
    if (error == boost::beast::error::timeout) {
        return 408;
    }
    if (error == asio::error::no_memory) {
        return statusUnavailable;
    }
    return statusBadRequest;
}

void limitReceiveBuffer(boost::beast::flat_buffer &buffer, const HttpServerLimits &limits) noexcept
{
    buffer.max_size(std::max<std::size_t>({limits.headerBytes, readAheadBytes, buffer.size()}) + readBytes);
}

asio::awaitable<boost::system::error_code> readRequestHead(RequestInput &input, std::size_t &size)
{
    boost::beast::flat_buffer &buffer = input.buffer;
    const HttpServerLimits &limits = input.limits;
    const ReadTimeout readTimeout(input.stream, std::min(limits.headTimeout, limits.requestTimeout));
    while (true) {
        const std::string_view bytes(static_cast<const char *>(buffer.data().data()), buffer.size());
        const auto end = bytes.find(headEnd);
        if (end != std::string_view::npos && end + headEnd.size() <= limits.headerBytes) {
            size = end + headEnd.size();
            co_return boost::system::error_code();
        }
        if (end != std::string_view::npos || bytes.size() >= limits.headerBytes) {
            co_return http::error::header_limit;
        }
        auto [error, read] = co_await input.stream->async_read_some(buffer.prepare(readBytes), useTuple);
        buffer.commit(read);
        if (error) {
            co_return readTimeout.expired() ? boost::beast::error::timeout : error;
        }
        if (!chargeMemory(input, 0)) {
            co_return asio::error::no_memory;
        }
    }
}

asio::awaitable<boost::system::error_code> readRequest(RequestInput &input, HttpRequestParser &parser)
{
    const ReadTimeout readTimeout(input.stream, input.limits.requestTimeout);
    auto [headError, headBytes] = co_await http::async_read_header(*input.stream, input.buffer, parser, useTuple);
    if (headError) {
        co_return headError;
    }
    // A body of known length is charged as a whole, so that a request that is nearly complete isn't refused for its last bytes.
    const std::size_t announced = parser.content_length().value_or(0);
    if (!chargeMemory(input, announced)) {
        co_return asio::error::no_memory;
    }
    if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        auto [writeError, written] = co_await asio::async_write(*input.stream, asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25), useTuple);
        if (writeError) {
            co_return writeError;
        }
    }
    std::optional<http::request_header<>> head; // the parser adds trailer fields to it, which no one has checked
    if (parser.chunked()) {
        head = parser.get().base();
    }
    parser.eager(true);
    while (!parser.is_done()) {
        auto [error, read] = co_await http::async_read_some(*input.stream, input.buffer, parser, useTuple);
        if (error) {
            co_return readTimeout.expired() ? boost::beast::error::timeout : error;
        }
        if (!chargeMemory(input, std::max(announced, parser.get().body().capacity()))) {
            co_return asio::error::no_memory;
        }
    }
    if (head) {
        parser.get().base() = std::move(*head);
    }
    co_return boost::system::error_code();
}

asio::awaitable<void> sendErrorResponse(HttpStream &stream, unsigned status, std::string detail)
{
    http::response<http::string_body> response(http::int_to_status(status), 11);
    response.set(http::field::content_type, "application/problem+json");
    const bool overloaded = status == statusUnavailable;
    if (overloaded) {
        response.set(http::field::retry_after, "1");
    }
    response.body() = std::string(R"({"outcome":")") + (overloaded ? "not_run" : "rejected") + R"(","step":"parse","peer":"","detail":")" + detail + "\"}";
    response.keep_alive(false);
    response.prepare_payload();
    stream.expires_after(milliseconds(1000));
    co_await http::async_write(stream, response, useTuple);
}

asio::awaitable<unsigned> sendInputError(HttpStream &stream, boost::system::error_code error)
{
    if (error == http::error::end_of_stream || error == asio::error::connection_reset || error == asio::error::eof) {
        co_return 0;
    }
    const unsigned status = statusForInput(error);
    std::string detail = status == statusUnavailable ? std::string("too many requests are being received") : error.message();
    co_await sendErrorResponse(stream, status, std::move(detail));
    co_return status;
}

asio::awaitable<void> closeAfterResponse(HttpStream &stream)
{
    boost::system::error_code error;
    stream.socket().shutdown(asio::socket_base::shutdown_send, error);
    if (error) {
        co_return;
    }
    stream.expires_after(closeTimeout);
    std::array<char, 16384> discarded{};
    for (std::size_t total = 0; total < maxDiscardedBytes;) {
        auto [readError, read] = co_await stream.async_read_some(asio::buffer(discarded), useTuple);
        if (readError) {
            co_return;
        }
        total += read;
    }
}

} // namespace snipehill
