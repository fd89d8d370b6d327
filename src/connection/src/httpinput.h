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

namespace snipehill
{

using HttpStream = boost::beast::tcp_stream;
using HttpRequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/** Reads until the buffer holds a whole head; the size is that of the head with its end. */
boost::asio::awaitable<boost::system::error_code>
readRequestHead(std::shared_ptr<HttpStream> stream, boost::beast::flat_buffer &buffer, const HttpServerLimits &limits, std::size_t &size);

/**
 * Whether the head leaves no doubt where its fields and its body end: no folded lines, no line end but CR LF,
 * at most one length, and no length beside chunks. Recipients that disagree on these could be made to see other requests.
 */
bool isUnambiguousHead(std::string_view head);

/** Parses the head in the buffer and reads the body that follows it. */
boost::asio::awaitable<boost::system::error_code>
readRequest(std::shared_ptr<HttpStream> stream, boost::beast::flat_buffer &buffer, const HttpServerLimits &limits, HttpRequestParser &parser);

/** Status for input that the parser refused. */
unsigned statusForInput(const boost::system::error_code &error);

/** Answers with a refusal and closes the sending side. */
boost::asio::awaitable<void> sendErrorResponse(HttpStream &stream, unsigned status, std::string detail);

/** Tells the client what was wrong with its bytes, unless there is nobody to tell. */
boost::asio::awaitable<void> sendInputError(HttpStream &stream, boost::system::error_code error);

} // namespace snipehill
