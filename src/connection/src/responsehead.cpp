#include "responsehead.h"

#include "httphead.h"

#include <connection/httpstatus.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

#include <string_view>

namespace snipehill
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr std::size_t maxReadBytes = 65536;

bool hasFoldedLine(std::string_view lines) noexcept
{
    return lines.find("\r\n ") != std::string_view::npos || lines.find("\r\n\t") != std::string_view::npos;
}

} // namespace

// The parser joins folded lines without a trace, so the bytes that it takes are checked as well; it takes a field with all its lines at once.
asio::awaitable<boost::system::error_code>
readResponseHead(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, http::basic_parser<false> &parser, const http::response_header<> &head)
{
    bool folded = false;
    parser.eager(false); // stops at the end of the head
    while (true) {
        boost::system::error_code error = http::error::need_more;
        if (buffer.size() > 0) {
            const asio::const_buffer received = buffer.data();
            const std::size_t parsed = parser.put(received, error);
            folded = folded || hasFoldedLine({static_cast<const char *>(received.data()), parsed});
            buffer.consume(parsed);
        }
        if (!error) {
            co_return folded ? boost::system::error_code(http::error::bad_obs_fold) : checkResponseHead(head);
        }
        if (error != http::error::need_more) {
            co_return error;
        }
        const std::size_t room = boost::beast::read_size(buffer, maxReadBytes);
        if (room == 0) {
            co_return http::error::buffer_overflow;
        }
        auto [readError, size] = co_await stream.async_read_some(buffer.prepare(room), asio::as_tuple(asio::use_awaitable));
        buffer.commit(size);
        if (readError == asio::error::eof) {
            co_return parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
        }
        if (readError) {
            co_return readError;
        }
    }
}

bool isInterim(const http::response_header<> &head) noexcept
{
    return isInterimStatus(head.result_int());
}

} // namespace snipehill
