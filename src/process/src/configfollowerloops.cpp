#include "configfollowerstate.h"

#include <process/logclient.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace asio = boost::asio;

namespace snipehill
{

namespace
{

constexpr milliseconds peerLoopInterval{500};
/** Parents may stay silent for this many intervals before others are asked, and for twice as many before the log is read. */
constexpr int silentIntervals = 2;

bool older(const std::optional<TimePoint> &moment, Duration age, TimePoint now)
{
    return !moment || now - *moment > age;
}

} // namespace

asio::awaitable<void> ConfigFollower::State::pause(asio::steady_timer &timer, milliseconds time)
{
    boost::system::error_code ignored;
    timer.expires_after(time);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

bool ConfigFollower::State::readsLog(TimePoint now) const
{
    const std::lock_guard lock(mutex);
    return position.readsLog || older(parentContactAt, 2 * silentIntervals * options.pushInterval, now);
}

asio::awaitable<bool> ConfigFollower::State::readOnce()
{
    Offset from = 0;
    {
        const std::lock_guard lock(mutex);
        from = replica.fold.nextRead;
    }
    Reason reason;
    milliseconds wait = options.longPoll;
    const TimePoint started = Clock::now();
    while (!stopped) {
        const TimePoint sentAt = Clock::now();
        const auto page = co_await readLog(options.log, streams::config, from, wait, reason);
        if (!page) {
            co_return false;
        }
        change([&](ConfigReplica &held) {
            const bool moved = applyPage(held, *page, sentAt, Clock::now(), applyObserver);
            from = held.fold.nextRead;
            return moved;
        });
        if (page->records.empty() || Clock::now() - started > options.freshness) {
            break;
        }
        // Reads on without waiting, so that the contact is known soon after a change.
        wait = milliseconds(0);
    }
    co_return true;
}

asio::awaitable<void> ConfigFollower::State::readLoop()
{
    const auto self = shared_from_this();
    while (!stopped) {
        bool answered = false;
        const bool reads = readsLog(Clock::now());
        try {
            if (reads) {
                answered = co_await readOnce();
            }
        } catch (const std::exception &) {
            answered = false; // a malformed answer counts as none
        }
        if (!answered) {
            co_await pause(logTimer, options.retryDelay);
        }
    }
}

std::vector<Endpoint> ConfigFollower::State::peersToAsk(TimePoint now)
{
    const std::lock_guard lock(mutex);
    std::vector<Endpoint> endpoints;
    const auto addParent = [&](const std::string &name) {
        if (const auto link = linkOf(name)) {
            endpoints.push_back(*link);
        }
    };
    const bool parentSilent = older(parentContactAt, silentIntervals * options.pushInterval, now);
    if (options.keyed && !position.parents.empty() && older(pulledAt, options.pullInterval - peerLoopInterval / 2, now)) {
        pulledAt = now;
        addParent(position.parents.front());
    }
    const bool contactLate = older(replica.contactAt, options.keyed ? silentIntervals * options.pullInterval : silentIntervals * options.pushInterval, now);
    if (!position.readsLog && (parentSilent || (options.keyed && contactLate))) {
        std::for_each(position.parents.begin(), position.parents.end(), addParent);
    }
    if (contactLate && (position.readsLog || options.keyed)) {
        for (std::size_t i = 0; i < std::min(peers.size(), sampleSize); ++i) {
            endpoints.push_back(peers[i].link);
        }
        if (peers.empty()) {
            endpoints.insert(endpoints.end(), options.seeds.begin(), options.seeds.end());
        }
    }
    return endpoints;
}

asio::awaitable<void> ConfigFollower::State::ask(Endpoint peer)
{
    const auto self = shared_from_this();
    Json::Value params(Json::objectValue);
    {
        const std::lock_guard lock(mutex);
        params["from"] = Json::Int64(pullOffset(replica));
    }
    Reason reason;
    const TimePoint sentAt = Clock::now();
    std::optional<Json::Value> told;
    try {
        told = co_await call(peer, "config.read", params, options.peerTimeout, reason);
    } catch (const std::exception &) {
        told = std::nullopt;
    }
    asking.erase(peer);
    if (told) {
        change([&](ConfigReplica &held) {
            parentContactAt = Clock::now();
            return applyConfigUpdate(held, *told, sentAt, applyObserver);
        });
    }
}

asio::awaitable<void> ConfigFollower::State::peerLoop()
{
    const auto self = shared_from_this();
    while (!stopped) {
        for (const Endpoint &peer : peersToAsk(Clock::now())) {
            if (asking.insert(peer).second) {
                asio::co_spawn(strand, ask(peer), asio::detached);
            }
        }
        co_await pause(peerTimer, peerLoopInterval);
    }
}

asio::awaitable<void> ConfigFollower::State::tell(std::string instance, Endpoint peer)
{
    const auto self = shared_from_this();
    const auto entry = childOffsets.find(instance);
    const std::optional<Offset> known = entry == childOffsets.end() ? std::nullopt : std::optional(entry->second);
    Json::Value params;
    {
        const std::lock_guard lock(mutex);
        params = makeConfigUpdate(replica, options.instance, known.value_or(replica.fold.config.offset), Clock::now());
    }
    Reason reason;
    std::optional<Json::Value> answer;
    try {
        answer = co_await call(peer, "config.advance", params, options.peerTimeout, reason);
    } catch (const std::exception &) {
        answer = std::nullopt;
    }
    telling.erase(instance);
    if (!answer || !answer->isObject() || !(*answer)["offset"].isInt64()) {
        childOffsets.erase(instance);
        co_return;
    }
    const Offset childOffset = (*answer)["offset"].asInt64();
    childOffsets[instance] = childOffset;
    if (childOffset < params["offset"].asInt64() && known != childOffset) {
        wakeRelay();
    }
}

bool ConfigFollower::State::needsTelling(const ConfigPeer &child) const
{
    // Keyed members ask often enough to know that this process lives.
    const auto known = childOffsets.find(child.instance);
    return !child.keyed || known == childOffsets.end() || known->second < replica.fold.config.offset;
}

void ConfigFollower::State::tellChildren()
{
    std::vector<std::pair<std::string, Endpoint>> children;
    {
        const std::lock_guard lock(mutex);
        for (const ConfigPeer &peer : peers) {
            const bool child = std::find(position.children.begin(), position.children.end(), peer.instance) != position.children.end();
            if (child && needsTelling(peer)) {
                children.emplace_back(peer.instance, peer.link);
            }
        }
    }
    for (const auto &[instance, link] : children) {
        if (telling.insert(instance).second) {
            asio::co_spawn(strand, tell(instance, link), asio::detached);
        }
    }
}

asio::awaitable<void> ConfigFollower::State::relayLoop()
{
    const auto self = shared_from_this();
    while (!stopped) {
        if (!relayDirty) {
            co_await pause(relayTimer, options.pushInterval);
        }
        relayDirty = false;
        tellChildren();
    }
}

} // namespace snipehill
