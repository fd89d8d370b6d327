#include "httphead.h"

#include <connection/httpstatus.h>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstddef>

namespace snipehill
{

namespace http = boost::beast::http;
using boost::beast::iequals;

namespace
{

constexpr std::size_t maxLengthDigits = 18; // fits into 64 bits

bool isTokenCharacter(char c) noexcept
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || marks.find(c) != std::string_view::npos;
}

bool isToken(std::string_view text) noexcept
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

/** Printable ASCII without spaces; anything else is sent in percent-encoding. */
bool isTarget(std::string_view text) noexcept
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c < 0x7f;
    });
}

bool isLength(std::string_view text) noexcept
{
    return !text.empty() && text.size() <= maxLengthDigits && std::all_of(text.begin(), text.end(), [](char c) {
        return c >= '0' && c <= '9';
    });
}

std::string_view trimmed(std::string_view text) noexcept
{
    const auto first = text.find_first_not_of(" \t");
    return first == std::string_view::npos ? std::string_view() : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool isChunked(std::string_view coding) noexcept
{
    return iequals(coding, "chunked");
}

/** Removes the first line and returns it without its CR LF; sets valid to false if it has no such end or contains a CR or NUL. */
std::string_view takeLine(std::string_view &rest, bool &valid) noexcept
{
    const auto end = rest.find('\n');
    valid = end != std::string_view::npos && end > 0 && rest[end - 1] == '\r';
    if (!valid) {
        return {};
    }
    const std::string_view line = rest.substr(0, end - 1);
    rest.remove_prefix(end + 1);
    valid = line.find('\r') == std::string_view::npos && line.find('\0') == std::string_view::npos;
    return line;
}

/** Fields that decide where a request ends. */
struct Framing
{
    std::size_t hosts = 0;
    std::size_t lengths = 0;
    std::size_t codings = 0;
    bool validLength = true;
    bool knownCoding = true;
};

/** Records a field; false if it is malformed. */
bool recordField(std::string_view line, Framing &framing) noexcept
{
    const auto colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (colon == std::string_view::npos || !isToken(name)) {
        return false;
    }
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (iequals(name, "Host")) {
        ++framing.hosts;
    } else if (iequals(name, "Content-Length")) {
        ++framing.lengths;
        framing.validLength = framing.validLength && isLength(value);
    } else if (iequals(name, "Transfer-Encoding")) {
        ++framing.codings;
        framing.knownCoding = framing.knownCoding && isChunked(value);
    }
    return true;
}

} // namespace

const char *toString(HeadVerdict verdict) noexcept
{
    switch (verdict) {
    case HeadVerdict::Accepted:
        return "";
    case HeadVerdict::Malformed:
        return "the header section is malformed or ambiguous";
    case HeadVerdict::UnknownCoding:
        return "the transfer coding is not implemented";
    case HeadVerdict::UnknownMethod:
        return "the method is not implemented";
    }
    return "";
}

unsigned statusFor(HeadVerdict verdict) noexcept
{
    constexpr unsigned malformed = 400;
    constexpr unsigned notImplemented = 501;
    return verdict == HeadVerdict::Malformed ? malformed : notImplemented;
}

HeadVerdict checkRequestHead(std::string_view head) noexcept
{
    bool valid = true;
    std::string_view requestLine = takeLine(head, valid);
    const std::string_view method = requestLine.substr(0, requestLine.find(' '));
    requestLine.remove_prefix(std::min(requestLine.size(), method.size() + 1));
    const std::string_view target = requestLine.substr(0, requestLine.find(' '));
    requestLine.remove_prefix(std::min(requestLine.size(), target.size() + 1));
    const std::string_view version = requestLine;
    if (!valid || !isToken(method) || !isTarget(target) || (version != "HTTP/1.1" && version != "HTTP/1.0")) {
        return HeadVerdict::Malformed;
    }
    Framing framing;
    while (true) {
        const std::string_view line = takeLine(head, valid);
        if (!valid) {
            return HeadVerdict::Malformed;
        }
        if (line.empty()) {
            break;
        }
        if (!recordField(line, framing)) {
            return HeadVerdict::Malformed;
        }
    }
    const bool lengthAndCoding = framing.lengths + framing.codings > 1;
    const bool coded = framing.codings > 0;
    if (!head.empty() || framing.hosts > 1 || lengthAndCoding || !framing.validLength || (coded && version == "HTTP/1.0")) {
        return HeadVerdict::Malformed;
    }
    if (!framing.knownCoding) {
        return HeadVerdict::UnknownCoding;
    }
    return method == "CONNECT" ? HeadVerdict::UnknownMethod : HeadVerdict::Accepted;
}

bool hasKnownFraming(const http::fields &head, unsigned version)
{
    const std::size_t codings = head.count(http::field::transfer_encoding);
    const std::size_t lengths = head.count(http::field::content_length);
    if (codings == 0) {
        return lengths <= 1;
    }
    const auto coding = head[http::field::transfer_encoding];
    return codings == 1 && lengths == 0 && version == 11 && isChunked(trimmed({coding.data(), coding.size()}));
}

boost::system::error_code checkResponseHead(const http::response_header<> &head)
{
    if (isInterimStatus(head.result_int())) {
        return {};
    }
    if (!isFinalStatus(head.result_int())) {
        return http::error::bad_status;
    }
    if (!hasKnownFraming(head, head.version())) {
        return head.count(http::field::transfer_encoding) > 0 ? http::error::bad_transfer_encoding : http::error::bad_content_length;
    }
    return {};
}

} // namespace snipehill
