#include <connection/httpclient.h>

#include "responsehead.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace snipehill
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t maxRefusedRequests = 256; // remembered on one connection, which is not reused after that
constexpr std::size_t readChunkBytes = 16384;
constexpr milliseconds maxUnacknowledgedTime{1500}; // of a persistent connection; longer than the pauses of sound peers
constexpr std::uint64_t streamBodyLimitBytes = 1ULL << 32U;
constexpr const char *endWithinRequest = "receive body, which ended before the whole request had arrived";

Reason failure(Step step, const Endpoint &peer, std::string_view what, const boost::system::error_code &error)
{
    return {step, toString(peer), std::string(what) + ": " + error.message()};
}

// The kernel breaks the connection if the peer acknowledges no data, or has no room for it, for this time. The data of a call with its own connection
// can't reach the peer after the call has timed out.
void limitRetransmission(asio::ip::tcp::socket &socket, milliseconds timeout)
{
    const auto timeoutMs = static_cast<unsigned>(timeout.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, sizeof timeoutMs);
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

// Closes with a TCP reset, which discards unsent data; an orderly close would still deliver it.
void closeWithReset(boost::beast::tcp_stream &stream)
{
    boost::system::error_code ignored;
    stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream.close();
}

/**
 * Whether a response that has ended with its connection may be whole. It isn't if the peer's kernel has not acknowledged the whole request: a peer that
 * breaks off within a request may end the connection in order before it resets it. True if the kernel can't tell.
 */
bool mayEndWithConnection(asio::ip::tcp::socket &socket)
{
    int unacknowledgedBytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledgedBytes) != 0 || unacknowledgedBytes == 0;
}

} // namespace

asio::awaitable<std::optional<HttpResponse>> httpCall(HttpCall call, Reason &reason)
{
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(call.timeout);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(call.peer.address), call.peer.port);
    auto [connectError] = co_await stream.async_connect(endpoint, useTuple);
    if (connectError) {
        reason = failure(call.step, call.peer, "connect", connectError);
        co_return std::nullopt;
    }
    limitRetransmission(stream.socket(), call.timeout);
    HttpRequest request(call.method, call.target, 11);
    request.set(http::field::host, toString(call.peer));
    if (!call.body.empty()) {
        request.set(http::field::content_type, "application/json");
    }
    for (const auto &[name, value] : call.headers) {
        request.set(name, value);
    }
    request.body() = std::move(call.body);
    request.keep_alive(false);
    request.prepare_payload();
    if (call.maySend && !call.maySend()) {
        reason = {call.step, toString(call.peer), "the authority for the call has ended"};
        co_return std::nullopt;
    }
    auto [writeError, written] = co_await http::async_write(stream, request, useTuple);
    if (writeError) {
        reason = failure(call.step, call.peer, "send", writeError);
        closeWithReset(stream);
        co_return std::nullopt;
    }
    boost::beast::flat_buffer buffer = makeReceiveBuffer();
    std::optional<http::response_parser<http::string_body>> parser;
    do {
        parser.emplace();
        parser->body_limit(call.bodyLimit);
        const boost::system::error_code headError = co_await readResponseHead(stream, buffer, *parser, parser->get());
        if (headError) {
            closeWithReset(stream);
            reason = failure(call.step, call.peer, "receive head", headError);
            co_return std::nullopt;
        }
    } while (isInterim(parser->get()));
    auto [bodyError, read] = co_await http::async_read(stream, buffer, *parser, useTuple);
    const bool endedTooSoon = !bodyError && parser->need_eof() && !mayEndWithConnection(stream.socket());
    closeWithReset(stream);
    if (bodyError) {
        reason = failure(call.step, call.peer, "receive body", bodyError);
        co_return std::nullopt;
    }
    if (endedTooSoon) {
        reason = failure(call.step, call.peer, endWithinRequest, http::error::partial_message);
        co_return std::nullopt;
    }
    co_return parser->release();
}

HttpConnection::HttpConnection(asio::any_io_executor executor) : m_stream(std::move(executor)) { }

asio::awaitable<bool> HttpConnection::connect(Endpoint peer, milliseconds timeout, Reason &reason)
{
    m_peer = std::move(peer);
    m_stream.expires_after(timeout);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_peer.address), m_peer.port);
    auto [error] = co_await m_stream.async_connect(endpoint, useTuple);
    if (error) {
        reason = fail("connect", error);
        m_refused = error == asio::error::connection_refused;
        m_exchangeComplete = false;
        co_return false;
    }
    limitRetransmission(m_stream.socket(), maxUnacknowledgedTime);
    co_return true;
}

