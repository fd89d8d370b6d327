#pragma once

#include <connection/endpoint.h>
#include <core/memorybudget.h>
#include <core/time.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipehill
{

/** Limits on the size and duration of requests and on idle connections. */
struct HttpServerLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 8U << 20U;
    std::uint32_t headerCount = 100;
    milliseconds headTimeout{10000}; //!< from the first byte of a request to the end of its header section
    milliseconds idleTimeout{60000}; //!< between requests
    milliseconds requestTimeout{10000}; //!< for receiving the header section, and again for the body
    milliseconds writeTimeout{30000}; //!< for each write to complete
    MemoryBudget *requestMemory = nullptr; //!< charged for requests while they are received and handled; must outlive the server; no limit if null
};

/** Header fields in the order in which they are written. */
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/**
 * One request and its response, passed to the handler. Valid while the handler runs; use it only on the strand of
 * its connection. Call either respond(), or beginStream(), then write() any number of times, then finish().
 * These functions return false if writing failed, usually because the client has disconnected. A status that no final
 * response has, see isFinalStatus(), throws std::invalid_argument; nothing is sent then.
 */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;
    virtual const boost::beast::http::request<boost::beast::http::string_body> &request() const noexcept = 0;
    /** Client's end of the connection, as "IP:PORT"; the same for all exchanges on it. */
    virtual const std::string &clientAddress() const noexcept = 0;
    /** Sends a complete response. The body is left out if HTTP allows none: in response to HEAD, and for status 204 and 304. */
    virtual boost::asio::awaitable<bool> respond(unsigned status, HeaderList headers, std::string body) = 0;
    /** Sends the header section of a response whose body follows in parts, chunked for HTTP/1.1 clients. */
    virtual boost::asio::awaitable<bool> beginStream(unsigned status, HeaderList headers) = 0;
    /** Sends part of the body; the data must stay valid until then. */
    virtual boost::asio::awaitable<bool> write(std::string_view data) = 0;
    /** Ends the body of a streamed response. */
    virtual boost::asio::awaitable<bool> finish() = 0;
    /** Resets the connection, so that the client can't mistake a partial response for a complete one. */
    virtual void abort() = 0;
    /** True once respond() or beginStream() has been called. */
    virtual bool hasResponseStarted() const noexcept = 0;
    /** True if the server has detected that the client closed the connection or that it broke. */
    virtual bool isDisconnected() const noexcept = 0;
    /** Like isDisconnected(), but also checks the socket, because a busy process may not have handled its close event yet. */
    virtual bool checkDisconnected() = 0;
    /** Calls back once, on the connection's strand, when the client disconnects while the handler runs; at once if it already has. Replaces an earlier callback. */
    virtual void onDisconnect(std::function<void()> callback) = 0;
    /** Time at which the header section of the request was complete. */
    virtual TimePoint received() const noexcept = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

/** How an exchange ended for the client. Each request that was received completely ends in exactly one of these ways. */
enum class RequestEnd {
    Answered, //!< the complete response was written
    ClientLeft, //!< the client had disconnected before that
    Cut, //!< the connection was closed without a complete response although the client was there
};

/** "answered", "client_left" or "cut". */
const char *toString(RequestEnd end) noexcept;

/** Observes the exchanges of a server. The functions are called on the strand of the connection and must not block. */
struct HttpServerObserver
{
    std::function<void()> onReceived; //!< a request was received completely; may be empty
    std::function<void(RequestEnd, std::string_view error)> onEnded; //!< error: exception that left the handler, else empty; may be empty
    /** A request was rejected before it was received completely; client: its end of the connection. May be empty. */
    std::function<void(unsigned status, std::string_view error, const std::string &client)> onRejected;
};

/**
 * HTTP/1.1 server with keep-alive; pipelined requests are handled one at a time and answered in order.
 *
 * Each connection runs on its own strand of the executor. Thread-safe. The server must exist until the executor
 * has stopped running.
 */
class HttpServer
{
public:
    HttpServer(boost::asio::any_io_executor executor, HttpServerLimits limits, HttpHandler handler, HttpServerObserver observer = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Binds the endpoint and starts accepting connections; false with a reason if the address can't be bound. */
    bool start(const Endpoint &endpoint, Reason &reason);
    /** Sets the limits for requests that start after this call. */
    void setLimits(const HttpServerLimits &limits);
    /** Port that the server listens on; needed when it was started on port 0. */
    std::uint16_t port() const noexcept;
    /** Makes further responses carry "Connection: close", unless pipelined requests follow them; connections are still accepted. */
    void closeAfterResponses() noexcept;
    /** Stops accepting connections and closes idle ones; exchanges in progress continue. */
    void stopAccepting();
    /** True when stopAccepting() has taken effect and all connections have been closed, also those that were receiving a request. */
    bool hasEnded() const noexcept;
    /** Number of exchanges in progress. */
    std::size_t activeExchanges() const noexcept;

    struct State;

private:
    std::shared_ptr<State> m_state;
};

} // namespace snipehill
