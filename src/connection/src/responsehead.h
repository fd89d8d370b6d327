#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/message.hpp>

namespace snipehill
{

/**
 * Reads the head of the next response, interim or final, and checks it.
 *
 * Used for all responses that this system receives. The body of a final response remains to be read through the same parser. Heads with folded lines are
 * refused, as RFC 9112, 5.2, allows: they would hide a field whose name begins with a blank.
 *
 * @param parser a new parser; it and the head must outlive the call
 * @param head of that parser's message
 * @return error of the stream or of the parser, bad_obs_fold, or what checkResponseHead() finds
 */
boost::asio::awaitable<boost::system::error_code> readResponseHead(boost::beast::tcp_stream &stream,
                                                                   boost::beast::flat_buffer &buffer,
                                                                   boost::beast::http::basic_parser<false> &parser,
                                                                   const boost::beast::http::response_header<> &head);

/** Whether the head is that of an interim response, after which another one is to be read. */
bool isInterim(const boost::beast::http::response_header<> &head) noexcept;

} // namespace snipehill
