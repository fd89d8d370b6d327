#include <connection/httpserver.h>

#include "disconnectwatcher.h"
#include "httphead.h"
#include "httpinput.h"
#include "httpserverstate.h"

#include <connection/httpstatus.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <stdexcept>
#include <utility>

namespace snipehill
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Stream = HttpStream;

namespace
{

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

using ServerStatePointer = std::shared_ptr<HttpServer::State>;

class Exchange : public HttpExchange
{
public:
    Exchange(Stream &stream,
             const HttpServer::State &state,
             const HttpServerLimits &limits,
             const boost::beast::flat_buffer &readAhead,
             http::request<http::string_body> request,
             const std::string &client)
        : m_stream(stream)
        , m_state(state)
        , m_limits(limits)
        , m_readAhead(readAhead)
        , m_request(std::move(request))
        , m_client(client)
        , m_keepAlive(m_request.keep_alive())
    {
    }

    const http::request<http::string_body> &request() const noexcept override
    {
        return m_request;
    }

    const std::string &clientAddress() const noexcept override
    {
        return m_client;
    }

    asio::awaitable<bool> respond(unsigned status, HeaderList headers, std::string body) override
    {
        requireFinalStatus(status);
        m_responseStarted = true;
        http::response<http::string_body> response;
        applyHead(response, status, headers);
        if (!isBodyless(status)) {
            response.body() = std::move(body);
            response.prepare_payload();
        } else if (m_request.method() == http::verb::head && !body.empty()) {
            response.content_length(body.size());
        }
        m_stream.expires_after(m_limits.writeTimeout);
        auto [error, written] = co_await http::async_write(m_stream, response, useTuple);
        m_finished = !error;
        co_return m_finished;
    }

    asio::awaitable<bool> beginStream(unsigned status, HeaderList headers) override
    {
        requireFinalStatus(status);
        m_responseStarted = true;
        http::response<http::empty_body> response;
        applyHead(response, status, headers);
        m_bodyless = isBodyless(status);
        m_chunked = m_request.version() >= 11 && !m_bodyless;
        m_keepAlive = m_keepAlive && (m_chunked || m_bodyless);
        response.keep_alive(m_keepAlive);
        response.chunked(m_chunked);
        http::response_serializer<http::empty_body> serializer(response);
        m_stream.expires_after(m_limits.writeTimeout);
        auto [error, written] = co_await http::async_write_header(m_stream, serializer, useTuple);
        co_return !error;
    }

    asio::awaitable<bool> write(std::string_view data) override
    {
        if (data.empty() || m_bodyless) {
            co_return true;
        }
        m_stream.expires_after(m_limits.writeTimeout);
        const asio::const_buffer buffer(data.data(), data.size());
        if (m_chunked) {
            auto [error, written] = co_await asio::async_write(m_stream, http::make_chunk(buffer), useTuple);
            co_return !error;
        }
        auto [error, written] = co_await asio::async_write(m_stream, buffer, useTuple);
        co_return !error;
    }

    asio::awaitable<bool> finish() override
    {
        m_finished = true;
        if (m_chunked) {
            m_stream.expires_after(m_limits.writeTimeout);
            auto [error, written] = co_await asio::async_write(m_stream, http::make_chunk_last(), useTuple);
            m_finished = !error;
        }
        co_return m_finished;
    }

    void abort() override
    {
        m_aborted = true;
        m_finished = false;
        m_keepAlive = false;
        boost::system::error_code ignored;
        m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        m_stream.close();
    }

    bool hasResponseStarted() const noexcept override
    {
        return m_responseStarted;
    }

    bool isDisconnected() const noexcept override
    {
        return m_disconnected;
    }

    bool checkDisconnected() override
    {
        char byte = 0;
        if (!m_disconnected && ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
            handleDisconnect();
        }
        return m_disconnected;
    }

    void onDisconnect(std::function<void()> callback) override
    {
        if (m_disconnected && callback) {
            callback();
        } else {
            m_onDisconnect = std::move(callback);
        }
    }

    TimePoint received() const noexcept override
    {
        return m_received;
    }

    void setReceived(TimePoint received) noexcept
    {
        m_received = received;
    }

