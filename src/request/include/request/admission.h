#pragma once

#include <core/refusal.h>
#include <core/time.h>
#include <request/targetchoice.h>
#include <version/records.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace snipehill
{

/** Leaky bucket of a rate limit. The rate is passed in by the caller. */
struct RateBucket
{
    double level = 0; //!< requests or tokens counted against the limit; drains at the rate of the limit
    TimePoint updated{};
};

/** Usage of one workspace as counted by one process. */
struct WorkspaceUsage
{
    RateBucket requests;
    RateBucket tokens;
    std::uint32_t running = 0;
    double weight = 1; //!< fair-share weight of the workspace
    double recentCost = 0; //!< exponentially decaying sum of admitted work, in the unit of queueCost()
    TimePoint recentUpdated{};
    double demand = 0; //!< tokens requested since the last report to the limit allocator, admitted or not
    std::optional<double> share; //!< share of the limits granted by the limit allocator, 0..1
    TimePoint shareUntil{}; //!< expiry of the grant
};

/** Admission state of the workspaces that one entry serves; fairness is computed among them. Not thread-safe; the owner locks. */
struct Admission
{
    std::map<std::string, WorkspaceUsage, std::less<>> workspaces;
};

/** Settings of admission control. */
struct AdmissionSettings
{
    seconds burst{2}; //!< bucket capacity, as time at the limit's rate
    double minShare = 0; //!< minimum share of a limit that an entry applies while it has no valid grant
    milliseconds maxPressure{1250}; //!< a request whose predicted wait plus interference exceeds this, scaled by pressureFactor(), is refused at once
    seconds recentUsageTime{30}; //!< time constant of WorkspaceUsage::recentCost
    double overuseThreshold = 2; //!< ratio of usage to fair share above which the pressure factor decreases
    double underuseThreshold = 0.75; //!< ratio of usage to fair share below which the pressure factor increases
    double fairness = 3; //!< exponent of the pressure factor; 0 applies the same maxPressure to all workspaces
    double minPressureFactor = 0.3; //!< lower bound of the pressure factor
    double maxPressureFactor = 3; //!< upper bound of the pressure factor, for a workspace below its share
    seconds maxRetryAfter{30};
};

/** A request as admission control sees it. */
struct AdmissionRequest
{
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    Duration remaining{}; //!< time left until the caller's deadline
    std::optional<PlacementCost> forecast; //!< predicted cost on the target that chooseTarget() returned; empty if no target is eligible
};

/**
 * Decides whether a request is admitted. An admitted request is counted against its workspace until release().
 *
 * @param entries number of live entries that share the workspace's limits
 * @return empty if admitted, otherwise a not_run refusal with status 429 or 503 and Retry-After
 */
std::optional<Refusal> admit(Admission &admission,
                             const Workspace &workspace,
                             const AdmissionRequest &request,
                             std::uint32_t entries,
                             const AdmissionSettings &settings,
                             TimePoint now);

/**
 * Factor that scales AdmissionSettings::maxPressure for a workspace: below 1 if its recent work exceeds its weighted fair
 * share among the active workspaces of this entry, above 1 if it falls short of that share.
 */
double pressureFactor(Admission &admission, const Workspace &workspace, const AdmissionSettings &settings, TimePoint now);

/**
 * Ends an admitted request.
 *
 * @param tokensOverEstimate actual minus estimated tokens, applied to the token bucket
 */
void release(Admission &admission, std::string_view workspace, std::int64_t tokensOverEstimate);

/** Returns and resets the tokens requested for a workspace since the last call, for the report to its limit allocator. */
double takeDemand(Admission &admission, std::string_view workspace);

/** Stores the share of the workspace's limits that the limit allocator granted to this entry, valid until the given time. */
void applyShareGrant(Admission &admission, std::string_view workspace, double share, TimePoint until);

/** Most recent demand reported by one entry. */
struct EntryDemand
{
    double demand = 0;
    TimePoint reported{};
};

/**
 * Splits workspace limits among entries. The allocator of a workspace is the live sidecar that rendezvousOwner() returns
 * for its name; entries that serve the workspace report their demand to it about once a second. The state is soft: a new
 * allocator starts empty and is filled by the next reports.
 */
struct LimitAllocator
{
    std::map<std::string, std::map<std::string, EntryDemand, std::less<>>, std::less<>> workspaces; //!< by workspace name, then entry
};

/**
 * Records an entry's demand for a workspace and returns the entry's share of the limits, 0..1: a small even share, so that
 * an entry can serve a burst, plus a share proportional to demand among the entries that reported within the validity.
 */
double allocateShare(LimitAllocator &allocator, std::string_view workspace, std::string_view entry, double demand, Duration validity, TimePoint now);

} // namespace snipehill
