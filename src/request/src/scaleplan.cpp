#include <request/scaleplan.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>

namespace snipehill
{

namespace
{

using DomainCounts = std::map<std::string_view, std::uint32_t>;

DomainCounts countByDomain(std::span<const ScaleTarget> targets, std::span<const std::string> domains)
{
    DomainCounts counts;
    for (const std::string &domain : domains) {
        counts[domain] = 0;
    }
    for (const ScaleTarget &target : targets) {
        if (!target.leaving && (target.serving || target.starting)) {
            ++counts[target.failureDomain];
        }
    }
    return counts;
}

std::uint32_t totalOf(const DomainCounts &counts)
{
    std::uint32_t total = 0;
    for (const auto &[domain, count] : counts) {
        total += count;
    }
    return total;
}

std::uint32_t largestOf(const DomainCounts &counts)
{
    std::uint32_t largest = 0;
    for (const auto &[domain, count] : counts) {
        largest = std::max(largest, count);
    }
    return largest;
}

/** Whether the targets can serve the load after the loss of the largest domain. */
bool survivesLoss(const DomainCounts &counts, double load, const ScaleSettings &settings)
{
    const std::uint32_t remaining = totalOf(counts) - largestOf(counts);
    return counts.size() < 2 || remaining * settings.lossUtilisation >= load;
}

std::string_view smallestDomain(const DomainCounts &counts, std::span<const std::string> domains)
{
    return *std::min_element(domains.begin(), domains.end(), [&](const std::string &left, const std::string &right) {
        return counts.at(left) < counts.at(right);
    });
}

/** Chooses a target of the largest domain, preferably one that is still starting. */
const ScaleTarget *targetToStop(const DomainCounts &counts, std::span<const ScaleTarget> targets)
{
    const ScaleTarget *chosen = nullptr;
    for (const ScaleTarget &target : targets) {
        if (target.leaving || !(target.serving || target.starting) || counts.at(target.failureDomain) < largestOf(counts)) {
            continue;
        }
        if (chosen == nullptr || (target.starting && !chosen->starting)) {
            chosen = &target;
        }
    }
    return chosen;
}

bool isSustained(std::optional<TimePoint> &since, bool holds, seconds sustain, TimePoint now)
{
    if (!holds) {
        since.reset();
        return false;
    }
    if (!since) {
        since = now;
    }
    return now - *since >= sustain;
}

} // namespace

std::uint32_t targetsNeeded(double load, std::uint32_t domains, const TargetGroup &group, const ScaleSettings &settings) noexcept
{
    constexpr double rounding = 1e-9; // tolerance for rounding errors, so that 7 / 0.7 needs 10 targets and not 11
    const auto forLoad = static_cast<std::uint32_t>(std::ceil(load / settings.targetUtilisation - rounding));
    std::uint32_t needed = std::max(forLoad, group.minTargets);
    const auto remaining = [&](std::uint32_t count) {
        const std::uint32_t largest = (count + domains - 1) / domains;
        return (count - largest) * settings.lossUtilisation;
    };
    while (domains > 1 && needed < group.maxTargets && remaining(needed) < load) {
        ++needed;
    }
    return std::clamp(needed, group.minTargets, std::max(group.minTargets, group.maxTargets));
}

std::optional<ScaleOrder> planScale(ScaleState &state,
                                    std::span<const ScaleTarget> targets,
                                    std::span<const std::string> domains,
                                    std::optional<double> load,
                                    const TargetGroup &group,
                                    const ScaleSettings &settings,
                                    TimePoint now)
{
    if (domains.empty()) {
        return std::nullopt;
    }
    const DomainCounts counts = countByDomain(targets, domains);
    const std::uint32_t present = totalOf(counts);
    const std::uint32_t needed = load ? targetsNeeded(*load, static_cast<std::uint32_t>(domains.size()), group, settings) : group.minTargets;
    const bool unbalanced = load && !survivesLoss(counts, *load, settings);
    const bool tooFew = present < needed || (unbalanced && present < group.maxTargets);
    if (isSustained(state.shortageSince, tooFew, settings.startSustain, now)) {
        return ScaleOrder{ScaleOrder::Kind::Start, std::string(smallestDomain(counts, domains)), {}};
    }
    const bool tooMany = load && !unbalanced && present > needed;
    const bool gapOver = !state.lastStop || now - *state.lastStop >= settings.minStopInterval;
    if (!isSustained(state.surplusSince, tooMany, settings.stopSustain, now) || !gapOver) {
        return std::nullopt;
    }
    const ScaleTarget *target = targetToStop(counts, targets);
    if (target == nullptr) {
        return std::nullopt;
    }
    DomainCounts after = counts;
    --after[target->failureDomain];
    if (!survivesLoss(after, *load, settings)) {
        return std::nullopt;
    }
    state.lastStop = now;
    return ScaleOrder{ScaleOrder::Kind::Stop, target->failureDomain, target->instance};
}

} // namespace snipehill