    /** Records that the client has disconnected and notifies the handler. The connection won't be reused. */
    void handleDisconnect()
    {
        m_disconnected = true;
        m_keepAlive = false;
        if (const auto callback = std::exchange(m_onDisconnect, nullptr)) {
            callback();
        }
    }

    bool shouldKeepAlive() const noexcept
    {
        return m_finished && m_keepAlive;
    }

    RequestEnd end() const noexcept
    {
        if (m_finished) {
            return RequestEnd::Answered;
        }
        return m_disconnected && !m_aborted ? RequestEnd::ClientLeft : RequestEnd::Cut;
    }

private:
    static void requireFinalStatus(unsigned status)
    {
        if (!isFinalStatus(status)) {
            throw std::invalid_argument("response with the status " + std::to_string(status));
        }
    }

    /** True if HTTP allows no body in the response. */
    bool isBodyless(unsigned status) const noexcept
    {
        return m_request.method() == http::verb::head || status == 204 || status == 304;
    }

    template<typename Response> void applyHead(Response &response, unsigned status, const HeaderList &headers)
    {
        response.version(m_request.version());
        response.result(status); // as a number, because http::status lacks some valid ones
        for (const auto &[name, value] : headers) {
            response.insert(name, value);
        }
        // Requests that were read ahead must be answered, which none may be after a response that announces the end of the connection.
        m_keepAlive = m_keepAlive && (!m_state.closing || m_readAhead.size() > 0);
        response.keep_alive(m_keepAlive);
    }

    Stream &m_stream;
    const HttpServer::State &m_state;
    const HttpServerLimits &m_limits;
    const boost::beast::flat_buffer &m_readAhead; //!< received after the request
    TimePoint m_received = Clock::now();
    std::function<void()> m_onDisconnect;
    bool m_disconnected = false;
    http::request<http::string_body> m_request;
    const std::string &m_client;
    bool m_keepAlive;
    bool m_chunked = false;
    bool m_bodyless = false;
    bool m_responseStarted = false;
    bool m_finished = false;
    bool m_aborted = false;
};

/** Waits for the first data of the next request; false if the connection is to be closed. */
asio::awaitable<bool> waitForRequest(const ServerStatePointer &state, const std::shared_ptr<Stream> &stream, boost::beast::flat_buffer &buffer)
{
    const HttpServerLimits limits = state->currentLimits();
    if (buffer.size() > 0) {
        co_return true;
    }
    const IdleRegistration registration(state->idle, stream);
    if (state->stopped) {
        co_return false;
    }
    stream->expires_after(limits.idleTimeout);
    auto [error, read] = co_await stream->async_read_some(buffer.prepare(readBytes), useTuple);
    buffer.commit(read);
    co_return !error;
}

/** Runs the handler. An exception of any type aborts a response that has started, or is answered with status 500; other exchanges are not affected. */
asio::awaitable<void>
handleExchange(const ServerStatePointer &state, const std::shared_ptr<Stream> &stream, boost::beast::flat_buffer &buffer, Exchange &exchange)
{
    ++state->active;
    if (state->observer.onReceived) {
        state->observer.onReceived();
    }
    const auto watcher = std::make_shared<DisconnectWatcher>(stream->get_executor());
    watcher->onDisconnect = [&exchange] {
        exchange.handleDisconnect();
    };
    watchForDisconnect(watcher, stream, buffer);
    bool failed = false;
    std::string error;
    try {
        co_await state->handler(exchange);
    } catch (const std::exception &exception) {
        failed = true;
        error = exception.what();
    } catch (...) {
        failed = true;
        error = "exception of an unknown type";
    }
    // The callback refers to objects of the handler, which are destroyed now.
    exchange.onDisconnect(nullptr);
    if (failed && exchange.hasResponseStarted()) {
        exchange.abort();
    } else if (failed) {
        HeaderList headers;
        headers.emplace_back("Content-Type", "text/plain");
        co_await exchange.respond(500, std::move(headers), "internal error");
    }
    if (state->observer.onEnded) {
        state->observer.onEnded(exchange.end(), error);
    }
    co_await stopWatching(watcher, stream);
    --state->active;
}

/** Reads one request and handles it, or answers it with an error; true if the connection can carry another request. */
asio::awaitable<bool>
serveRequest(const ServerStatePointer &state, const std::shared_ptr<Stream> &stream, boost::beast::flat_buffer &buffer, const std::string &client)
{
    const HttpServerLimits limits = state->currentLimits();
    limitReceiveBuffer(buffer, limits);
    RequestInput input(stream, buffer, limits);
    std::size_t headSize = 0;
    boost::system::error_code error = co_await readRequestHead(input, headSize);
    const TimePoint received = Clock::now();
    const HeadVerdict verdict = error ? HeadVerdict::Accepted : checkRequestHead({static_cast<const char *>(buffer.data().data()), headSize});
    if (verdict != HeadVerdict::Accepted) {
        const unsigned status = statusFor(verdict);
        state->recordRejected(status, toString(verdict), client);
        co_await sendErrorResponse(*stream, status, toString(verdict));
        co_return false;
    }
    HttpRequestParser parser;
    parser.header_limit(limits.headerBytes);
    parser.body_limit(limits.bodyBytes);
    if (!error) {
        error = co_await readRequest(input, parser);
    }
    if (error) {
        const unsigned status = co_await sendInputError(*stream, error);
        if (status != 0) {
            state->recordRejected(status, error.message(), client);
        }
        co_return false;
    }
    if (buffer.size() == 0 && buffer.capacity() > readBytes) {
        buffer.shrink_to_fit(); // idle connections keep no large buffers
    }
    const auto fields = std::distance(parser.get().begin(), parser.get().end());
    if (fields > static_cast<std::ptrdiff_t>(limits.headerCount)) {
        state->recordRejected(431, "too many header fields", client);
        co_await sendErrorResponse(*stream, 431, "too many header fields");
        co_return false;
    }
    Exchange exchange(*stream, *state, limits, buffer, parser.release(), client);
    exchange.setReceived(received);
    co_await handleExchange(state, stream, buffer, exchange);
    co_return exchange.shouldKeepAlive();
}

asio::awaitable<void> serveConnection(ServerStatePointer state, std::shared_ptr<Stream> stream, std::string client)
{
    boost::beast::flat_buffer buffer;
    while (co_await waitForRequest(state, stream, buffer)) {
        if (!co_await serveRequest(state, stream, buffer, client)) {
            co_await closeAfterResponse(*stream);
            co_return;
        }
    }
}

} // namespace

