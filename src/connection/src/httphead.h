#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <string_view>

namespace snipehill
{

/** Whether a request may be parsed, given its header section. */
enum class HeadVerdict {
    Accepted,
    Malformed, //!< not the one form that all implementations read alike, or without a body length that can be determined
    UnknownCoding, //!< a transfer coding other than chunked
    UnknownMethod, //!< CONNECT, which makes a tunnel of the connection
};

/** What is wrong with the header section, for logs and responses; empty if nothing is. */
const char *toString(HeadVerdict verdict) noexcept;

/** Status of the response to a request that is not accepted: 400 or 501. */
unsigned statusFor(HeadVerdict verdict) noexcept;

/**
 * Checks the header section of a request, with the empty line at its end, against the forms that this server understands.
 *
 * Accepted are lines that end with CR LF and contain no other CR, no NUL and no folding; a request line with a method, a target and HTTP/1.0 or
 * HTTP/1.1, separated by single spaces; fields whose name is a token right before the colon; at most one Host; and either no framing field, one
 * Content-Length with digits only, or, in HTTP/1.1, one Transfer-Encoding with the value chunked. All else could be read in another way by another
 * implementation, so that part of a body would run as a request (RFC 9112, 6.1, 6.3 and 11.2).
 */
HeadVerdict checkRequestHead(std::string_view head) noexcept;

/**
 * Whether the end of a response's body is the one that its sender means: at most one framing field, and no transfer coding other than a single chunked
 * in HTTP/1.1. Otherwise the body would be passed on still coded, or with part of another response (RFC 9112, 6.3).
 *
 * @param version of the response, 11 for HTTP/1.1
 */
bool hasKnownFraming(const boost::beast::http::fields &head, unsigned version);

/**
 * Checks the head of a response that the parser has accepted.
 *
 * The parser takes any three digits for a status; HTTP has 100 to 599 (RFC 9110, 15). A switch to another protocol is refused too, since no request asks
 * for one. The framing of a final response must satisfy hasKnownFraming().
 *
 * @return boost::beast::http::error that names the broken part; no error if the response can be used
 */
boost::system::error_code checkResponseHead(const boost::beast::http::response_header<> &head);

} // namespace snipehill
