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
        if (replica.fold.config.offset <= current->offset) {
            return;
        }
        current = std::make_shared<const ConfigVersion>(replica.fold.config);
        published = current;
    }
    notified = published->offset;
    if (changeObserver) {
        changeObserver(published);
    }
}

bool ConfigFollower::State::change(const std::function<bool(ConfigReplica &)> &function)
{
    bool changed = false;
    {
        const std::lock_guard lock(mutex);
        changed = function(replica);
    }
    if (changed) {
        publish();
        wakeRelay();
    }
    return changed;
}

std::vector<std::string> ConfigFollower::State::sampleNames() const
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < std::min(peers.size(), peerSampleSize); ++i) {
        names.push_back(peers[i].instance);
    }
    return names;
}

Freshness ConfigFollower::State::freshnessAt(TimePoint now) const
{
    FreshnessInputs inputs = freshnessInputs(replica, sampleNames());
    if (peers.empty()) {
        // Members are not known yet: count the seeds, so that a process that reaches no peer does not take this for an outage.
        const std::size_t reached = replica.memberContacts.size();
        for (const auto &[instance, contact] : replica.memberContacts) {
            inputs.members.push_back(contact);
        }
        for (std::size_t missing = reached; missing < options.seeds.size(); ++missing) {
            inputs.members.emplace_back();
        }
    }
    return evaluateFreshness(inputs, options.freshness, now);
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
        self->pushPending = true;
        self->relayTimer.cancel();
    });
}

std::optional<Json::Value> ConfigFollower::State::handleRead(const Json::Value &params)
{
    const Json::Value &from = params.isObject() ? params["from"] : Json::Value::nullSingleton();
    const Offset offset = from.isInt64() ? from.asInt64() : noOffset;
    const std::lock_guard lock(mutex);
    replica.highestKnownOffset = std::max(replica.highestKnownOffset, offset);
    return makeConfigUpdate(replica, options.instance, offset, Clock::now());
}

std::optional<Json::Value> ConfigFollower::State::handleAdvance(const Json::Value &params)
{
    change([&](ConfigReplica &locked) {
        parentContactAt = Clock::now();
        return applyConfigUpdate(locked, params, std::nullopt, applyObserver);
    });
    Json::Value response(Json::objectValue);
    const std::lock_guard lock(mutex);
    response["instance"] = options.instance;
    response["offset"] = Json::Int64(pullOffset(replica));
    return response;
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
    TreePosition position = computeTreePosition(std::move(members), options.instance, options.tree);
    const std::lock_guard lock(m_state->mutex);
    m_state->peers = std::move(peers);
    m_state->position = std::move(position);
}

void ConfigFollower::onChange(ConfigObserver observer)
{
    m_state->changeObserver = std::move(observer);
}

void ConfigFollower::onApply(ApplyObserver observer)
{
    m_state->applyObserver = std::move(observer);
}

void ConfigFollower::registerMethods(RpcMethods &methods)
{
    methods["config.read"] = [state = m_state](const Json::Value &params, Reason &) {
        return state->handleRead(params);
    };
    methods["config.advance"] = [state = m_state](const Json::Value &params, Reason &) {
        return state->handleAdvance(params);
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
    return m_state->replica.contactAt;
}

Freshness ConfigFollower::freshness(TimePoint now) const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->freshnessAt(now);
}

bool ConfigFollower::ready() const
{
    const std::lock_guard lock(m_state->mutex);
    m_state->becameReady = m_state->becameReady || m_state->freshnessAt(Clock::now()) != Freshness::Stale;
    return m_state->becameReady;
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
        const ConfigReplica &replica = state->replica;
        SnapshotConditions need{.retention = state->options.retention, .hasUnsupportedRecords = !replica.fold.config.unsupportedRecords.empty()};
        if (replica.snapshotSeenAt) {
            need.timeSinceLast = Clock::now() - *replica.snapshotSeenAt;
        }
        if (!replica.fold.complete || replica.fold.config.offset == noOffset || !isSnapshotDue(need)) {
            co_return true;
        }
        record = writeSnapshot(replica.fold.config);
    }
    std::vector<Json::Value> records{std::move(record)};
    // A lost response needs no resolving: a second snapshot after the first has no effect.
    const auto offset = co_await appendLog(state->options.log, streams::config, std::move(records), reason);
    co_return offset.has_value();
}

} // namespace snipehill
