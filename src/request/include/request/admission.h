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

/** Leaky bucket in one unit a second. */
struct RateBucket
{
    double level = 0; //!< units in use; drains with time
    TimePoint updated{};
};

/** What one process has admitted for one workspace. */
struct WorkspaceUsage
{
    RateBucket requests;
    RateBucket tokens;
    std::uint32_t running = 0;
    double weight = 1; //!< of the workspace
    double recentCost = 0; //!< admitted work in the unit of queueCost(), decaying
    TimePoint recentUpdated{};
    double demand = 0; //!< tokens asked for since the last report to the keeper of the workspace, admitted or not
    std::optional<double> share; //!< part of the limits granted by the keeper, 0..1
    TimePoint shareUntil{}; //!< end of the grant
};

/** Admission state of all workspaces of one entry, which are compared with each other. Not thread safe; the owner locks. */
struct Admission
{
    std::map<std::string, WorkspaceUsage, std::less<>> workspaces;
};

/** Settings of admission. */
struct AdmissionSettings
{
    seconds burst{2}; //!< a bucket holds the limit of this long
    double minShare = 0; //!< least part of a limit that an entry enforces without a keeper
    milliseconds maxPressure{1250}; //!< predicted wait and interference beyond which a request is refused at once
    seconds recentUsageTime{30}; //!< time constant of the recent work that workspaces are compared by
    double overuseThreshold = 2; //!< times its share that a workspace may use before its patience shrinks
    double underuseThreshold = 0.75; //!< times its share below which its patience grows
    double fairness = 3; //!< how fast maxPressure shrinks for a workspace above its share; 0: the same for all
    double minPressureFactor = 0.3; //!< least part of maxPressure
    double maxPressureFactor = 3; //!< most times maxPressure, for a workspace below its share
    seconds maxRetryAfter{30};
};

/** One request at admission. */
struct AdmissionRequest
{
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    Duration remaining{}; //!< until the caller's deadline
    std::optional<PlacementCost> forecast; //!< on the target that chooseTarget() names; empty if there is none
};

/**
 * Decides whether a request may start; when it may, it is counted against the workspace.
 *
 * @param entries live entries that share the workspace's limits
 * @return empty when admitted, else a not_run refusal with status 429 or 503 and Retry-After
 */
std::optional<Refusal> admit(Admission &admission,
                             const Workspace &workspace,
                             const AdmissionRequest &request,
                             std::uint32_t entries,
                             const AdmissionSettings &settings,
                             TimePoint now);

/**
 * Part of maxPressure that holds for a workspace: below 1 when its recent work exceeds its share by weight among
 * the active workspaces of this entry, above 1 when it is less.
 */
double pressureFactor(Admission &admission, const Workspace &workspace, const AdmissionSettings &settings, TimePoint now);

/** Ends one admitted request; corrects its token estimate by what was really used. */
void release(Admission &admission, std::string_view workspace, std::int64_t tokensOverEstimate);

/** Tokens wanted from one workspace since the last call, for the report to its keeper. */
double takeDemand(Admission &admission, std::string_view workspace);

/** Takes the keeper's answer: the part of the workspace's limits that this entry enforces until a time. */
void applyShareGrant(Admission &admission, std::string_view workspace, double share, TimePoint until);

/** Last demand that one entry reported. */
struct EntryDemand
{
    double demand = 0;
    TimePoint reported{};
};

/**
 * State of the process that splits the limits of some workspaces among entries. The keeper of a workspace is
 * the live sidecar that rendezvousOwner() names for it; entries that serve the workspace report their demand
 * to it about once a second. It keeps nothing that matters: a new keeper starts empty.
 */
struct LimitAllocator
{
    std::map<std::string, std::map<std::string, EntryDemand, std::less<>>, std::less<>> workspaces; //!< by workspace and entry
};

/**
 * Takes an entry's demand for a workspace and returns the entry's part of the limits: proportional to
 * demand among the entries heard of within the validity, plus an even part for bursts.
 */
double allocateShare(LimitAllocator &allocator, std::string_view workspace, std::string_view entry, double demand, Duration validity, TimePoint now);

} // namespace snipehill