HttpServer::HttpServer(asio::any_io_executor executor, HttpServerLimits limits, HttpHandler handler, HttpServerObserver observer)
    : m_state(std::make_shared<State>())
{
    m_state->executor = std::move(executor);
    m_state->limits = limits;
    m_state->handler = std::move(handler);
    m_state->observer = std::move(observer);
}

HttpServer::~HttpServer() = default;

bool HttpServer::start(const Endpoint &endpoint, Reason &reason)
{
    m_state->acceptor = openListener(m_state->executor, endpoint, reason);
    if (!m_state->acceptor) {
        return false;
    }
    m_state->port = m_state->acceptor->local_endpoint().port();
    const auto onAccepted = [state = m_state](Tcp::socket socket) {
        boost::system::error_code ignored;
        const auto remote = socket.remote_endpoint(ignored);
        auto stream = std::make_shared<Stream>(std::move(socket));
        const auto strand = stream->get_executor();
        ++state->open;
        asio::co_spawn(strand,
                       serveConnection(state, std::move(stream), toString(Endpoint{remote.address().to_string(), remote.port()})),
                       [state](const std::exception_ptr &) {
                           --state->open;
                       });
    };
    ++m_state->open;
    asio::co_spawn(
        m_state->acceptor->get_executor(), acceptConnections(m_state->acceptor, m_state->executor, onAccepted), [state = m_state](const std::exception_ptr &) {
            --state->open;
        });
    return true;
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    const std::lock_guard lock(m_state->limitsLock);
    m_state->limits = limits;
}

std::uint16_t HttpServer::port() const noexcept
{
    return m_state->port;
}

void HttpServer::closeAfterResponses() noexcept
{
    m_state->closing = true;
}

void HttpServer::stopAccepting()
{
    m_state->stopped = true;
    closeListener(m_state->acceptor);
    m_state->idle.cancelReads();
}

bool HttpServer::hasEnded() const noexcept
{
    return m_state->open == 0;
}

std::size_t HttpServer::activeExchanges() const noexcept
{
    return m_state->active;
}

} // namespace snipehill
