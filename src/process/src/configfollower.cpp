#include "configfollowerstate.h"

#include <version/configsnapshot.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace asio = boost::asio;

namespace snipehill
{

ConfigFollower::State::State(ConfigFollowerOptions followerOptions, const asio::any_io_executor &executor, PeerCall peerCall)
    : options(std::move(followerOptions))
    , call(std::move(peerCall))
    , strand(asio::make_strand(executor))
    , logTimer(strand)
    , peerTimer(strand)
    , relayTimer(strand)
{
}

void ConfigFollower::State::publish()
{
    const std::lock_guard notifyLock(notifyMutex);
    ConfigPointer published;
    {
        const std::lock_guard lock(mutex);
        if (holding.fold.config.offset <= current->offset) {
            return;
        }
        current = std::make_shared<const ConfigVersion>(holding.fold.config);
        published = current;
    }
    notified = published->offset;
    if (changeObserver) {
        changeObserver(published);
    }
}

bool ConfigFollower::State::change(const std::function<bool(ConfigHolding &)> &function)
{
    bool moved = false;
    {
        const std::lock_guard lock(mutex);
        moved = function(holding);
    }
    if (moved) {
        publish();
        wakeRelay();
    }
    return moved;
}

std::vector<std::string> ConfigFollower::State::sampleNames() const
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < std::min(peers.size(), sampleSize); ++i) {
        names.push_back(peers[i].instance);
    }
    return names;
}

Freshness ConfigFollower::State::judge(TimePoint now) const
{
    FreshnessInputs view = freshnessView(holding, sampleNames());
    if (peers.empty()) {
        // Members are not known yet: count the seeds, so that a process that reaches nobody does not call it an outage.
        const std::size_t reached = holding.contacts.size();
        for (const auto &[instance, contact] : holding.contacts) {
            view.members.push_back(contact);
        }
        for (std::size_t missing = reached; missing < options.seeds.size(); ++missing) {
            view.members.emplace_back();
        }
    }
    return evaluateFreshness(view, options.freshness, now);
}

std::optional<Endpoint> ConfigFollower::State::linkOf(const std::string &instance) const
{
    const auto peer = std::find_if(peers.begin(), peers.end(), [&](const ConfigPeer &candidate) {
        return candidate.instance == instance;
    });
    return peer == peers.end() ? std::nullopt : std::optional(peer->link);
}

void ConfigFollower::State::wakeRelay()
{
    asio::post(strand, [self = shared_from_this()] {
        self->relayDirty = true;
        self->relayTimer.cancel();
    });
}

std::optional<Json::Value> ConfigFollower::State::answerRead(const Json::Value &params)
{
    const Json::Value &from = params.isObject() ? params["from"] : Json::Value::nullSingleton();
    const Offset offset = from.isInt64() ? from.asInt64() : noOffset;
    const std::lock_guard lock(mutex);
    holding.highestHeard = std::max(holding.highestHeard, offset);
    return tellPeer(holding, options.instance, offset, Clock::now());
}

std::optional<Json::Value> ConfigFollower::State::answerAdvance(const Json::Value &params)
{
    change([&](ConfigHolding &held) {
        heardAt = Clock::now();
        return hearPeer(held, params, std::nullopt, applyObserver);
    });
    Json::Value answer(Json::objectValue);
    const std::lock_guard lock(mutex);
    answer["instance"] = options.instance;
    answer["offset"] = Json::Int64(askFrom(holding));
    return answer;
}

ConfigFollower::ConfigFollower(ConfigFollowerOptions options, const asio::any_io_executor &executor, PeerCall call)
    : m_state(std::make_shared<State>(std::move(options), executor, std::move(call)))
{
}

ConfigFollower::~ConfigFollower() = default;

