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

/** Work that an entry has sent to a target since the target's last load report. */
struct OutstandingWork
{
    std::uint32_t requests = 0;
    std::uint64_t prefillTokens = 0;
    std::uint64_t decodeTokens = 0;
};

/** Snapshot of one target for target choice. Plain value, filled from a shard of the target table under the shard's lock. */
struct TargetView
{
    std::string instance; //!< instance of the sidecar
    std::string failureDomain;
    LoadReport report; //!< last report received
    bool reported = false; //!< whether a report has been received
    Duration reportAge{}; //!< time since the report was received
    OutstandingWork outstanding; //!< sent by this entry since the report
    std::uint64_t cachedPromptTokens = 0; //!< leading prompt tokens in the target's prefix cache
    bool leaving = false; //!< the target is shutting down and takes no new requests
    bool unreachable = false; //!< heartbeats are missing
    bool suspect = false; //!< the target crashed recently
    std::optional<Duration> predicted; //!< run time of the request on a plain service; empty: not known
    Duration othersDelay{}; //!< by which the request would delay the others there, if predicted is known
    double pace = 1; //!< factor on the run time of a plain service, by the target's own statement
    Duration distance{}; //!< added cost of reaching the target, for example across failure domains
};

/** Requirements of the request to place. */
struct PlacementRequest
{
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    bool isolated = false; //!< must run with no other request on the target
    std::string colocateWith; //!< instance that must run the request if it is eligible, see colocatedInstance(); empty for any
    std::uint64_t fingerprint = 0; //!< selects the target of an isolated request
    TargetKind kind = TargetKind::Engine; //!< plain services have no token rates
};

/** Settings of target choice. */
struct ChoiceSettings
{
    std::uint32_t choices = 4; //!< targets sampled at random from the subset and compared; the target with the most cached prompt tokens is always compared
    double defaultPrefillTokensPerSecond = 4000; //!< used for a target that reports no rate
    double defaultDecodeTokensPerSecond = 200; //!< likewise
    milliseconds serviceTime{50}; //!< expected run time on a target without token rates
    double staleness = 0.25; //!< predicted wait added per unit of report age
    milliseconds maxStaleness{2000}; //!< upper bound of the cost for report age; applied in full if there is no report
    double interference = 1; //!< weight of the mutual delay of prefill and decode on one target
    milliseconds decodePressure{500}; //!< cost of adding a stream to a target whose slots are all in use, before the weight
    milliseconds tokenGap{80}; //!< desired time between tokens; decodePressure grows in proportion for a target that is slower when full
    milliseconds roleMismatch{1000}; //!< added if the engine's role doesn't match the request's dominant work
    milliseconds suspectPenalty{3000}; //!< added to a target that crashed recently
};

/** Predicted cost of a request on one target, by cause. */
struct PlacementCost
{
    Duration wait{}; //!< for work queued ahead of the request
    Duration prefill{}; //!< prefill of the prompt tokens that are not cached
    Duration interference{}; //!< mutual delay with streams on the same target
    Duration staleness{}; //!< uncertainty due to the age of the load report
    Duration penalty{}; //!< for a mismatched role, distance or a recent crash
    Duration total() const noexcept
    {
        return wait + prefill + interference + staleness + penalty;
    }
};

/** Chosen target; admission control checks the cost as the forecast. */
struct TargetChoice
{
    std::string instance;
    PlacementCost cost;
};

/** Prefill rate of a target in tokens per second: as reported, otherwise the default. */
double prefillRate(const TargetView &target, const ChoiceSettings &settings) noexcept;

/** Whether the target may receive new requests: it accepts them, is not leaving and is reachable. */
bool isEligible(const TargetView &target) noexcept;

/** Predicted cost of placing the request on the target. */
PlacementCost predictCost(const TargetView &target, const PlacementRequest &request, const ChoiceSettings &settings) noexcept;

/**
 * Chooses a target for one attempt: the cheapest of a random sample of the eligible targets. An isolated request goes to
 * the eligible target with the highest rendezvous hash for its fingerprint, so that its duplicates share one queue.
 *
 * @param targets the entry's subset of the target group
 * @param tried instances on which this request has already failed or been refused
 * @param draw random number that selects the sample
 * @return empty if no target is eligible; the reason then has step ChooseTarget
 */
std::optional<TargetChoice> chooseTarget(std::span<const TargetView> targets,
                                         const PlacementRequest &request,
                                         std::span<const std::string> tried,
                                         std::uint64_t draw,
                                         const ChoiceSettings &settings,
                                         Reason &reason);

/** A target in the instance list. */
struct TargetMember
{
    std::string instance;
    std::string failureDomain;
};

/**
 * Indices of the members that an entry sends requests to, selected by rendezvous hashing of entry and target and spread as
 * evenly as possible over the failure domains. Computed when the members change, not for each request.
 */
std::vector<std::size_t> targetSubset(std::string_view entry, std::span<const TargetMember> members, std::size_t size);

/** Index of the member with the highest rendezvous hash for a key, which is stable for a key. Empty if there are no members. */
std::optional<std::size_t> rendezvousOwner(std::string_view key, std::span<const TargetMember> members) noexcept;

} // namespace snipehill
