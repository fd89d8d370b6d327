#include <process/peerupdate.h>

#include <peernews.pb.h>
#include <request/estimate.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace snipehill
{

namespace
{

std::uint32_t wholeMilliseconds(Duration time)
{
    return static_cast<std::uint32_t>(std::max<milliseconds::rep>(0, std::chrono::duration_cast<milliseconds>(time).count()));
}

void encodeCrash(const CrashReport &crash, wire::PeerCrash &message)
{
    message.set_run(crash.run);
    message.set_age_ms(wholeMilliseconds(crash.age));
    message.set_unneeded_ms(wholeMilliseconds(crash.unneeded));
    for (const CrashSuspect &suspect : crash.suspects) {
        wire::PeerCrashSuspect &entry = *message.add_suspects();
        entry.mutable_causes()->Assign(suspect.causes.begin(), suspect.causes.end());
        entry.set_sent_before_ms(wholeMilliseconds(suspect.sentBefore));
    }
    message.mutable_cleared()->Assign(crash.cleared.begin(), crash.cleared.end());
}

CrashReport decodeCrash(const wire::PeerCrash &message)
{
    CrashReport crash{.run = message.run(),
                      .age = milliseconds(message.age_ms()),
                      .unneeded = milliseconds(message.unneeded_ms()),
                      .suspects = {},
                      .cleared = {message.cleared().begin(), message.cleared().end()}};
    for (const wire::PeerCrashSuspect &entry : message.suspects()) {
        CrashSuspect suspect{{entry.causes().begin(), entry.causes().end()}, milliseconds(entry.sent_before_ms())};
        std::sort(suspect.causes.begin(), suspect.causes.end()); // lookups rely on the order, whatever the sender did
        crash.suspects.push_back(std::move(suspect));
    }
    return crash;
}

void encodeUsage(WindowNumber window, const UsageByWorkspace &totals, wire::PeerUsage &message)
{
    message.set_window(window);
    for (const auto &[workspace, used] : totals) {
        message.add_workspaces(workspace);
        message.add_requests(used.requests);
    }
}

void encodeEstimates(const PeerUpdate &update, wire::PeerNews &message)
{
    for (const auto &[workspace, admitted] : update.quotaUse) {
        wire::PeerQuotaUse &entry = *message.add_quota_use();
        entry.set_workspace(workspace);
        entry.set_admitted(admitted);
    }
    for (const auto &[target, pace] : update.targetPaces) {
        wire::PeerTargetPace &entry = *message.add_target_paces();
        entry.set_target(target);
        entry.set_percent(pace.percent);
        entry.set_age_ms(wholeMilliseconds(pace.age));
    }
    for (const auto &[group, rates] : update.groupRates) {
        wire::PeerGroupRates &entry = *message.add_group_rates();
        entry.set_group(group);
        entry.set_fixed_ms(rates.fixedMs);
        entry.set_tokens_per_ms(rates.tokensPerMs);
        entry.set_samples(rates.samples);
    }
    for (const HeldParts &held : update.heldParts) {
        wire::PeerHeldParts &entry = *message.add_held_parts();
        entry.set_target(held.target);
        for (const PrefixBlock &part : held.parts) {
            entry.add_parts(part.hash);
            entry.add_tokens(static_cast<std::uint32_t>(std::min<std::uint64_t>(part.tokens, std::numeric_limits<std::uint32_t>::max())));
        }
    }
}

void decodeEstimates(const wire::PeerNews &message, PeerUpdate &update)
{
    for (const wire::PeerQuotaUse &entry : message.quota_use()) {
        update.quotaUse[entry.workspace()] = entry.admitted();
    }
    for (const wire::PeerTargetPace &entry : message.target_paces()) {
        if (entry.percent() > 0) {
            update.targetPaces[entry.target()] = {entry.percent(), milliseconds(entry.age_ms())};
        }
    }
    for (const wire::PeerGroupRates &entry : message.group_rates()) {
        if (std::isfinite(entry.fixed_ms()) && entry.fixed_ms() >= 0 && std::isfinite(entry.tokens_per_ms()) && entry.tokens_per_ms() > 0) {
            update.groupRates[entry.group()] = {entry.fixed_ms(), entry.tokens_per_ms(), entry.samples()};
        }
    }
    for (const wire::PeerHeldParts &entry : message.held_parts()) {
        HeldParts held{.target = entry.target(), .parts = {}};
        const int count = std::min(entry.parts_size(), entry.tokens_size());
        for (int i = 0; i < count; ++i) {
            held.parts.push_back({entry.parts(i), entry.tokens(i)});
        }
        update.heldParts.push_back(std::move(held));
    }
}

UsageByWorkspace decodeUsage(const wire::PeerUsage &message)
{
    UsageByWorkspace totals;
    const int count = std::min(message.workspaces_size(), message.requests_size());
    for (int i = 0; i < count; ++i) {
        totals[message.workspaces(i)].requests = message.requests(i);
    }
    return totals;
}

} // namespace

TargetHash targetHash(std::string_view id) noexcept
{
    const std::uint64_t hash = fingerprintOf(id);
    return static_cast<TargetHash>(hash ^ (hash >> 32U));
}

NameHash nameHash(std::string_view name) noexcept
{
    return targetHash(name);
}

std::string encodePeerUpdate(const PeerUpdate &update)
{
    wire::PeerNews message;
    message.set_instance(update.sender.instance);
    message.set_incarnation(update.sender.number);
    for (const auto &[target, load] : update.loads) {
        wire::PeerTargetLoad &entry = *message.add_loads();
        entry.set_target(target);
        entry.set_backlog_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(load.backlog).count()));
        entry.set_running(load.running);
    }
    for (const RoutedBlocks &routed : update.routedBlocks) {
        wire::PeerTargetReads &entry = *message.add_reads();
        entry.set_target(routed.target);
        for (const PrefixBlock &block : routed.blocks) {
            entry.add_blocks(block.hash);
            entry.add_tokens(static_cast<std::uint32_t>(block.tokens));
        }
    }
    for (const CrashReport &crash : update.crashes) {
        encodeCrash(crash, *message.add_crashes());
    }
    for (const auto &[window, totals] : update.usage) {
        encodeUsage(window, totals, *message.add_usage());
    }
    for (const auto &[target, change] : update.roleChanges) {
        wire::PeerRoleChange &entry = *message.add_role_changes();
        entry.set_target(target);
        entry.set_remaining_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(change.remaining).count()));
        entry.set_to_prefill(change.role == EngineRole::Prefill);
    }
    for (const auto &[run, age] : update.leavingRuns) {
        wire::PeerLeavingTarget &entry = *message.add_leaving();
        entry.set_run(run);
        entry.set_age_ms(wholeMilliseconds(age));
    }
    message.set_open_window(update.openWindow);
    message.set_wall_time_ms(static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(update.wallTime.time_since_epoch()).count()));
    for (const auto &[window, totals] : update.finalUsage) {
        encodeUsage(window, totals, *message.add_final_usage());
    }
    encodeEstimates(update, message);
    return message.SerializeAsString();
}

