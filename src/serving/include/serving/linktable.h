#pragma once

#include <connection/link.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <vector>

namespace snipehill
{

/**
 * The links that this process has opened, one per peer. Links to the persistent peers are kept open in the
 * background, so that requests need not wait for a connection; links to other peers are opened on first use.
 * Thread-safe. Must outlive the executor's run.
 */
class LinkTable
{
public:
    LinkTable(boost::asio::any_io_executor executor, LinkIdentity identity, LinkHandlers handlers);
    ~LinkTable();
    LinkTable(const LinkTable &) = delete;
    LinkTable &operator=(const LinkTable &) = delete;

    /** Replaces the list of peers to stay connected to. */
    void setPersistentPeers(std::vector<Endpoint> peers);
    /** Returns the open link to a peer, or null. */
    LinkPointer find(const Endpoint &peer) const;
    /** Returns the link to a peer and opens it if there is none; null with a reason on failure or timeout. */
    boost::asio::awaitable<LinkPointer> open(Endpoint peer, milliseconds timeout, Reason &reason);
    /** Returns a function that makes control calls over these links. It must not outlive the table. */
    PeerCall peerCall();
    void start();
    void stop();

private:
    boost::asio::awaitable<void> reopen(Endpoint peer);
    boost::asio::awaitable<void> maintain();
    std::vector<Endpoint> missingPeers();

    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace snipehill
