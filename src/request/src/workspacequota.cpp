#include <request/workspacequota.h>

#include <algorithm>
#include <cmath>

namespace snipehill
{

namespace
{

constexpr std::uint64_t maxCost = 4000000; // far beyond any prompt and output
constexpr double averagingSeconds = 3; // of rates: a single large request, or a moment without any, must not count as use that goes on
constexpr double refusalSeconds = 1;
constexpr double sharingMargin = 0.9; // the entries know the rates of the others differently
constexpr double minReportSeconds = 0.001; // two reports may be read at the same time
constexpr milliseconds minRetryAfter{1};
constexpr milliseconds maxRetryAfter{30000}; // beyond it callers would miss that others have left

double secondsOf(Duration time) noexcept
{
    return std::chrono::duration<double>(time).count();
}

void decayRecent(QuotaBucket &bucket, TimePoint now) noexcept
{
    const double elapsed = std::max(0.0, secondsOf(now - bucket.recentUpdated));
    bucket.ownRate *= std::exp(-elapsed / averagingSeconds);
    bucket.recentlyRefused *= std::exp(-elapsed / refusalSeconds);
    bucket.recentUpdated = now;
}

} // namespace

std::uint64_t quotaCost(const WorkspaceQuota &quota, const IncomingRequest &request) noexcept
{
    if (quota.unit == QuotaUnit::Requests) {
        return 1;
    }
    if (!request.hasTokenCounts) {
        return std::min(maxCost, quota.plainTokens);
    }
    return std::min(maxCost, std::min(maxCost, request.promptTokens) + std::min(maxCost, request.outputTokens));
}

void advance(QuotaBucket &bucket, const WorkspaceQuota &quota, double part, TimePoint now) noexcept
{
    if (now > bucket.updated) {
        bucket.level += (part * quota.ratePerSecond - bucket.peerRate - bucket.leftToOthers) * secondsOf(now - bucket.updated);
        bucket.updated = now;
    }
    bucket.level = std::min(bucket.level, part * quota.burst);
}

bool takeQuota(QuotaBucket &bucket, std::uint64_t cost, TimePoint now) noexcept
{
    decayRecent(bucket, now);
    if (bucket.level <= 0) {
        bucket.recentlyRefused += static_cast<double>(cost);
        return false;
    }
    bucket.level -= static_cast<double>(cost);
    bucket.ownRate += static_cast<double>(cost) / averagingSeconds;
    return true;
}

void returnQuota(QuotaBucket &bucket, const WorkspaceQuota &quota, std::uint64_t cost) noexcept
{
    bucket.level = std::min(quota.burst, bucket.level + static_cast<double>(cost));
}

void applyPeerReport(QuotaBucket &bucket, const WorkspaceQuota &quota, PeerQuotaUse &peer, std::uint64_t admitted, TimePoint now) noexcept
{
    const double elapsed = std::max(minReportSeconds, secondsOf(now - peer.reported));
    // Returned requests lower the count, so the difference may be negative.
    const auto used = static_cast<double>(static_cast<std::int64_t>(admitted - peer.admitted));
    double correction = peer.expected + peer.rate * std::max(0.0, secondsOf(now - peer.reported)) - used;
    const double fillSeconds = quota.burst / quota.ratePerSecond;
    if (elapsed > 2 * fillSeconds) {
        correction *= fillSeconds / elapsed;
    }
    bucket.level = std::min(quota.burst, bucket.level + correction);
    const double weight = 1 - std::exp(-elapsed / averagingSeconds);
    const double rate = peer.rate + weight * (std::max(0.0, used / elapsed) - peer.rate);
    bucket.peerRate = std::max(0.0, bucket.peerRate + rate - peer.rate);
    peer = {.admitted = admitted, .reported = now, .rate = rate};
}

void shareLimit(QuotaBucket &bucket, const WorkspaceQuota &quota, std::size_t peers, TimePoint now) noexcept
{
    decayRecent(bucket, now);
    if (bucket.level < quota.burst / 2) {
        const double known = bucket.ownRate + bucket.peerRate;
        const double rest = quota.ratePerSecond - known;
        const double part = rest < 0 ? bucket.ownRate * quota.ratePerSecond / known : bucket.ownRate + rest / static_cast<double>(peers + 1);
        bucket.level = bucket.level > 0 ? bucket.level / static_cast<double>(peers + 1) : bucket.level;
        bucket.leftToOthers = quota.ratePerSecond - bucket.peerRate - sharingMargin * part;
    }
}

void stopExpecting(QuotaBucket &bucket, PeerQuotaUse &peer, TimePoint now) noexcept
{
    peer.expected += peer.rate * std::max(0.0, secondsOf(now - peer.reported));
    bucket.peerRate = std::max(0.0, bucket.peerRate - peer.rate);
    peer.rate = 0;
}

milliseconds quotaRetryAfter(const QuotaBucket &bucket, const WorkspaceQuota &quota, std::size_t peers, double draw) noexcept
{
    const double total = bucket.ownRate + bucket.peerRate;
    const double evenPart = 1.0 / static_cast<double>(peers + 1);
    const double ownPart = total > 0 ? std::max(evenPart, bucket.ownRate / total) : evenPart;
    const double untilRoom = std::max(0.0, -bucket.level) / quota.ratePerSecond;
    const double toServe = bucket.recentlyRefused / (quota.ratePerSecond * ownPart);
    const double wait = std::min(untilRoom + draw * toServe, secondsOf(maxRetryAfter));
    return std::max(minRetryAfter, std::chrono::ceil<milliseconds>(std::chrono::duration<double>(wait)));
}

} // namespace snipehill
