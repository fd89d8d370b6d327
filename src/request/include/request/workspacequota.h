#pragma once

#include <core/time.h>
#include <request/directrequest.h>
#include <version/routingversion.h>

#include <cstdint>

namespace snipehill
{

/**
 * Decisions on the quota of a workspace that holds at all entries together.
 *
 * Each entry keeps a token bucket of the whole limit. Its own admissions are deducted at once, those of the other entries as they are
 * reported and, between two reports, at the rate of the earlier ones. Made for limits of 47,000 to 434,000 tokens per second, one
 * workspace at four times its limit, and callers that move between entries within a second, which shares of the limit can't follow.
 * No function is thread-safe; the owner locks.
 */
struct QuotaBucket
{
    double level = 0; //!< below 0 after a request that was larger than the rest, or after reports of more use than was expected
    TimePoint updated{}; //!< time of the level
    double peerRate = 0; //!< expected use by all other entries, per second
    double leftToOthers
        = 0; //!< part of the rate, beyond peerRate, that this entry leaves to the others while it hears none of them; 0: not shared, see shareLimit()
    double ownRate = 0; //!< admitted by this entry per second, averaged
    double recentlyRefused = 0; //!< by this entry, about of the last second
    TimePoint recentUpdated{}; //!< time of the two figures above
};

/** What one other entry has used of one quota. */
struct PeerQuotaUse
{
    std::uint64_t admitted = 0; //!< by its latest report, since its start
    TimePoint reported{}; //!< arrival of that report
    double rate = 0; //!< expected use per second, included in QuotaBucket::peerRate
    double expected = 0; //!< deducted for it since the report, before the rate was last set to 0
};

/** Part of the limit that an entry has which doesn't know yet what the others use; more entries than that rarely start at once. */
constexpr double startingPart = 1.0 / 32;

/** Cost of a request in the unit of the quota. Bounded, so that a false figure of a caller doesn't block its workspace for good. */
std::uint64_t quotaCost(const WorkspaceQuota &quota, const IncomingRequest &request) noexcept;

/** Brings the level to the given time. Only the given part of the limit is available, see startingPart. */
void advance(QuotaBucket &bucket, const WorkspaceQuota &quota, double part, TimePoint now) noexcept;

/** Admits a request if the level is above zero; the level must have been brought to the given time. */
bool takeQuota(QuotaBucket &bucket, std::uint64_t cost, TimePoint now) noexcept;

/** Returns the cost of an admitted request that has run nowhere. */
void returnQuota(QuotaBucket &bucket, const WorkspaceQuota &quota, std::uint64_t cost) noexcept;

/**
 * Corrects a bucket by a report of another entry and sets the rate at which that entry is expected to go on.
 *
 * After a gap of more than the time in which the bucket fills, use that differs from the expected one counts only as far as the bucket would still
 * show it.
 */
void applyPeerReport(QuotaBucket &bucket, const WorkspaceQuota &quota, PeerQuotaUse &peer, std::uint64_t admitted, TimePoint now) noexcept;

/**
 * Shares the limit with the other entries for the time in which none of them is heard: each gets its known rate and an even part of the rest and of the level.
 * Otherwise each entry of a partitioned deployment would take all of the rest. Does nothing if the bucket is more than half full: a workspace that is well below its limit keeps
 * what it may need when its callers move. The level must have been brought to the given time.
 *
 * @param peers number of other entries
 */
void shareLimit(QuotaBucket &bucket, const WorkspaceQuota &quota, std::size_t peers, TimePoint now) noexcept;

/** No longer expects use by another entry. */
void stopExpecting(QuotaBucket &bucket, PeerQuotaUse &peer, TimePoint now) noexcept;

/**
 * When a refused caller may come back: the time until the bucket has room, spread over the time that this entry's part of the rate needs for
 * what it refused in the last second.
 *
 * @param peers number of other entries
 * @param draw random number in [0, 1)
 */
milliseconds quotaRetryAfter(const QuotaBucket &bucket, const WorkspaceQuota &quota, std::size_t peers, double draw) noexcept;

} // namespace snipehill
