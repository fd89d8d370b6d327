#pragma once

#include <core/loadreport.h>
#include <core/reason.h>
#include <core/time.h>
#include <version/records.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace snipehill
{

/** Work that an entry has sent to a target and whose effect the last load report can't contain. */
struct OutstandingWork
{
    std::uint32_t requests = 0;
    std::uint64_t prefillTokens = 0;
    std::uint64_t decodeTokens = 0;
};

/** What an entry knows of one target when it chooses. Plain value, filled from a shard under its lock. */
struct TargetView
{
    std::string instance; //!< of the sidecar
    std::string failureDomain;
    LoadReport report; //!< last one received
    bool reported = false; //!< false: no report yet
    Duration reportAge{}; //!< since the report was received
    OutstandingWork outstanding; //!< sent by this entry since the report
    std::uint64_t cachedPromptTokens = 0; //!< leading prompt tokens in the target's prefix cache
    bool leaving = false;
    bool silent = false; //!< heartbeats are missing
    bool suspect = false; //!< its target died a short while ago
    Duration distance{}; //!< added cost of reaching it, for example across failure domains
};

/** Demands of the request that is to be placed. */
struct PlacementRequest
{
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    bool isolated = false; //!< must run with nothing else on the target
    std::string colocateWith; //!< instance that the request has to join if it is eligible, see companionOf(); empty if none
    std::uint64_t fingerprint = 0; //!< decides the target of a request that must run alone
    TargetKind kind = TargetKind::Engine; //!< plain services have no token rates
};

/** Settings of the choice. */
struct ChoiceSettings
{
    std::uint32_t choices = 4; //!< targets compared, drawn at random from the subset; the best cover is always among them
    double defaultPrefillTokensPerSecond = 4000; //!< used until a target has measured its own
    double defaultDecodeTokensPerSecond = 200;
    milliseconds serviceTime{50}; //!< expected run time on a target without token rates
    double staleness = 0.25; //!< predicted wait added per unit of report age
    milliseconds maxStaleness{2000}; //!< the most that age adds
    double interference = 1; //!< weight of decode work that a prefill delays, and the reverse
    milliseconds decodePressure{500}; //!< cost of joining a target whose slots are all in use, before the weight
    milliseconds tokenGap{80}; //!< wanted between tokens; a full target that needs longer counts more
    milliseconds roleMismatch{1000}; //!< added when the engine's role is for the other kind of work
    milliseconds suspectPenalty{3000}; //!< added to a target that died a short while ago
};

/** Predicted delay until the first token on one target, by cause. */
struct PlacementCost
{
    Duration wait{}; //!< for work ahead of the request
    Duration prefill{}; //!< of the part that the cache doesn't cover
    Duration interference{}; //!< from streams that share the target
    Duration staleness{}; //!< for the age of the report
    Duration penalty{}; //!< for an unfit role or a recent crash
    Duration total() const noexcept
    {
        return wait + prefill + interference + staleness + penalty;
    }
};

/** Outcome of a choice; its cost is the forecast that admission checks. */
struct TargetChoice
{
    std::string instance;
    PlacementCost cost;
};

/** Prefill rate of a target in tokens a second: measured, else the default. */
double prefillRate(const TargetView &target, const ChoiceSettings &settings) noexcept;

/** True when the target may get new work at all: accepting, neither leaving nor silent. */
bool isEligible(const TargetView &target) noexcept;

/** Predicted cost of placing the request on the target. */
PlacementCost predictCost(const TargetView &target, const PlacementRequest &request, const ChoiceSettings &settings) noexcept;

/**
 * Chooses a target for one attempt: the cheapest of a few drawn at random, or of the whole subset when the
 * draw has no eligible one. A request that must run alone goes to the eligible target with the highest
 * rendezvous hash for its fingerprint, so that its copies meet in one queue.
 *
 * @param targets the entry's subset of the target group
 * @param tried instances that this request has already failed on or been refused by
 * @param draw random number that decides which targets are compared
 * @return empty with step ChooseTarget when no target is eligible
 */
std::optional<TargetChoice> chooseTarget(std::span<const TargetView> targets,
                                         const PlacementRequest &request,
                                         std::span<const std::string> tried,
                                         std::uint64_t draw,
                                         const ChoiceSettings &settings,
                                         Reason &reason);

/** A target as the instance list names it. */
struct TargetMember
{
    std::string instance;
    std::string failureDomain;
};

/**
 * Positions of the members that an entry works with: rendezvous hashing of entry and target, the same number
 * from each failure domain as far as they go. Computed when the members change, not for each request.
 */
std::vector<std::size_t> targetSubset(std::string_view entry, std::span<const TargetMember> members, std::size_t size);

/** Member with the highest rendezvous hash for a key; sends repeats of a key to the same target. Empty if there are none. */
std::optional<std::size_t> rendezvousOwner(std::string_view key, std::span<const TargetMember> members) noexcept;

} // namespace snipehill
