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
/** Intervals without contact with a parent after which other parents are asked; after twice as many the log is read. */
constexpr int missedIntervals = 2;

bool isOlderThan(const std::optional<TimePoint> &moment, Duration age, TimePoint now)
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
    return position.readsLog || isOlderThan(parentContactAt, 2 * missedIntervals * options.pushInterval, now);
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
        change([&](ConfigReplica &locked) {
            const bool changed = applyPage(locked, *page, sentAt, Clock::now(), applyObserver);
            from = locked.fold.nextRead;
            return changed;
        });
        if (page->records.empty() || Clock::now() - started > options.freshness) {
            break;
        }
        // Keeps reading without waiting: only a read that reaches the end of the log counts as contact.
        wait = milliseconds(0);
    }
    co_return true;
}

asio::awaitable<void> ConfigFollower::State::readLoop()
{
    const auto self = shared_from_this();
    while (!stopped) {
        bool succeeded = false;
        const bool reads = readsLog(Clock::now());
        try {
            if (reads) {
                succeeded = co_await readOnce();
            }
        } catch (const std::exception &) {
            succeeded = false; // a malformed response counts as none
        }
        if (!succeeded) {
            co_await pause(logTimer, options.retryDelay);
        }
    }
}

std::vector<Endpoint> ConfigFollower::State::peersToPullFrom(TimePoint now)
{
    const std::lock_guard lock(mutex);
    std::vector<Endpoint> endpoints;
    const auto addParent = [&](const std::string &name) {
        if (const auto link = linkOf(name)) {
            endpoints.push_back(*link);
        }
    };
    const bool parentSilent = isOlderThan(parentContactAt, missedIntervals * options.pushInterval, now);
    if (options.keyed && !position.parents.empty() && isOlderThan(freshnessPulledAt, options.pullInterval - peerLoopInterval / 2, now)) {
        freshnessPulledAt = now;
        addParent(position.parents.front());
    }
    const bool contactLate
        = isOlderThan(replica.contactAt, options.keyed ? missedIntervals * options.pullInterval : missedIntervals * options.pushInterval, now);
    if (!position.readsLog && (parentSilent || (options.keyed && contactLate))) {
        std::for_each(position.parents.begin(), position.parents.end(), addParent);
    }
    if (contactLate && (position.readsLog || options.keyed)) {
        for (std::size_t i = 0; i < std::min(peers.size(), peerSampleSize); ++i) {
            endpoints.push_back(peers[i].link);
        }
        if (peers.empty()) {
            endpoints.insert(endpoints.end(), options.seeds.begin(), options.seeds.end());
        }
    }
    return endpoints;
}

asio::awaitable<void> ConfigFollower::State::pullFrom(Endpoint peer)
{
    const auto self = shared_from_this();
    Json::Value params(Json::objectValue);
    {
        const std::lock_guard lock(mutex);
        params["from"] = Json::Int64(pullOffset(replica));
    }
    Reason reason;
    const TimePoint sentAt = Clock::now();
    std::optional<Json::Value> update;
    try {
        update = co_await call(peer, "config.read", params, options.peerTimeout, reason);
    } catch (const std::exception &) {
        update = std::nullopt;
    }
    pulling.erase(peer);
    if (update) {
        change([&](ConfigReplica &locked) {
            parentContactAt = Clock::now();
            return applyConfigUpdate(locked, *update, sentAt, applyObserver);
        });
    }
}

asio::awaitable<void> ConfigFollower::State::peerLoop()
{
    const auto self = shared_from_this();
    while (!stopped) {
        for (const Endpoint &peer : peersToPullFrom(Clock::now())) {
            if (pulling.insert(peer).second) {
                asio::co_spawn(strand, pullFrom(peer), asio::detached);
            }
        }
        co_await pause(peerTimer, peerLoopInterval);
    }
}

asio::awaitable<void> ConfigFollower::State::pushTo(std::string instance, Endpoint peer)
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
    std::optional<Json::Value> response;
    try {
        response = co_await call(peer, "config.advance", params, options.peerTimeout, reason);
    } catch (const std::exception &) {
        response = std::nullopt;
    }
    pushing.erase(instance);
    if (!response || !response->isObject() || !(*response)["offset"].isInt64()) {
        childOffsets.erase(instance);
        co_return;
    }
    const Offset childOffset = (*response)["offset"].asInt64();
    childOffsets[instance] = childOffset;
    if (childOffset < params["offset"].asInt64() && known != childOffset) {
        wakeRelay();
    }
}

bool ConfigFollower::State::needsPush(const ConfigPeer &child) const
{
    // Keyed members pull often enough to know that this process is alive.
    const auto known = childOffsets.find(child.instance);
    return !child.keyed || known == childOffsets.end() || known->second < replica.fold.config.offset;
}

void ConfigFollower::State::pushToChildren()
{
    std::vector<std::pair<std::string, Endpoint>> children;
    {
        const std::lock_guard lock(mutex);
        for (const ConfigPeer &peer : peers) {
            const bool child = std::find(position.children.begin(), position.children.end(), peer.instance) != position.children.end();
            if (child && needsPush(peer)) {
                children.emplace_back(peer.instance, peer.link);
            }
        }
    }
    for (const auto &[instance, link] : children) {
        if (pushing.insert(instance).second) {
            asio::co_spawn(strand, pushTo(instance, link), asio::detached);
        }
    }
}

asio::awaitable<void> ConfigFollower::State::relayLoop()
{
    const auto self = shared_from_this();
    while (!stopped) {
        if (!pushPending) {
            co_await pause(relayTimer, options.pushInterval);
        }
        pushPending = false;
        pushToChildren();
    }
}

} // namespace snipehill
