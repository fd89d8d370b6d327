#include <request/targetchoice.h>

#include "hash.h"

#include <algorithm>
#include <map>
#include <utility>

namespace snipehill
{

namespace
{

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

double decodeRate(const TargetView &target, const ChoiceSettings &settings)
{
    const double measured = target.report.decodeTokensPerSecond;
    return measured > 0 ? measured : settings.defaultDecodeTokensPerSecond;
}

std::uint32_t requestsOn(const TargetView &target)
{
    return target.report.running + target.report.queued + target.outstanding.requests;
}

/** Number of requests that must end before a new one gets a slot. */
std::uint32_t requestsAhead(const TargetView &target)
{
    const std::uint32_t present = requestsOn(target) + 1;
    const std::uint32_t slots = std::max(1U, target.report.slots);
    return present > slots ? present - slots : 0;
}

Duration slotWait(const TargetView &target, const ChoiceSettings &settings)
{
    const std::uint32_t ahead = requestsAhead(target);
    if (ahead == 0) {
        return {};
    }
    const double decodeTokens = static_cast<double>(target.report.queuedDecodeTokens + target.outstanding.decodeTokens);
    return fromSeconds(decodeTokens / decodeRate(target, settings) * ahead / requestsOn(target));
}

bool roleFits(const TargetView &target, const PlacementRequest &request, const ChoiceSettings &settings)
{
    if (target.report.role == EngineRole::Mixed) {
        return true;
    }
    const double prefillTime = static_cast<double>(request.promptTokens) / settings.defaultPrefillTokensPerSecond;
    const double decodeTime = static_cast<double>(request.outputTokens) / settings.defaultDecodeTokensPerSecond;
    return (prefillTime > decodeTime) == (target.report.role == EngineRole::Prefill);
}

Duration stalenessOf(const TargetView &target, const ChoiceSettings &settings)
{
    if (!target.reported) {
        return settings.maxStaleness;
    }
    const auto penalty = std::chrono::duration_cast<Duration>(target.reportAge * settings.staleness);
    return std::min<Duration>(penalty, settings.maxStaleness);
}

PlacementCost serviceCost(const TargetView &target, const ChoiceSettings &settings)
{
    PlacementCost cost;
    const double slots = std::max(1U, target.report.slots);
    if (target.predicted) {
        cost.wait = *target.predicted + target.othersDelay;
        cost.interference = std::chrono::duration_cast<Duration>(settings.serviceTime * (0.1 * requestsOn(target) / slots));
        return cost;
    }
    // A small cost for the share of slots in use breaks ties between targets that have a free one.
    cost.wait = std::chrono::duration_cast<Duration>(settings.serviceTime * (target.pace * requestsAhead(target) / slots));
    // A slower target also delays the request itself.
    cost.interference = std::chrono::duration_cast<Duration>(settings.serviceTime * (0.1 * requestsOn(target) / slots + target.pace - 1));
    return cost;
}

PlacementCost engineCost(const TargetView &target, const PlacementRequest &request, const ChoiceSettings &settings)
{
    PlacementCost cost;
    const double rate = prefillRate(target, settings);
    const double aheadTokens = static_cast<double>(target.report.queuedPrefillTokens + target.outstanding.prefillTokens);
    const std::uint64_t covered = std::min(target.cachedPromptTokens, request.promptTokens);
    const double ownPrefill = static_cast<double>(request.promptTokens - covered) / rate;
    const double occupied = std::min(1.0, static_cast<double>(requestsOn(target)) / std::max(1U, target.report.slots));
    cost.wait = fromSeconds(aheadTokens / rate) + slotWait(target, settings);
    cost.prefill = fromSeconds(ownPrefill);
    const double gap = std::max(1U, target.report.slots) / decodeRate(target, settings);
    const double pressure = std::chrono::duration<double>(settings.decodePressure).count() * gap / std::chrono::duration<double>(settings.tokenGap).count();
    cost.interference = fromSeconds(settings.interference * occupied * (ownPrefill + pressure));
    if (!roleFits(target, request, settings)) {
        cost.penalty += settings.roleMismatch;
    }
    return cost;
}

bool isTried(const TargetView &target, std::span<const std::string> tried)
{
    return std::find(tried.begin(), tried.end(), target.instance) != tried.end();
}

std::vector<std::size_t> eligibleIndices(std::span<const TargetView> targets, std::span<const std::string> tried)
{
    std::vector<std::size_t> positions;
    positions.reserve(targets.size());
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (isEligible(targets[i]) && !isTried(targets[i], tried)) {
            positions.push_back(i);
        }
    }
    return positions;
}

/** Reduces the indices to a random sample, plus the target with the most cached prompt tokens if any has some. */
void sampleCandidates(std::vector<std::size_t> &positions, std::span<const TargetView> targets, std::uint64_t draw, std::size_t choices)
{
    if (positions.size() <= choices) {
        return;
    }
    const auto lessCovered = [targets](std::size_t left, std::size_t right) {
        return targets[left].cachedPromptTokens < targets[right].cachedPromptTokens;
    };
    const auto best = std::max_element(positions.begin(), positions.end(), lessCovered);
    std::size_t chosen = 0;
    if (targets[*best].cachedPromptTokens > 0) {
        std::swap(positions[0], *best);
        chosen = 1;
        ++choices;
    }
    for (; chosen < choices && chosen < positions.size(); ++chosen) {
        draw = mixBits(draw);
        std::swap(positions[chosen], positions[chosen + draw % (positions.size() - chosen)]);
    }
    positions.resize(std::min(choices, positions.size()));
}

std::size_t isolationTarget(std::span<const std::size_t> positions, std::span<const TargetView> targets, std::uint64_t fingerprint)
{
    const std::string key = std::to_string(fingerprint);
    return *std::max_element(positions.begin(), positions.end(), [&](std::size_t left, std::size_t right) {
        return rendezvousHash(key, targets[left].instance) < rendezvousHash(key, targets[right].instance);
    });
}

} // namespace

