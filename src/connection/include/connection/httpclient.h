#pragma once

#include <connection/endpoint.h>
#include <connection/receivebuffer.h>
#include <core/reason.h>
#include <core/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipehill
{

/** Limit for the body of a response of which only the status and a short value count, in bytes. */
constexpr std::size_t shortBodyBytes = 65536;

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/** One HTTP request to a peer, sent on its own connection. */
struct HttpCall
{
    Endpoint peer;
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string target = "/"; //!< path and query
    std::string body; //!< JSON, or empty
    std::vector<std::pair<std::string, std::string>> headers; //!< sent in addition to Host, Content-Type and Content-Length
    milliseconds timeout{2000}; //!< for connecting, sending and receiving together; the connection is aborted when it expires
    std::size_t bodyLimit = 16U << 20U; //!< largest response body accepted, bytes
    Step step = Step::RunOnTarget; //!< reported in the reason of a failure
    std::function<bool()> maySend; //!< checked after connecting, right before sending; if false, nothing is sent and the call fails
};

/**
 * Sends one request and reads the complete response, whatever its HTTP status.
 * Empty with a reason if no complete response arrived in time; the peer may still have processed the request.
 */
boost::asio::awaitable<std::optional<HttpResponse>> httpCall(HttpCall call, Reason &reason);

/** How a connection ended; Success while no operation on it has failed. */
enum class ConnectionResult {
    Success,
    TimedOut, //!< at the time limit of an operation
    Aborted, //!< by abort()
    Broken, //!< the peer could not be reached, closed or reset the connection, or sent malformed data
    Overlong, //!< the peer sent a header section or framing beyond the limit of the receive buffer
};

/**
 * A persistent client connection that carries one request at a time.
 *
 * Used for requests to targets and to the store. Owned by the coroutine that runs the request, or by a pool between requests;
 * never shared. After a failed or incomplete exchange isReusable() is false, because a late response would be
 * read as the response to the next request.
 */
class HttpConnection
{
public:
    explicit HttpConnection(boost::asio::any_io_executor executor);

    boost::asio::awaitable<bool> connect(Endpoint peer, milliseconds timeout, Reason &reason);
    /** Waits until the peer closes the connection or the time is up, sending nothing; true if it stayed open. Not reusable afterwards. */
    boost::asio::awaitable<bool> staysOpen(milliseconds time);
    /** Sends the request; on false, the peer may have received part or all of it. */
    boost::asio::awaitable<bool> send(const HttpRequest &request, milliseconds timeout, Reason &reason);
    /** Reads status line and headers of the final response; interim responses (1xx) are skipped within the same timeout. */
    boost::asio::awaitable<bool> readHead(milliseconds timeout, Reason &reason);
    /**
     * Reads the next part of the body within the timeout; returns an empty string at its end, and no value with a reason on error. The end of the connection
     * ends a body without a length only if the peer has received the whole request.
     */
    boost::asio::awaitable<std::optional<std::string>> readSome(milliseconds timeout, Reason &reason);

    const boost::beast::http::response_header<> &head() const;
    /** True if the response was read completely and the peer keeps the connection open. */
    bool isReusable() const noexcept;
    /** True if the connection is open and has no unread data, so that the next data belongs to the next response. */
    bool isIdle();
    /** Resets the connection; pending operations fail. */
    void abort();
    const Endpoint &peer() const noexcept;
    ConnectionResult result() const noexcept;
    /** Marks the connection as one on which the peer refused the request with this fingerprint. */
    void recordRefused(std::uint64_t requestFingerprint);
    /** Whether a refusal of such a request that the peer writes once more could be taken for the answer to another one with the same id. */
    bool hasRefused(std::uint64_t requestFingerprint) const noexcept;
    /** Whether connect() failed because nothing listens at the peer's address. */
    bool wasRefused() const noexcept;
    /** Whether the response in progress has neither a length nor chunks, so that a connection that breaks looks like its end. */
    bool endsWithConnection() const;

private:
    /** Records the failure of an operation and returns its reason. */
    Reason fail(std::string_view what, const boost::system::error_code &error);

    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer = makeReceiveBuffer();
    std::unique_ptr<Parser> m_parser;
    Endpoint m_peer;
    bool m_headRequested = false; //!< the response to HEAD has no body, whatever its Content-Length
    bool m_exchangeComplete = true; //!< no exchange is in progress and none has failed
    ConnectionResult m_result = ConnectionResult::Success;
    bool m_refused = false;
    std::vector<std::uint64_t> m_refusedRequests; //!< fingerprints of their ids
};

} // namespace snipehill
