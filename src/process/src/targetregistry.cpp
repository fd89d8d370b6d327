#include "targetregistryshard.h"

#include <request/estimate.h>

#include <algorithm>
#include <mutex>
#include <utility>

namespace snipehill
{

namespace
{

constexpr std::size_t maxUnsentPrompts = 256; // more prompts than an entry places between two peer updates
constexpr std::uint64_t minSharedPromptTokens = 512; // fewer take about the fixed time of one prompt to prefill, so knowing where they are cached gains little

/** Keeps what the target's run has stated when its registration record goes. */
template<typename Shard, typename Target> void keepNotice(Shard &shard, const Target &target)
{
    if (target.notice.leavingSince || target.notice.pausedUntil != TimePoint{}) {
        shard.absentNotices[target.run] = target.notice;
    }
}

/** Records blocks that a target will cache. Peer updates carry the blocks of long prompts, and for short ones only the number of tokens. */
template<typename Shard> void recordBlocksForPeers(Shard &shard, const std::string &id, std::span<const PrefixBlock> blocks)
{
    recordRoutedBlocks(shard.prefixIndex, id, blocks);
    std::uint64_t tokens = 0;
    for (const PrefixBlock &block : blocks) {
        tokens += block.tokens;
    }
    if (tokens < minSharedPromptTokens) {
        shard.unsentShortPromptTokens[id] += tokens;
    } else if (shard.unsentBlocks.size() < maxUnsentPrompts) {
        shard.unsentBlocks.push_back({targetHash(id), {blocks.begin(), blocks.end()}});
    }
}

/** Hash of the parts of a prompt that others may share; 0 if they are too short to matter where they are cached. */
std::uint64_t sharedPartOf(std::span<const PrefixBlock> blocks)
{
    std::uint64_t tokens = 0;
    for (std::size_t i = 0; i + 1 < blocks.size(); ++i) {
        tokens += blocks[i].tokens;
    }
    return tokens < minSharedPromptTokens ? 0 : blocks[blocks.size() - 2].hash;
}

/** Backoff time that doubles with each consecutive event, up to a maximum. */
Duration backoffTime(Duration time, std::uint32_t previousRepetitions, Duration maxTime)
{
    constexpr std::uint32_t maxDoublings = 8;
    return std::min(time * (1U << std::min(previousRepetitions, maxDoublings)), maxTime);
}

bool contains(std::span<const std::string> ids, const std::string &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

std::uint64_t targetRun(const TargetEntry &entry) noexcept
{
    return fingerprintOf(std::to_string(entry.startTimeMs), fingerprintOf(entry.id));
}

TargetRegistry::TargetRegistry(TargetRegistrySettings settings) : m_settings(std::move(settings)) { }

TargetRegistry::~TargetRegistry() = default;

std::shared_ptr<TargetRegistry::Shard> TargetRegistry::shardOf(const std::string &group) const
{
    const std::lock_guard lock(m_lock);
    const auto found = m_shards.find(group);
    return found == m_shards.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<TargetRegistry::Shard>> TargetRegistry::shards() const
{
    const std::lock_guard lock(m_lock);
    std::vector<std::shared_ptr<Shard>> all;
    for (const auto &[group, shard] : m_shards) {
        all.push_back(shard);
    }
    return all;
}

template<typename Function> void TargetRegistry::withTarget(const TargetRef &ref, Function function)
{
    const auto shard = shardOf(ref.group);
    if (!shard) {
        return;
    }
    const std::lock_guard lock(shard->lock);
    const auto found = shard->targets.find(ref.id);
    if (found != shard->targets.end()) {
        function(found->second);
    }
}

bool TargetRegistry::apply(const TargetEntry &entry)
{
    Reason reason;
    const auto endpoint = parseEndpoint(entry.address, reason);
    if (!endpoint) {
        return false;
    }
    std::string previousGroup;
    std::optional<std::pair<std::uint64_t, TargetNotice>> moved; // from the shard of another group
    std::shared_ptr<Shard> shard;
    {
        const std::lock_guard lock(m_lock);
        previousGroup = std::exchange(m_groups[entry.id], entry.group);
        shard = m_shards.try_emplace(entry.group, std::make_shared<Shard>()).first->second;
    }
    if (!previousGroup.empty() && previousGroup != entry.group) {
        const auto other = shardOf(previousGroup);
        const std::lock_guard lock(other->lock);
        const auto known = other->targets.find(entry.id);
        if (known != other->targets.end()) {
            moved = {known->second.run, known->second.notice};
            other->targets.erase(known);
        }
    }
    const std::lock_guard lock(shard->lock);
    if (moved) {
        mergeNotice(shard->absentNotices[moved->first], moved->second);
    }
    const auto [found, added] = shard->targets.try_emplace(entry.id);
    Target &target = found->second;
    const bool restarted = !added && (target.entry.startTimeMs != entry.startTimeMs || target.entry.address != entry.address);
    const bool changed = added || restarted || target.entry.draining != entry.draining || target.entry.role != entry.role;
    if (restarted) {
        removeTarget(shard->prefixIndex, entry.id);
        keepNotice(*shard, target);
        target = Target{};
    }
    target.entry = entry;
    target.hash = targetHash(entry.id);
    target.run = targetRun(entry);
    target.endpoint = *endpoint;
    if (const auto notice = shard->absentNotices.extract(target.run)) {
        mergeNotice(target.notice, notice.mapped());
    }
    return changed;
}

bool TargetRegistry::remove(std::string_view id)
{
    std::string group;
    {
        const std::lock_guard lock(m_lock);
        const auto found = m_groups.find(id);
        if (found == m_groups.end()) {
            return false;
        }
        group = found->second;
        m_groups.erase(found);
    }
    const auto shard = shardOf(group);
    const std::lock_guard lock(shard->lock);
    removeTarget(shard->prefixIndex, id);
    const auto target = shard->targets.find(id);
    if (target == shard->targets.end()) {
        return false;
    }
    keepNotice(*shard, target->second);
    shard->targets.erase(target);
    return true;
}

std::vector<TargetEntry> TargetRegistry::entries(TimePoint now) const
{
    std::vector<TargetEntry> all;
    for (const auto &shard : shards()) {
        const std::lock_guard lock(shard->lock);
        for (const auto &[id, target] : shard->targets) {
            all.push_back(target.entry);
            all.back().draining = target.entry.draining || isLeaving(target.notice, isStartKnown(target), now);
        }
    }
    return all;
}

std::optional<PlacedPrompt> TargetRegistry::placePrompt(const GroupRule &group,
                                                        const PromptDemand &demand,
                                                        std::span<const PrefixBlock> blocks,
                                                        std::span<const std::string> tried,
                                                        TimePoint now,
                                                        Reason &reason,
                                                        std::span<const PromptPart> parts)
{
    const auto shard = shardOf(group.name);
    if (!shard) {
        reason = {Step::ChooseTarget, group.name, "the target group has no target"};
        return std::nullopt;
    }
    const std::lock_guard lock(shard->lock);
    shard->prefixIndex.maxTokensPerTarget = group.engine ? group.engine->kvCacheTokens : 0;
    std::vector<PlacementEngine> engines;
    std::vector<Target *> targets;
    for (auto &[id, target] : shard->targets) {
        if (!isUsable(target, now) || isPaused(target, now) || isChanging(target, now) || contains(tried, id)) {
            continue;
        }
        engines.push_back({.id = id,
                           .hash = target.hash,
                           .failureDomain = target.entry.failureDomain,
                           .role = target.entry.role,
                           .backlog = backlogOf(target, m_settings, now),
                           .running = runningOn(target, m_settings, now),
                           .slots = target.entry.slots,
                           .cachedTokens = cachedTokensOn(*shard, target, blocks, parts, now),
                           .slowness = slownessOf(target, m_settings.pace, now) * paceFactor(target.pace, now, m_settings.pace),
                           .suspect = now < std::max(target.suspectUntil, target.refusalBackoffUntil),
                           .transfersFailing = now < target.kvTransferSuspectUntil});
        targets.push_back(&target);
    }
    PlacementSettings settings = m_settings.placement;
    settings.rates = learnedRates(shard->rates, settings.rates, m_settings.rates);
    if (group.engine) {
        settings.kvBytesPerToken = group.engine->kvBytesPerToken;
        settings.linkBitsPerSecond = group.engine->linkBitsPerSecond;
    }
    settings.decodePressure = decodePressure(*shard, m_settings, now);
    PromptDemand drawn = demand;
    drawn.draw = fingerprintOf(m_settings.instance, shard->nextReservationId);
    drawn.sharedPart = sharedPartOf(blocks);
    shard->firstPrompt = shard->firstPrompt.value_or(now);
    drawn.drawBySharedPart = now - *shard->firstPrompt < settings.sharedPartTime;
    const auto placement = snipehill::placePrompt(engines, drawn, settings, reason);
    if (!placement) {
        return std::nullopt;
    }
    const std::size_t prefillPosition = placement->prefillEngine.value_or(placement->decodeEngine);
    Target &prefillEngine = *targets[prefillPosition];
    Target &decodeEngine = *targets[placement->decodeEngine];
    PlacedPrompt placed;
    placed.firstToken = placement->firstToken;
    placed.wait = placement->wait;
    placed.idlePrefill = placement->prefillTime;
    placed.idleDecode = placement->idleDecode;
    if (!isWithin(demand.bounds, placed.firstToken, placed.wait)) {
        return placed;
    }
    placed.reserved = true;
    const std::uint64_t reservationId = shard->nextReservationId++;
    if (prefillEngine.pendingPrefills.empty()) {
        prefillEngine.prefillStartedAt = now;
    }
    prefillEngine.pendingPrefills[reservationId] = {.work = placement->prefillWork,
                                                    .placedAt = now,
                                                    .predicted = engines[prefillPosition].backlog + placement->prefillTime,
                                                    .ownTime = placement->prefillTime,
                                                    .slowness = engines[prefillPosition].slowness,
                                                    .idleWork = idleWorkOf(engines[prefillPosition], drawn, blocks, *placement, m_settings),
                                                    .usedPace = paceFactor(prefillEngine.pace, now, m_settings.pace),
                                                    .statedPace = statedFactor(prefillEngine.pace, now, m_settings.pace)};
    ++decodeEngine.running;
    placed.run = {makeTargetRef(decodeEngine), placement->prefillEngine ? shard->nextReservationId++ : reservationId};
    if (placement->prefillEngine) {
        ++prefillEngine.running;
        placed.prefill = WorkReservation{makeTargetRef(prefillEngine), reservationId};
    }
    if (placement->fetchFrom) {
        placed.fetchFrom = makeTargetRef(*targets[*placement->fetchFrom]);
    }
    recordBlocksForPeers(*shard, prefillEngine.entry.id, blocks);
    recordPartUse(prefillEngine.held, parts, now);
    if (placement->prefillEngine) {
        recordBlocksForPeers(*shard, decodeEngine.entry.id, blocks);
        recordPartUse(decodeEngine.held, parts, now);
    }
    return placed;
}

void TargetRegistry::release(const WorkReservation &reservation, TimePoint now)
{
    withTarget(reservation.target, [&](Target &target) {
        if (target.pendingPrefills.erase(reservation.id) > 0) {
            target.prefillStartedAt = now;
        }
        target.pendingCalls.erase(reservation.id);
        target.running -= std::min(target.running, 1U);
    });
}

void TargetRegistry::recordResponse(const TargetRef &ref, const std::optional<ReportedLoad> &load, TimePoint now)
{
    withTarget(ref, [&](Target &target) {
        target.failuresInRow = 0;
        target.suspectUntil = {};
        if (load) {
            target.reportedLoad = *load;
            target.reportedLoadAt = now;
            target.runningWhenReported = target.running;
            recordStatement(target.pace, load->pacePercent, now, false);
        }
    });
}

void TargetRegistry::recordFailure(const TargetRef &ref, TimePoint now)
{
    withTarget(ref, [&](Target &target) {
        // All requests at the target fail together when it pauses, which is one failure of the target.
        if (now < target.suspectUntil) {
            return;
        }
        target.suspectUntil = now + backoffTime(m_settings.suspectBackoff, target.failuresInRow++, m_settings.maxSuspectBackoff);
    });
}

void TargetRegistry::recordPromptRefused(const TargetRef &ref, TimePoint now)
{
    withTarget(ref, [&](Target &target) {
        target.refusalBackoffUntil = now + backoffTime(m_settings.refusalBackoff, target.refusalsInRow++, m_settings.maxRefusalBackoff);
    });
}

void TargetRegistry::recordPromptAccepted(const TargetRef &ref)
{
    withTarget(ref, [](Target &target) {
        target.refusalsInRow = 0;
        target.refusalBackoffUntil = {};
    });
}

void TargetRegistry::recordKvTransfer(const TargetRef &prefillEngine, bool fetched, TimePoint now)
{
    withTarget(prefillEngine, [&](Target &target) {
        if (fetched) {
            target.kvTransferFailuresInRow = 0;
            target.kvTransferSuspectUntil = {};
        } else {
            target.kvTransferSuspectUntil = now + backoffTime(m_settings.refusalBackoff, target.kvTransferFailuresInRow++, m_settings.maxRefusalBackoff);
        }
    });
}

bool TargetRegistry::hasRunningRequests(const std::string &group, TimePoint now) const
{
    const auto shard = shardOf(group);
    if (!shard) {
        return false;
    }
    const std::lock_guard lock(shard->lock);
    return std::any_of(shard->targets.begin(), shard->targets.end(), [&](const auto &target) {
        return runningOn(target.second, m_settings, now) > 0;
    });
}

void TargetRegistry::markReplaced(const TargetRef &ref)
{
    withTarget(ref, [](Target &target) {
        target.replaced = true;
    });
}

} // namespace snipehill
