#pragma once

#include <connection/link.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <vector>

namespace snipehill
{

/**
 * Links that this process opened, one for each peer. Thread-safe. Keeps links open to the peers that it is
 * told of, so that requests find them ready; others are opened when first used. Must outlive the executor's run.
 */
class LinkTable
{
public:
    LinkTable(boost::asio::any_io_executor executor, LinkIdentity identity, LinkHandlers handlers);
    ~LinkTable();
    LinkTable(const LinkTable &) = delete;
    LinkTable &operator=(const LinkTable &) = delete;

    /** Peers to stay connected to; replaces the last list. */
    void setPersistentPeers(std::vector<Endpoint> peers);
    /** The open link to a peer, or null. */
    LinkPointer find(const Endpoint &peer) const;
    /** The open link to a peer, opened if need be; null with a reason when that fails in time. */
    boost::asio::awaitable<LinkPointer> open(Endpoint peer, milliseconds timeout, Reason &reason);
    /** Control calls over these links. */
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
