#include "responsehead.h"

#include "httphead.h"

#include <connection/httpstatus.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

namespace snipehill
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

asio::awaitable<boost::system::error_code>
readResponseHead(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, http::basic_parser<false> &parser, const http::response_header<> &head)
{
    auto [error, read] = co_await http::async_read_header(stream, buffer, parser, asio::as_tuple(asio::use_awaitable));
    co_return error ? error : checkResponseHead(head);
}

bool isInterim(const http::response_header<> &head) noexcept
{
    return isInterimStatus(head.result_int());
}

} // namespace snipehill
