#pragma once

#include <connection/httpserver.h>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace snipehill
{

using HttpStream = boost::beast::tcp_stream;
using HttpRequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/** Bytes that one read adds to the buffer of a connection at most, except while a body is read. */
constexpr std::size_t readBytes = 4096;

/** Limit for pipelined requests that are read while a handler runs, in bytes. */
constexpr std::size_t readAheadBytes = 16384;

/** Lets the buffer hold a header section of the allowed size or what was read ahead, whichever is more, and one read in addition. */
void limitReceiveBuffer(boost::beast::flat_buffer &buffer, const HttpServerLimits &limits) noexcept;

/** A request that is being received. Owned by the coroutine of its connection. */
struct RequestInput
{
    RequestInput(std::shared_ptr<HttpStream> connection, boost::beast::flat_buffer &received, const HttpServerLimits &requestLimits)
        : stream(std::move(connection)), buffer(received), limits(requestLimits), memory(requestLimits.requestMemory)
    {
    }

    std::shared_ptr<HttpStream> stream;
    boost::beast::flat_buffer &buffer; //!< of the connection
    const HttpServerLimits &limits;
    MemoryBudget::Share memory; //!< what the request takes until it has been handled
};

/** Reads until the buffer holds a complete header section and sets size to its length, including the empty line at its end. */
boost::asio::awaitable<boost::system::error_code> readRequestHead(RequestInput &input, std::size_t &size);

/** Parses the header section in the buffer and reads the body that follows it. */
boost::asio::awaitable<boost::system::error_code> readRequest(RequestInput &input, HttpRequestParser &parser);

/** HTTP status for an error of reading or parsing a request. */
unsigned statusForInput(const boost::system::error_code &error);

/** Sends an error response as problem+json; the connection can't be used further. */
boost::asio::awaitable<void> sendErrorResponse(HttpStream &stream, unsigned status, std::string detail);

/** Sends the error response for a failed read and returns its status; sends nothing and returns 0 if the client has closed the connection. */
boost::asio::awaitable<unsigned> sendInputError(HttpStream &stream, boost::system::error_code error);

/**
 * Shuts down the sending side, then reads and discards until the client closes the connection, within a short time and a limited size.
 * Closing a socket with unread data resets the connection, and a client that is still sending would lose the response.
 */
boost::asio::awaitable<void> closeAfterResponse(HttpStream &stream);

} // namespace snipehill
