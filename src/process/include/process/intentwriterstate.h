#pragma once

#include <core/ids.h>
#include <core/reason.h>
#include <core/time.h>
#include <request/intenttable.h>

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipehill
{

/** The claim owns the key: the claimant may run the request, once. */
struct IntentOwned
{
    std::uint64_t claim = 0; //!< to be passed to IntentWriter::finished() or notRun()
};

/** Another claim owns the key: the request must not run here. */
struct IntentOwnedByOther
{
    Incarnation owner; //!< may be this process itself
    std::optional<RecordedResponse> finished; //!< response of the owner, if it is known
    bool sameRequest = true; //!< false: the key was used for another request body
};

/** The result of the claim could not be learned in time. The request must not run here, now or later. */
struct IntentLogUnavailable
{
    Reason reason;
};

using IntentClaim = std::variant<IntentOwned, IntentOwnedByOther, IntentLogUnavailable>;

/** A claim whose result is not known yet. */
struct PendingClaim
{
    IntentKey key;
    std::string bodyHash;
    TimePoint deadline; //!< the claim is abandoned from then on
    bool sent = false; //!< was part of an append, which may have taken effect
    bool queued = true; //!< to be included in the next append
};

/** A "not run" or "finished" entry that is not yet known to be in the log. */
struct PendingOutcome
{
    IntentEntry entry;
    TimePoint since;
};

/**
 * Entries that one process still has to write to the intents stream, and the table it has read from the stream.
 * Does no I/O, so that IntentWriter and tests under virtual time can drive it alike.
 */
struct IntentWriterState
{
    Incarnation self;
    IntentTable table;
    std::map<std::uint64_t, PendingClaim> pendingClaims; //!< by claim id
    std::vector<PendingOutcome> outcomes; //!< excluding those of an append in flight
};

/** Content of one append: the record, and the outcomes it contains for the case that they must be sent again. */
struct IntentBatch
{
    IntentRecord record;
    std::vector<PendingOutcome> outcomes;
};

/** Adds a claim under a new random id, to be sent with the next append. */
void addClaim(IntentWriterState &state, std::uint64_t claim, IntentKey key, std::string bodyHash, TimePoint deadline);

/** Queues the outcome of a claim: the request has finished, or was not and will not be run. */
void addOutcome(IntentWriterState &state, IntentEntry outcome, TimePoint now);

/** Time at which the next append is due; empty if there is nothing to write. Outcomes are delayed so that they share an append; claims are not. */
std::optional<TimePoint> appendDueAt(const IntentWriterState &state, TimePoint now);

/** Takes the queued entries, up to the maximum batch size, as one record; empty if nothing is queued. */
std::optional<IntentBatch> takeNextBatch(IntentWriterState &state);

/** To be called when the append of a batch was acknowledged or failed. A failed append may or may not have taken effect. */
void onAppendResult(IntentWriterState &state, IntentBatch batch, bool answered);

/** Applies records that were read, in the order of the stream. */
void applyIntentPage(IntentWriterState &state, Offset firstRetained, const std::vector<std::pair<Offset, Json::Value>> &records);

/** Queues claims again that were sent but are not in the stream. To be called after reading to the end of the stream. */
void requeueMissingClaims(IntentWriterState &state);

/**
 * Result of a pending claim; empty while it is not known. Removes the claim once there is a result. A claim that lost
 * or timed out is abandoned for good, and a "not run" entry informs the other processes.
 */
std::optional<IntentClaim> resolveClaim(IntentWriterState &state, std::uint64_t claim, TimePoint now);

} // namespace snipehill
