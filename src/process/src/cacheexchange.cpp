#include <process/cacheexchange.h>

#include <algorithm>
#include <iterator>

namespace snipehill
{

namespace
{

constexpr seconds peerTimeout{3}; // as in the exchange of peer updates

/** Instances of the peers for which the condition holds. */
template<typename Condition> std::vector<std::string> peersWith(const CacheExchange &exchange, TimePoint now, Condition condition)
{
    std::vector<std::string> instances;
    for (const auto &[instance, peer] : exchange.peers) {
        if (now - peer.lastHeard <= peerTimeout && condition(peer)) {
            instances.push_back(instance);
        }
    }
    return instances;
}

QueuedKnowledge sizeOf(const CacheKnowledge &knowledge)
{
    QueuedKnowledge size{.targets = knowledge.heldParts.size()};
    for (const HeldParts &held : knowledge.heldParts) {
        size.parts += held.parts.size();
    }
    for (const RoutedBlocks &routed : knowledge.routedBlocks) {
        size.blocks += routed.blocks.size();
    }
    return size;
}

} // namespace

QueuedKnowledge
recordPeer(CacheExchange &exchange, const TargetRegistry &registry, const Incarnation &peer, std::span<const std::string> engines, TimePoint now)
{
    const auto [known, added] = exchange.peers.try_emplace(peer.instance);
    const bool restarted = added || known->second.incarnation != peer.number;
    known->second.lastHeard = now;
    if (!restarted) {
        return {};
    }
    known->second = {.incarnation = peer.number, .firstHeard = now, .lastHeard = now, .queue = {}};
    std::vector<std::string> told(exchange.answered.begin(), exchange.answered.end());
    if (now - exchange.started > establishedTime) {
        const auto established = peersWith(exchange, now, [now](const CachePeer &other) {
            return now - other.firstHeard > establishedTime;
        });
        told = ownedTargets(exchange.self, established, engines);
    }
    known->second.queue = registry.cacheKnowledge(told, now);
    return sizeOf(known->second.queue);
}

std::vector<TargetEntry> enginesToAsk(const CacheExchange &exchange, const TargetRegistry &registry, const std::vector<TargetEntry> &engines, TimePoint now)
{
    std::vector<std::string> ids;
    std::transform(engines.begin(), engines.end(), std::back_inserter(ids), [](const TargetEntry &engine) {
        return engine.id;
    });
    const auto live = peersWith(exchange, now, [](const CachePeer &) {
        return true;
    });
    const std::vector<std::string> owned = ownedTargets(exchange.self, live, ids);
    const std::set<std::string> own(owned.begin(), owned.end());
    std::vector<TargetEntry> asked;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(asked), [&](const TargetEntry &engine) {
        return own.contains(engine.id) && !engine.draining && !registry.isCacheKnown(engine.group, engine.id);
    });
    return asked;
}

std::size_t recordAnswer(CacheExchange &exchange, TargetRegistry &registry, const TargetRef &engine, std::span<const PrefixBlock> parts, TimePoint now)
{
    const std::size_t count = registry.applyHeldParts(engine, parts, now);
    exchange.answered.insert(engine.id);
    const std::vector<std::string> ids{engine.id};
    append(exchange.announcements, {registry.cacheKnowledge(ids, now).heldParts, {}});
    return count;
}

} // namespace snipehill
