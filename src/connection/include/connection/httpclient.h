#pragma once

#include <connection/endpoint.h>
#include <core/reason.h>
#include <core/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipehill
{

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/** One request to a peer of the platform, on a connection of its own. */
struct HttpCall
{
    Endpoint peer;
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string target = "/"; //!< path and query
    std::string body; //!< JSON, or empty
    std::vector<std::pair<std::string, std::string>> headers; //!< beside those that every call has
    milliseconds timeout{2000}; //!< for the whole call; the connection is aborted at its end
    std::size_t bodyLimit = 16U << 20U; //!< bytes of answer accepted
    Step step = Step::RunOnTarget; //!< stands in the reason of a failure
    std::function<bool()> maySend; //!< asked right before the bytes go out; false: nothing is sent and the call fails
};

/**
 * Sends one request and reads the whole answer; any HTTP status counts as an answer.
 * Empty with a reason when no whole answer came in time: the action may still have taken effect.
 */
boost::asio::awaitable<std::optional<HttpResponse>> httpCall(HttpCall call, Reason &reason);

/**
 * A client connection that is kept between requests, one request at a time.
 *
 * Used by a sidecar towards its target. Owned by the coroutine that runs the request, or by a pool
 * between requests; never shared. A failed or cut exchange closes it, so that a later answer can't be
 * taken for that of another request.
 */
class HttpConnection
{
public:
    explicit HttpConnection(boost::asio::any_io_executor executor);

    boost::asio::awaitable<bool> connect(Endpoint peer, milliseconds timeout, Reason &reason);
    /** Whether the peer keeps the new connection for the given time, on which nothing is sent. */
    boost::asio::awaitable<bool> staysOpen(milliseconds time);
    /** Sends the request; false means that the target may have got it in part or whole. */
    boost::asio::awaitable<bool> send(const HttpRequest &request, milliseconds timeout, Reason &reason);
    /** Reads status line and headers. */
    boost::asio::awaitable<bool> readHead(milliseconds timeout, Reason &reason);
    /** Reads the next piece of the body, empty at its end. */
    boost::asio::awaitable<std::optional<std::string>> readSome(milliseconds timeout, Reason &reason);

    const boost::beast::http::response_header<> &head() const;
    /** The whole answer was read and the peer keeps the connection. */
    bool isReusable() const noexcept;
    /** Open and without a byte to read, so that what arrives next belongs to the next request. */
    bool isIdle();
    /** Closes at once; operations in flight end with an error. */
    void abort();
    const Endpoint &peer() const noexcept;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<Parser> m_parser;
    Endpoint m_peer;
    bool m_exchangeComplete = true; //!< no exchange is under way and none failed
};

} // namespace snipehill