double prefillRate(const TargetView &target, const ChoiceSettings &settings) noexcept
{
    const double measured = target.report.prefillTokensPerSecond;
    return measured > 0 ? measured : settings.defaultPrefillTokensPerSecond;
}

bool isEligible(const TargetView &target) noexcept
{
    return !target.leaving && !target.unreachable && (!target.reported || target.report.accepting);
}

PlacementCost predictCost(const TargetView &target, const PlacementRequest &request, const ChoiceSettings &settings) noexcept
{
    PlacementCost cost = request.kind == TargetKind::Engine ? engineCost(target, request, settings) : serviceCost(target, settings);
    cost.staleness = stalenessOf(target, settings);
    cost.penalty += target.distance;
    if (target.suspect) {
        cost.penalty += settings.suspectPenalty;
    }
    return cost;
}

std::optional<TargetChoice> chooseTarget(std::span<const TargetView> targets,
                                         const PlacementRequest &request,
                                         std::span<const std::string> tried,
                                         std::uint64_t draw,
                                         const ChoiceSettings &settings,
                                         Reason &reason)
{
    std::vector<std::size_t> positions = eligibleIndices(targets, tried);
    if (positions.empty()) {
        reason = Reason{Step::ChooseTarget, {}, targets.empty() ? "the target group has no live target" : "no target accepts the request"};
        return std::nullopt;
    }
    if (request.isolated) {
        const TargetView &target = targets[isolationTarget(positions, targets, request.fingerprint)];
        return TargetChoice{target.instance, predictCost(target, request, settings)};
    }
    for (const std::size_t position : positions) {
        if (!request.colocateWith.empty() && targets[position].instance == request.colocateWith) {
            return TargetChoice{request.colocateWith, predictCost(targets[position], request, settings)};
        }
    }
    sampleCandidates(positions, targets, draw, settings.choices);
    std::optional<TargetChoice> choice;
    for (const std::size_t position : positions) {
        const PlacementCost cost = predictCost(targets[position], request, settings);
        if (!choice || cost.total() < choice->cost.total()) {
            choice = TargetChoice{targets[position].instance, cost};
        }
    }
    return choice;
}

std::vector<std::size_t> targetSubset(std::string_view entry, std::span<const TargetMember> members, std::size_t size)
{
    using Ranked = std::pair<std::uint64_t, std::size_t>;
    std::map<std::string_view, std::vector<Ranked>> byDomain;
    for (std::size_t i = 0; i < members.size(); ++i) {
        byDomain[members[i].failureDomain].emplace_back(rendezvousHash(entry, members[i].instance), i);
    }
    // Sort by rank within the domain first, so that every domain contributes its best member, then its second best, and so on.
    std::vector<std::pair<std::size_t, Ranked>> order;
    order.reserve(members.size());
    for (auto &[domain, ranked] : byDomain) {
        std::sort(ranked.rbegin(), ranked.rend());
        for (std::size_t place = 0; place < ranked.size() && place < size; ++place) {
            order.emplace_back(place, Ranked{rendezvousHash(entry, domain), ranked[place].second});
        }
    }
    std::sort(order.begin(), order.end());
    std::vector<std::size_t> subset;
    for (std::size_t i = 0; i < order.size() && i < size; ++i) {
        subset.push_back(order[i].second.second);
    }
    return subset;
}

std::optional<std::size_t> rendezvousOwner(std::string_view key, std::span<const TargetMember> members) noexcept
{
    std::optional<std::size_t> owner;
    std::uint64_t highest = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
        const std::uint64_t hash = rendezvousHash(key, members[i].instance);
        if (!owner || hash > highest) {
            owner = i;
            highest = hash;
        }
    }
    return owner;
}

} // namespace snipehill