void ConfigFollower::setPeers(std::vector<ConfigPeer> peers)
{
    const ConfigFollowerOptions &options = m_state->options;
    std::erase_if(peers, [&](const ConfigPeer &peer) {
        return peer.instance == options.instance;
    });
    std::vector<TreeMember> members{{options.instance, options.region, options.keyed}};
    for (const ConfigPeer &peer : peers) {
        members.push_back({peer.instance, peer.region, peer.keyed});
    }
    std::sort(peers.begin(), peers.end(), [](const ConfigPeer &a, const ConfigPeer &b) {
        const std::hash<std::string> hash;
        return std::pair(hash(a.instance), a.instance) < std::pair(hash(b.instance), b.instance);
    });
    TreePlace place = treePlace(std::move(members), options.instance, options.tree);
    const std::lock_guard lock(m_state->mutex);
    m_state->peers = std::move(peers);
    m_state->place = std::move(place);
}

void ConfigFollower::onChange(ConfigObserver observer)
{
    m_state->changeObserver = std::move(observer);
}

void ConfigFollower::onApply(ApplyObserver observer)
{
    m_state->applyObserver = std::move(observer);
}

void ConfigFollower::offerMethods(RpcMethods &methods)
{
    methods["config.read"] = [state = m_state](const Json::Value &params, Reason &) {
        return state->answerRead(params);
    };
    methods["config.advance"] = [state = m_state](const Json::Value &params, Reason &) {
        return state->answerAdvance(params);
    };
    methods["config.status"] = [this](const Json::Value &, Reason &) -> std::optional<Json::Value> {
        return status(Clock::now());
    };
}

void ConfigFollower::start()
{
    asio::co_spawn(m_state->strand, m_state->readLoop(), asio::detached);
    asio::co_spawn(m_state->strand, m_state->peerLoop(), asio::detached);
    asio::co_spawn(m_state->strand, m_state->relayLoop(), asio::detached);
}

void ConfigFollower::stop()
{
    m_state->stopped = true;
    asio::post(m_state->strand, [state = m_state] {
        state->logTimer.cancel();
        state->peerTimer.cancel();
        state->relayTimer.cancel();
    });
}

ConfigPointer ConfigFollower::current() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->current;
}

std::optional<TimePoint> ConfigFollower::lastContact() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->holding.contactAt;
}

Freshness ConfigFollower::freshness(TimePoint now) const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->judge(now);
}

bool ConfigFollower::ready() const
{
    const std::lock_guard lock(m_state->mutex);
    m_state->everServed = m_state->everServed || m_state->judge(Clock::now()) != Freshness::Stale;
    return m_state->everServed;
}

Json::Value ConfigFollower::status(TimePoint now) const
{
    const ConfigPointer config = current();
    Json::Value status(Json::objectValue);
    status["offset"] = Json::Int64(config->offset);
    status["digest"] = configDigest(*config);
    status["freshness"] = toString(freshness(now));
    if (const auto contact = lastContact()) {
        status["contactAgeMs"] = Json::Int64(std::chrono::ceil<milliseconds>(now - *contact).count());
    }
    return status;
}

asio::awaitable<bool> ConfigFollower::appendSnapshotIfDue(Reason &reason)
{
    const auto state = m_state;
    Json::Value record;
    {
        const std::lock_guard lock(state->mutex);
        const ConfigHolding &holding = state->holding;
        SnapshotConditions need{.retention = state->options.retention, .hasUnsupportedRecords = !holding.fold.config.unsupportedRecords.empty()};
        if (holding.snapshotSeenAt) {
            need.timeSinceLast = Clock::now() - *holding.snapshotSeenAt;
        }
        if (!holding.fold.complete || holding.fold.config.offset == noOffset || !isSnapshotDue(need)) {
            co_return true;
        }
        record = writeSnapshot(holding.fold.config);
    }
    std::vector<Json::Value> records{std::move(record)};
    // A lost answer needs no resolving: a second snapshot behind the first has no effect.
    const auto offset = co_await appendLog(state->options.log, streams::config, std::move(records), reason);
    co_return offset.has_value();
}

} // namespace snipehill