asio::awaitable<bool> HttpConnection::staysOpen(milliseconds time)
{
    m_exchangeComplete = false;
    m_stream.expires_after(time);
    std::array<char, 1> byte{};
    auto [error, read] = co_await m_stream.async_read_some(asio::buffer(byte), useTuple);
    co_return !error || error == boost::beast::error::timeout;
}

asio::awaitable<bool> HttpConnection::send(const HttpRequest &request, milliseconds timeout, Reason &reason)
{
    m_exchangeComplete = false;
    m_headRequested = request.method() == http::verb::head;
    m_stream.expires_after(timeout);
    auto [error, written] = co_await http::async_write(m_stream, request, useTuple);
    if (error) {
        reason = fail("send", error);
        co_return false;
    }
    co_return true;
}

asio::awaitable<bool> HttpConnection::readHead(milliseconds timeout, Reason &reason)
{
    m_stream.expires_after(timeout);
    do {
        m_parser = std::make_unique<Parser>();
        m_parser->body_limit(streamBodyLimitBytes);
        m_parser->skip(m_headRequested);
        const boost::system::error_code error = co_await readResponseHead(m_stream, m_buffer, *m_parser, m_parser->get());
        if (error) {
            reason = fail("receive head", error);
            co_return false;
        }
    } while (isInterim(m_parser->get()));
    m_exchangeComplete = m_parser->is_done();
    co_return true;
}

asio::awaitable<std::optional<std::string>> HttpConnection::readSome(milliseconds timeout, Reason &reason)
{
    std::array<char, readChunkBytes> chunk{};
    m_stream.expires_after(timeout);
    while (!m_parser->is_done()) {
        m_parser->get().body().data = chunk.data();
        m_parser->get().body().size = chunk.size();
        auto [error, read] = co_await http::async_read_some(m_stream, m_buffer, *m_parser, useTuple);
        if (error && error != http::error::need_buffer) {
            reason = fail("receive body", error);
            co_return std::nullopt;
        }
        const std::size_t size = chunk.size() - m_parser->get().body().size;
        if (size > 0) {
            m_exchangeComplete = m_parser->is_done();
            co_return std::string(chunk.data(), size);
        }
    }
    if (m_parser->need_eof() && !mayEndWithConnection(m_stream.socket())) {
        reason = fail(endWithinRequest, http::error::partial_message);
        co_return std::nullopt;
    }
    m_exchangeComplete = true;
    co_return std::string();
}

const http::response_header<> &HttpConnection::head() const
{
    return m_parser->get();
}

bool HttpConnection::isReusable() const noexcept
{
    return m_exchangeComplete && m_parser && m_parser->keep_alive();
}

bool HttpConnection::isIdle()
{
    if (!m_stream.socket().is_open() || m_buffer.size() > 0) {
        return false;
    }
    char byte = 0;
    const auto received = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Reason HttpConnection::fail(std::string_view what, const boost::system::error_code &error)
{
    if (m_result == ConnectionResult::Success) {
        m_result = error == boost::beast::error::timeout                                  ? ConnectionResult::TimedOut
            : error == http::error::buffer_overflow || error == http::error::header_limit ? ConnectionResult::Overlong
                                                                                          : ConnectionResult::Broken;
    }
    return failure(Step::RunOnTarget, m_peer, what, error);
}

void HttpConnection::abort()
{
    m_exchangeComplete = false;
    if (m_result == ConnectionResult::Success) {
        m_result = ConnectionResult::Aborted;
    }
    closeWithReset(m_stream);
}

const Endpoint &HttpConnection::peer() const noexcept
{
    return m_peer;
}

ConnectionResult HttpConnection::result() const noexcept
{
    return m_result;
}

bool HttpConnection::wasRefused() const noexcept
{
    return m_refused;
}

void HttpConnection::recordRefused(std::uint64_t requestFingerprint)
{
    m_refusedRequests.push_back(requestFingerprint);
    m_exchangeComplete = m_exchangeComplete && m_refusedRequests.size() < maxRefusedRequests;
}

bool HttpConnection::hasRefused(std::uint64_t requestFingerprint) const noexcept
{
    return std::find(m_refusedRequests.begin(), m_refusedRequests.end(), requestFingerprint) != m_refusedRequests.end();
}

bool HttpConnection::endsWithConnection() const
{
    return m_parser && m_parser->need_eof();
}

} // namespace snipehill
