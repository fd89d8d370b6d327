#pragma once

#include <connection/endpoint.h>
#include <core/time.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace snipehill
{

/** Bounds on what an HTTP client may send. */
struct HttpServerLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 8U << 20U;
    std::uint32_t headerCount = 100;
    milliseconds headTimeout{10000}; //!< from the first byte of a request to the end of its head
    milliseconds idleTimeout{60000}; //!< between requests
    milliseconds requestTimeout{10000}; //!< from the first byte of a request to its last
    milliseconds writeTimeout{30000}; //!< for one write to make progress
};

/** Header fields in order of writing. */
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/**
 * One request and its answer, handed to the handler. Lives for the handler's run, on the strand of its
 * connection. Either respond(), or beginStream(), write()... and finish().
 * Functions return false once the client is gone.
 */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;
    virtual const boost::beast::http::request<boost::beast::http::string_body> &request() const noexcept = 0;
    virtual const std::string &clientAddress() const noexcept = 0;
    virtual boost::asio::awaitable<bool> respond(unsigned status, HeaderList headers, std::string body) = 0;
    virtual boost::asio::awaitable<bool> beginStream(unsigned status, HeaderList headers) = 0;
    virtual boost::asio::awaitable<bool> write(std::string_view data) = 0;
    virtual boost::asio::awaitable<bool> finish() = 0;
    /** Cuts the connection, so that a partial answer can't pass for a whole one. */
    virtual void abort() = 0;
    /** Some answer was begun. */
    virtual bool hasResponseStarted() const noexcept = 0;
    /** The client has closed the connection or it broke, as far as was noticed. */
    virtual bool isDisconnected() const noexcept = 0;
    /** Asks the connection itself, which a busy process may know later; notes what it finds. */
    virtual bool checkDisconnected() = 0;
    /** Calls back once, on the connection's strand, when the client goes while the handler runs; at once if it is gone. */
    virtual void onDisconnect(std::function<void()> callback) = 0;
    /** When the head of the request had arrived. */
    virtual TimePoint received() const noexcept = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

/**
 * HTTP/1.1 server with keep-alive and pipelining answered in order.
 *
 * start() accepts on the endpoint; each connection runs on a strand of its own of the executor, its requests
 * one after another. Thread-safe. The server must outlive the executor's run.
 */
class HttpServer
{
public:
    HttpServer(boost::asio::any_io_executor executor, HttpServerLimits limits, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Binds and starts to accept; empty with a reason when the address can't be had. */
    bool start(const Endpoint &endpoint, Reason &reason);
    /** Bounds for requests that begin from now on. */
    void setLimits(const HttpServerLimits &limits);
    /** Port bound, useful when started on a free one. */
    std::uint16_t port() const noexcept;
    /** Answers carry Connection: close from now on; connections are still accepted. */
    void closeAfterResponses() noexcept;
    /** Stops accepting and closes idle connections; exchanges under way go on. */
    void stopAccepting();
    /** Exchanges under way. */
    std::size_t activeExchanges() const noexcept;

    struct State;

private:
    std::shared_ptr<State> m_state;
};

} // namespace snipehill
