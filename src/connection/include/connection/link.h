#pragma once

#include <connection/endpoint.h>
#include <connection/rpc.h>
#include <core/ids.h>
#include <core/time.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipehill
{

namespace wire
{
class LinkMessage;
class Hello;
} // namespace wire

class Link;
using LinkPointer = std::shared_ptr<Link>;

/** Callbacks for the events of a link. They run on the link's strand and must not block. */
struct LinkHandlers
{
    std::function<void(const LinkPointer &, const wire::LinkMessage &)> message; //!< called for each message except control calls and their responses
    std::function<void(const LinkPointer &)> opened; //!< called once both sides have sent Hello
    std::function<void(const LinkPointer &)> closed; //!< called once; no other callback follows
    std::shared_ptr<RpcDispatcher> rpc; //!< handles control calls, may be null
};

/** Identity of this process, sent in its Hello message. */
struct LinkIdentity
{
    Incarnation self;
    std::string role;
    milliseconds heartbeat{1000}; //!< the link is closed if nothing arrives from the peer for two heartbeats
};

/**
 * A connection between two processes that carries protobuf messages over a WebSocket with heartbeats.
 *
 * Created by openLink() or by a LinkServer; its read loop owns it until the connection closes. send(), call()
 * and close() may be called from any thread. A link on which nothing arrives for two heartbeats is closed, so
 * that requests don't hang on a connection whose state a middlebox has dropped.
 */
class Link
{
public:
    virtual ~Link() = default;
    /** Queues the message. It is dropped if the link is closed; a link with too much queued data is closed. */
    virtual void send(const wire::LinkMessage &message) = 0;
    /** Calls a control method of the peer; empty with a reason on failure or timeout. Resumes on the caller's executor. */
    virtual boost::asio::awaitable<std::optional<Json::Value>> call(std::string method, Json::Value params, milliseconds timeout, Reason &reason) = 0;
    virtual void close() = 0;
    virtual bool isOpen() const noexcept = 0;
    /** Instance and incarnation of the peer, from its Hello. */
    virtual const Incarnation &peer() const noexcept = 0;
    virtual const std::string &peerRole() const noexcept = 0;
    virtual const std::string &peerAddress() const noexcept = 0;
};

/** Connects and exchanges Hello messages; null with a reason on failure. Connecting and the WebSocket handshake each have the timeout. */
boost::asio::awaitable<LinkPointer>
openLink(boost::asio::any_io_executor executor, Endpoint peer, LinkIdentity identity, LinkHandlers handlers, milliseconds timeout, Reason &reason);

/** Accepts links from peers. Thread-safe; must exist until the executor has stopped running. */
class LinkServer
{
public:
    LinkServer(boost::asio::any_io_executor executor, LinkIdentity identity, LinkHandlers handlers);
    ~LinkServer();
    LinkServer(const LinkServer &) = delete;
    LinkServer &operator=(const LinkServer &) = delete;

    /** Binds the endpoint and starts accepting links; false with a reason if the address can't be bound. */
    bool start(const Endpoint &endpoint, Reason &reason);
    /** Stops accepting links; open links stay open. */
    void stop();
    /** Links that are currently open. */
    std::vector<LinkPointer> links() const;

    struct State;

private:
    std::shared_ptr<State> m_state;
};

} // namespace snipehill
