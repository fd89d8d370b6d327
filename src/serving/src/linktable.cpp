#include <serving/linktable.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <set>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds reopenInterval{250};
constexpr milliseconds openTimeout{1000};

} // namespace

struct LinkTable::State
{
    asio::any_io_executor executor;
    LinkIdentity identity;
    LinkHandlers handlers;
    std::atomic<bool> stopped{false};
    mutable std::mutex lock;
    std::map<Endpoint, LinkPointer> links;
    std::set<Endpoint> persistentPeers;
    std::set<Endpoint> opening;
};

LinkTable::LinkTable(asio::any_io_executor executor, LinkIdentity identity, LinkHandlers handlers) : m_state(std::make_shared<State>())
{
    m_state->executor = std::move(executor);
    m_state->identity = std::move(identity);
    m_state->handlers = std::move(handlers);
}

LinkTable::~LinkTable() = default;

void LinkTable::setPersistentPeers(std::vector<Endpoint> peers)
{
    const std::lock_guard lock(m_state->lock);
    m_state->persistentPeers = {peers.begin(), peers.end()};
    // Removes closed links to peers that are no longer listed; open ones stay until the peer closes them.
    std::erase_if(m_state->links, [this](const auto &link) {
        return !link.second->isOpen() && !m_state->persistentPeers.contains(link.first);
    });
}

LinkPointer LinkTable::find(const Endpoint &peer) const
{
    const std::lock_guard lock(m_state->lock);
    const auto link = m_state->links.find(peer);
    return link != m_state->links.end() && link->second->isOpen() ? link->second : nullptr;
}

asio::awaitable<LinkPointer> LinkTable::open(Endpoint peer, milliseconds timeout, Reason &reason)
{
    LinkPointer link = find(peer);
    if (link) {
        co_return link;
    }
    const auto state = m_state;
    link = co_await openLink(state->executor, peer, state->identity, state->handlers, timeout, reason);
    if (link) {
        const std::lock_guard lock(state->lock);
        LinkPointer &current = state->links[peer];
        if (!current || !current->isOpen()) {
            current = link;
        }
    }
    co_return link;
}

namespace
{

asio::awaitable<std::optional<Json::Value>>
callPeer(LinkTable *table, Endpoint peer, std::string method, Json::Value params, milliseconds timeout, Reason &reason)
{
    const LinkPointer link = co_await table->open(std::move(peer), timeout, reason);
    if (!link) {
        co_return std::nullopt;
    }
    auto result = co_await link->call(std::move(method), std::move(params), timeout, reason);
    co_return result;
}

} // namespace

PeerCall LinkTable::peerCall()
{
    return [this](Endpoint peer, std::string method, Json::Value params, milliseconds timeout, Reason &reason) {
        return callPeer(this, std::move(peer), std::move(method), std::move(params), timeout, reason);
    };
}

asio::awaitable<void> LinkTable::reopen(Endpoint peer)
{
    Reason reason;
    co_await open(peer, openTimeout, reason);
    const std::lock_guard lock(m_state->lock);
    m_state->opening.erase(peer);
}

std::vector<Endpoint> LinkTable::missingPeers()
{
    std::vector<Endpoint> missing;
    const std::lock_guard lock(m_state->lock);
    for (const Endpoint &peer : m_state->persistentPeers) {
        const auto link = m_state->links.find(peer);
        const bool isOpen = link != m_state->links.end() && link->second->isOpen();
        if (!isOpen && m_state->opening.insert(peer).second) {
            missing.push_back(peer);
        }
    }
    return missing;
}

asio::awaitable<void> LinkTable::maintain()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!m_state->stopped) {
        for (Endpoint &peer : missingPeers()) {
            asio::co_spawn(m_state->executor, reopen(std::move(peer)), asio::detached);
        }
        timer.expires_after(reopenInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void LinkTable::start()
{
    asio::co_spawn(asio::make_strand(m_state->executor), maintain(), asio::detached);
}

void LinkTable::stop()
{
    m_state->stopped = true;
}

} // namespace snipehill