std::optional<PeerUpdate> decodePeerUpdate(std::string_view bytes, Reason &reason)
{
    wire::PeerNews message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || message.instance().empty()) {
        reason = {Step::Parse, "", "no news of an entry"};
        return std::nullopt;
    }
    PeerUpdate update;
    update.sender = {message.instance(), message.incarnation()};
    for (const wire::PeerTargetLoad &entry : message.loads()) {
        update.loads[entry.target()] = {milliseconds(entry.backlog_ms()), entry.running()};
    }
    for (const wire::PeerTargetReads &entry : message.reads()) {
        RoutedBlocks routed{.target = entry.target()};
        const int count = std::min(entry.blocks_size(), entry.tokens_size());
        for (int i = 0; i < count; ++i) {
            routed.blocks.push_back({entry.blocks(i), entry.tokens(i)});
        }
        update.routedBlocks.push_back(std::move(routed));
    }
    for (const wire::PeerCrash &entry : message.crashes()) {
        update.crashes.push_back(decodeCrash(entry));
    }
    for (const wire::PeerUsage &entry : message.usage()) {
        update.usage[entry.window()] = decodeUsage(entry);
    }
    for (const wire::PeerUsage &entry : message.final_usage()) {
        update.finalUsage[entry.window()] = decodeUsage(entry);
    }
    for (const wire::PeerRoleChange &entry : message.role_changes()) {
        update.roleChanges[entry.target()] = {entry.to_prefill() ? EngineRole::Prefill : EngineRole::Decode, milliseconds(entry.remaining_ms())};
    }
    for (const wire::PeerLeavingTarget &entry : message.leaving()) {
        update.leavingRuns[entry.run()] = milliseconds(entry.age_ms());
    }
    decodeEstimates(message, update);
    update.openWindow = message.open_window();
    constexpr std::uint64_t maxWallTimeMs = 1ULL << 52U; // farther than any clock; keeps the arithmetic of times in range
    update.wallTime = std::chrono::system_clock::time_point(milliseconds(message.wall_time_ms() <= maxWallTimeMs ? message.wall_time_ms() : 0));
    return update;
}

} // namespace snipehill
