#include "targetbookshard.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace snipehill
{

namespace
{

constexpr std::size_t maxUnsentReads = 256; // more than an entry places between two news
constexpr std::uint64_t leastToldTokens = 512; // an engine reads fewer within about its fixed time of a prompt, so knowing where they are kept gains little
constexpr double slownessWeight = 0.2; // of the newest measurement
constexpr milliseconds leastMeasuredRead{1}; // shorter predictions say nothing
constexpr double minSlowness = 0.7;
constexpr double maxSlowness = 8;

/** Reading left on a target of all entries. What the others told does not shrink with its age: they have placed more since then. */
template<typename Target> Duration backlogOf(const Target &target, const TargetBookSettings &settings, TimePoint now)
{
    Duration total = ownBacklog(target, now);
    for (const auto &[peer, view] : target.peers) {
        if (now - view.told < settings.peerLoadAge) {
            total += view.load.backlog;
        }
    }
    return total;
}

template<typename Target> std::uint32_t runningOn(const Target &target, const TargetBookSettings &settings, TimePoint now)
{
    std::uint32_t others = 0;
    for (const auto &[peer, view] : target.peers) {
        others += now - view.told < settings.peerLoadAge ? view.load.running : 0;
    }
    if (now - target.toldAt < settings.toldLoadAge) {
        const std::uint32_t told = target.told.running + target.told.waiting;
        others = std::max(others, told - std::min(told, target.runningWhenTold));
    }
    return target.running + others;
}

template<typename Target> bool isUsable(const Target &target)
{
    return !target.entry.leaving && !target.replaced;
}

template<typename Target> TargetRef refOf(const Target &target)
{
    return {target.entry.group, target.entry.id, target.endpoint, target.entry.failureDomain};
}

/** Notes blocks that a target will keep. The other entries are told the blocks of long prompts, and of short ones only how much room they take. */
template<typename Shard> void noteReads(Shard &shard, const std::string &id, std::span<const PrefixBlock> blocks)
{
    recordRoutedBlocks(shard.kept, id, blocks);
    std::uint64_t tokens = 0;
    for (const PrefixBlock &block : blocks) {
        tokens += block.tokens;
    }
    if (tokens < leastToldTokens) {
        shard.unsentShortTokens[id] += tokens;
    } else if (shard.unsentReads.size() < maxUnsentReads) {
        shard.unsentReads.push_back({targetHash(id), {blocks.begin(), blocks.end()}});
    }
}

/** A time that doubles with each repetition in a row. */
Duration doubled(Duration time, std::uint32_t repetitions, Duration longest)
{
    constexpr std::uint32_t maxDoublings = 8;
    return std::min(time * (1U << std::min(repetitions, maxDoublings)), longest);
}

bool contains(std::span<const std::string> ids, const std::string &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

TargetBook::TargetBook(TargetBookSettings settings) : m_settings(std::move(settings)) { }

TargetBook::~TargetBook() = default;

std::shared_ptr<TargetBook::Shard> TargetBook::shardOf(const std::string &group) const
{
    const std::lock_guard lock(m_lock);
    const auto found = m_shards.find(group);
    return found == m_shards.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<TargetBook::Shard>> TargetBook::shards() const
{
    const std::lock_guard lock(m_lock);
    std::vector<std::shared_ptr<Shard>> all;
    for (const auto &[group, shard] : m_shards) {
        all.push_back(shard);
    }
    return all;
}

template<typename Function> void TargetBook::withTarget(const TargetRef &ref, Function function)
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

bool TargetBook::apply(const TargetEntry &entry)
{
    Reason reason;
    const auto endpoint = parseEndpoint(entry.address, reason);
    if (!endpoint) {
        return false;
    }
    std::string former;
    std::shared_ptr<Shard> shard;
    {
        const std::lock_guard lock(m_lock);
        former = std::exchange(m_groups[entry.id], entry.group);
        shard = m_shards.try_emplace(entry.group, std::make_shared<Shard>()).first->second;
    }
    if (!former.empty() && former != entry.group) {
        const auto other = shardOf(former);
        const std::lock_guard lock(other->lock);
        other->targets.erase(entry.id);
    }
    const std::lock_guard lock(shard->lock);
    const auto [found, added] = shard->targets.try_emplace(entry.id);
    Target &target = found->second;
    const bool restarted = !added && (target.entry.started != entry.started || target.entry.address != entry.address);
    const bool changed = added || restarted || target.entry.leaving != entry.leaving || target.entry.role != entry.role;
    if (restarted) {
        removeTarget(shard->kept, entry.id);
        target = Target{};
    }
    target.entry = entry;
    target.hash = targetHash(entry.id);
    target.endpoint = *endpoint;
    return changed;
}

bool TargetBook::remove(std::string_view id)
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
    removeTarget(shard->kept, id);
    const auto target = shard->targets.find(id);
    if (target == shard->targets.end()) {
        return false;
    }
    shard->targets.erase(target);
    return true;
}

std::vector<TargetEntry> TargetBook::entries() const
{
    std::vector<TargetEntry> all;
    for (const auto &shard : shards()) {
        const std::lock_guard lock(shard->lock);
        for (const auto &[id, target] : shard->targets) {
            all.push_back(target.entry);
        }
    }
    return all;
}

std::optional<PlacedCall> TargetBook::placeCall(const std::string &group, std::span<const std::string> tried, std::uint64_t draw, TimePoint now, Reason &reason)
{
    const auto shard = shardOf(group);
    if (!shard) {
        reason = {Step::ChooseTarget, group, "the target group has no target"};
        return std::nullopt;
    }
    const std::lock_guard lock(shard->lock);
    std::vector<TargetView> views;
    views.reserve(shard->targets.size());
    for (const auto &[id, target] : shard->targets) {
        TargetView view;
        view.instance = id;
        view.failureDomain = target.entry.failureDomain;
        view.reported = true;
        view.report.slots = target.entry.slots;
        view.report.running = runningOn(target, m_settings, now) - target.running;
        view.outstanding.requests = target.running;
        view.leaving = !isUsable(target);
        view.suspect = now < target.suspectUntil;
        view.distance = target.entry.failureDomain == m_settings.failureDomain ? Duration::zero() : Duration(m_settings.serviceDistance);
        views.push_back(std::move(view));
    }
    const ChoiceSettings choice{.choices = static_cast<std::uint32_t>(views.size())};
    const auto chosen = chooseTarget(views, {.kind = TargetKind::Service}, tried, draw, choice, reason);
    if (!chosen) {
        return std::nullopt;
    }
    Target &target = shard->targets.find(chosen->instance)->second;
    ++target.running;
    return PlacedCall{{refOf(target), shard->nextTicket++}};
}

std::optional<PlacedPrompt> TargetBook::placePrompt(const GroupRule &group,
                                                    const PromptDemand &demand,
                                                    std::span<const PrefixBlock> blocks,
                                                    std::span<const std::string> tried,
                                                    TimePoint now,
                                                    Reason &reason)
{
    const auto shard = shardOf(group.name);
    if (!shard) {
        reason = {Step::ChooseTarget, group.name, "the target group has no target"};
        return std::nullopt;
    }
    const std::lock_guard lock(shard->lock);
    shard->kept.maxTokensPerTarget = group.engine ? group.engine->memoryTokens : 0;
    std::vector<PlacementEngine> engines;
    std::vector<Target *> targets;
    for (auto &[id, target] : shard->targets) {
        if (!isUsable(target) || isChanging(target, now) || contains(tried, id)) {
            continue;
        }
        engines.push_back({.id = id,
                           .failureDomain = target.entry.failureDomain,
                           .role = target.entry.role,
                           .backlog = backlogOf(target, m_settings, now),
                           .running = runningOn(target, m_settings, now),
                           .slots = target.entry.slots,
                           .cachedTokens = cachedPromptTokens(shard->kept, id, blocks),
                           .slowness = target.slowness,
                           .suspect = now < std::max(target.suspectUntil, target.refusingUntil),
                           .transfersFailing = now < target.lapsingUntil});
        targets.push_back(&target);
    }
    PlacementSettings settings = m_settings.placement;
    if (group.engine) {
        settings.kvBytesPerToken = group.engine->tokenBytes;
        settings.linkBitsPerSecond = group.engine->linkBitsPerSecond;
    }
    const auto placement = snipehill::placePrompt(engines, demand, settings, reason);
    if (!placement) {
        return std::nullopt;
    }
    const std::size_t readerPosition = placement->prefillEngine.value_or(placement->decodeEngine);
    Target &reader = *targets[readerPosition];
    Target &runner = *targets[placement->decodeEngine];
    PlacedPrompt placed;
    placed.firstToken = placement->firstToken;
    placed.wait = placement->wait;
    if (!isWithin(demand.bounds, placed.firstToken, placed.wait)) {
        return placed;
    }
    placed.booked = true;
    const std::uint64_t number = shard->nextTicket++;
    if (reader.reads.empty()) {
        reader.readingSince = now;
    }
    reader.reads[number] = {placement->prefillWork, now, engines[readerPosition].backlog + placement->prefillTime};
    ++runner.running;
    placed.run = {refOf(runner), placement->prefillEngine ? shard->nextTicket++ : number};
    if (placement->prefillEngine) {
        ++reader.running;
        placed.read = WorkTicket{refOf(reader), number};
    }
    if (placement->fetchFrom) {
        placed.fetchFrom = refOf(*targets[*placement->fetchFrom]);
    }
    noteReads(*shard, reader.entry.id, blocks);
    if (placement->prefillEngine) {
        noteReads(*shard, runner.entry.id, blocks);
    }
    return placed;
}

bool TargetBook::takesWork(const TargetRef &ref)
{
    bool usable = false;
    withTarget(ref, [&usable](const Target &target) {
        usable = isUsable(target);
    });
    return usable;
}

void TargetBook::endRead(const WorkTicket &ticket, TimePoint now)
{
    withTarget(ticket.target, [&](Target &target) {
        const auto read = target.reads.find(ticket.number);
        if (read == target.reads.end()) {
            return;
        }
        const Duration predicted = read->second.expected;
        if (predicted >= leastMeasuredRead) {
            const double ratio = std::chrono::duration<double>(now - read->second.since) / std::chrono::duration<double>(predicted);
            target.slowness = std::clamp(target.slowness * (1 + slownessWeight * (std::clamp(ratio, 0.5, 2.0) - 1)), minSlowness, maxSlowness);
        }
        target.reads.erase(read);
        target.readingSince = now;
    });
}

void TargetBook::end(const WorkTicket &ticket, TimePoint now)
{
    withTarget(ticket.target, [&](Target &target) {
        if (target.reads.erase(ticket.number) > 0) {
            target.readingSince = now;
        }
        target.running -= std::min(target.running, 1U);
    });
}

void TargetBook::noteAnswer(const TargetRef &ref, const std::optional<ToldLoad> &load, TimePoint now)
{
    withTarget(ref, [&](Target &target) {
        target.failuresInRow = 0;
        target.suspectUntil = {};
        if (load) {
            target.told = *load;
            target.toldAt = now;
            target.runningWhenTold = target.running;
        }
    });
}

void TargetBook::noteFailure(const TargetRef &ref, TimePoint now)
{
    withTarget(ref, [&](Target &target) {
        target.suspectUntil = now + doubled(m_settings.suspectTime, target.failuresInRow++, m_settings.maxSuspectTime);
    });
}

void TargetBook::noteRefused(const TargetRef &ref, TimePoint now)
{
    withTarget(ref, [&](Target &target) {
        target.refusingUntil = now + doubled(m_settings.refusedTime, target.refusalsInRow++, m_settings.maxRefusedTime);
    });
}

void TargetBook::noteTaken(const TargetRef &ref)
{
    withTarget(ref, [](Target &target) {
        target.refusalsInRow = 0;
        target.refusingUntil = {};
    });
}

void TargetBook::noteMemory(const TargetRef &reader, bool taken, TimePoint now)
{
    withTarget(reader, [&](Target &target) {
        if (taken) {
            target.lapsesInRow = 0;
            target.lapsingUntil = {};
        } else {
            target.lapsingUntil = now + doubled(m_settings.refusedTime, target.lapsesInRow++, m_settings.maxRefusedTime);
        }
    });
}

void TargetBook::noteRoleChange(std::string_view id, EngineRole role, TimePoint until)
{
    for (const auto &shard : shards()) {
        const std::lock_guard lock(shard->lock);
        const auto target = shard->targets.find(id);
        if (target != shard->targets.end()) {
            target->second.orderedRole = role;
            target->second.changingUntil = until;
            target->second.orderedHere = true;
        }
    }
}

bool TargetBook::isServing(const std::string &group, TimePoint now) const
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

void TargetBook::noteReplaced(const TargetRef &ref)
{
    withTarget(ref, [](Target &target) {
        target.replaced = true;
    });
}

} // namespace snipehill
