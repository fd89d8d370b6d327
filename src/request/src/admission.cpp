#include <request/admission.h>

#include <request/fairqueue.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace snipehill
{

namespace
{

constexpr unsigned tooManyRequests = 429;
constexpr unsigned serviceUnavailable = 503;

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

seconds boundedRetryAfter(double wait, const AdmissionSettings &settings)
{
    const auto whole = seconds(static_cast<std::int64_t>(std::ceil(std::clamp(wait, 0.0, static_cast<double>(settings.maxRetryAfter.count())))));
    return std::max(whole, seconds(1));
}

Refusal refuse(unsigned status, std::string detail, double wait, const AdmissionSettings &settings)
{
    Refusal refusal;
    refusal.status = status;
    refusal.reason = Reason{Step::Admit, {}, std::move(detail)};
    refusal.retryAfter = boundedRetryAfter(wait, settings);
    return refusal;
}

void drain(RateBucket &bucket, double rate, TimePoint now)
{
    bucket.level = std::max(0.0, bucket.level - rate * inSeconds(now - bucket.updated));
    bucket.updated = now;
}

/** Seconds until the bucket has room for the amount; 0 if it has now. An amount above the capacity waits for an empty bucket. */
double bucketWait(const RateBucket &bucket, double rate, double amount, const AdmissionSettings &settings)
{
    const double capacity = std::max(amount, rate * static_cast<double>(settings.burst.count()));
    const double excess = bucket.level + amount - capacity;
    return excess <= 0 ? 0 : excess / rate;
}

double shareFor(const WorkspaceUsage &usage, std::uint32_t entries, const AdmissionSettings &settings, TimePoint now)
{
    if (usage.share && now < usage.shareUntil) {
        return *usage.share;
    }
    return std::max(settings.minShare, 1.0 / std::max(1U, entries));
}

std::optional<Refusal> checkForecast(const AdmissionRequest &request, double factor, const AdmissionSettings &settings)
{
    if (!request.forecast) {
        return refuse(serviceUnavailable, "no target accepts requests", 1, settings);
    }
    const Duration delay = request.forecast->wait + request.forecast->prefill;
    if (delay > request.remaining) {
        return refuse(serviceUnavailable, "no target can answer before the deadline", inSeconds(delay - request.remaining), settings);
    }
    const Duration pressure = request.forecast->wait + request.forecast->interference;
    const double excess = inSeconds(pressure) - factor * inSeconds(settings.maxPressure);
    if (excess > 0) {
        return refuse(serviceUnavailable, "all targets are overloaded", excess, settings);
    }
    return std::nullopt;
}

std::optional<Refusal>
checkLimits(WorkspaceUsage &usage, const Workspace &workspace, double share, double tokens, const AdmissionSettings &settings, TimePoint now)
{
    const double running = std::max(1.0, std::floor(workspace.concurrentRequests * share));
    if (workspace.concurrentRequests > 0 && usage.running >= running) {
        return refuse(tooManyRequests, "too many concurrent requests of the workspace", 1, settings);
    }
    double wait = 0;
    if (workspace.requestsPerSecond > 0) {
        drain(usage.requests, workspace.requestsPerSecond * share, now);
        wait = bucketWait(usage.requests, workspace.requestsPerSecond * share, 1, settings);
    }
    if (workspace.tokensPerSecond > 0) {
        drain(usage.tokens, workspace.tokensPerSecond * share, now);
        wait = std::max(wait, bucketWait(usage.tokens, workspace.tokensPerSecond * share, tokens, settings));
    }
    if (wait <= 0) {
        return std::nullopt;
    }
    return refuse(tooManyRequests, "the workspace has used up its limit", wait, settings);
}

void decayRecent(WorkspaceUsage &usage, const AdmissionSettings &settings, TimePoint now)
{
    usage.recentCost *= std::exp(-inSeconds(now - usage.recentUpdated) / static_cast<double>(settings.recentUsageTime.count()));
    usage.recentUpdated = now;
}

} // namespace

double pressureFactor(Admission &admission, const Workspace &workspace, const AdmissionSettings &settings, TimePoint now)
{
    double totalCost = 0;
    double totalWeight = 0;
    double ownCost = 0;
    for (auto &[name, usage] : admission.workspaces) {
        decayRecent(usage, settings, now);
        if (usage.recentCost < 1) {
            continue;
        }
        totalCost += usage.recentCost;
        totalWeight += usage.weight;
        ownCost = name == workspace.name ? usage.recentCost : ownCost;
    }
    if (ownCost <= 0 || totalCost <= 0) {
        return settings.maxPressureFactor;
    }
    const double overuse = ownCost / std::max(workspace.weight, 1e-6) * totalWeight / totalCost;
    const double excess = overuse / std::clamp(overuse, settings.underuseThreshold, settings.overuseThreshold);
    return std::clamp(std::pow(excess, -settings.fairness), settings.minPressureFactor, settings.maxPressureFactor);
}

std::optional<Refusal> admit(Admission &admission,
                             const Workspace &workspace,
                             const AdmissionRequest &request,
                             std::uint32_t entries,
                             const AdmissionSettings &settings,
                             TimePoint now)
{
    WorkspaceUsage &usage = admission.workspaces[workspace.name];
    const double tokens = static_cast<double>(request.promptTokens + request.outputTokens);
    usage.demand += tokens;
    usage.weight = workspace.weight;
    const double factor = pressureFactor(admission, workspace, settings, now);
    if (auto refusal = checkForecast(request, factor, settings)) {
        return refusal;
    }
    if (auto refusal = checkLimits(usage, workspace, shareFor(usage, entries, settings, now), tokens, settings, now)) {
        return refusal;
    }
    usage.requests.level += 1;
    usage.tokens.level += tokens;
    usage.recentCost += static_cast<double>(queueCost(request.promptTokens, request.outputTokens));
    ++usage.running;
    return std::nullopt;
}

void release(Admission &admission, std::string_view workspace, std::int64_t tokensOverEstimate)
{
    const auto found = admission.workspaces.find(workspace);
    if (found == admission.workspaces.end()) {
        return;
    }
    WorkspaceUsage &usage = found->second;
    usage.running -= std::min(usage.running, 1U);
    usage.tokens.level = std::max(0.0, usage.tokens.level + static_cast<double>(tokensOverEstimate));
}

double takeDemand(Admission &admission, std::string_view workspace)
{
    const auto found = admission.workspaces.find(workspace);
    return found == admission.workspaces.end() ? 0 : std::exchange(found->second.demand, 0);
}

void applyShareGrant(Admission &admission, std::string_view workspace, double share, TimePoint until)
{
    const auto found = admission.workspaces.find(workspace);
    if (found != admission.workspaces.end()) {
        found->second.share = share;
        found->second.shareUntil = until;
    }
}

double allocateShare(LimitAllocator &allocator, std::string_view workspace, std::string_view entry, double demand, Duration validity, TimePoint now)
{
    constexpr double evenShare = 0.1;
    auto &entries = allocator.workspaces[std::string(workspace)];
    entries[std::string(entry)] = EntryDemand{demand, now};
    std::erase_if(entries, [&](const auto &report) {
        return now - report.second.reported > validity;
    });
    double total = 0;
    for (const auto &[name, report] : entries) {
        total += report.demand;
    }
    const double even = 1.0 / static_cast<double>(entries.size());
    return total <= 0 ? even : evenShare * even + (1 - evenShare) * demand / total;
}

} // namespace snipehill
