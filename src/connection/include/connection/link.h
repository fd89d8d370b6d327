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

/** What the owner of links does with what arrives. Callbacks run on the link's strand and must not block. */
struct LinkHandlers
{
    std::function<void(const LinkPointer &, const wire::LinkMessage &)> message; //!< all kinds but control calls
    std::function<void(const LinkPointer &)> opened; //!< after both Hello messages
    std::function<void(const LinkPointer &)> closed; //!< once, after which nothing more arrives
    std::shared_ptr<RpcDispatcher> rpc; //!< answers control calls, may be null
};

/** Who this process is, for its Hello. */
struct LinkIdentity
{
    Incarnation self;
    std::string role;
    milliseconds heartbeat{1000}; //!< a peer that is silent for two of these is given up
};

/**
 * One connection between two processes: protobuf messages over a WebSocket with heartbeats.
 *
 * Made by openLink() or by a LinkServer, kept alive by its own read loop until it closes. send(), call()
 * and close() may be called from any thread. A connection on which nothing arrives for two heartbeats is
 * closed, so one that a middlebox forgot doesn't hold its requests.
 */
class Link
{
public:
    virtual ~Link() = default;
    virtual void send(const wire::LinkMessage &message) = 0;
    /** Control call; resumes on the caller's executor. */
    virtual boost::asio::awaitable<std::optional<Json::Value>> call(std::string method, Json::Value params, milliseconds timeout, Reason &reason) = 0;
    virtual void close() = 0;
    virtual bool isOpen() const noexcept = 0;
    /** Instance, incarnation and role of the peer, from its Hello. */
    virtual const Incarnation &peer() const noexcept = 0;
    virtual const std::string &peerRole() const noexcept = 0;
    virtual const std::string &peerAddress() const noexcept = 0;
};

/** Connects and exchanges Hello; null with a reason when that fails in time. */
boost::asio::awaitable<LinkPointer>
openLink(boost::asio::any_io_executor executor, Endpoint peer, LinkIdentity identity, LinkHandlers handlers, milliseconds timeout, Reason &reason);

/** Accepts links from peers. Thread-safe; must outlive the executor's run. */
class LinkServer
{
public:
    LinkServer(boost::asio::any_io_executor executor, LinkIdentity identity, LinkHandlers handlers);
    ~LinkServer();
    LinkServer(const LinkServer &) = delete;
    LinkServer &operator=(const LinkServer &) = delete;

    bool start(const Endpoint &endpoint, Reason &reason);
    void stop();
    /** Links that are open now. */
    std::vector<LinkPointer> links() const;

    struct State;

private:
    std::shared_ptr<State> m_state;
};

} // namespace snipehill
