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

/** The claimant may run the request, once, under this claim. */
struct IntentOwned
{
    std::uint64_t claim = 0; //!< to be passed to finished() or notRun()
};

/** Another claim came first: the request must not run here. */
struct IntentOwnedByOther
{
    Incarnation owner; //!< may be this very process
    std::optional<RecordedResponse> finished; //!< answer, if it is known
    bool sameRequest = true; //!< false: the key was used for another request body
};

/** The claim's outcome could not be learnt in time; the request does not run here, now or later. */
struct IntentLogDown
{
    Reason reason;
};

using IntentClaim = std::variant<IntentOwned, IntentOwnedByOther, IntentLogDown>;

/** A claim whose outcome is not known yet. */
struct OpenClaim
{
    IntentKey key;
    std::string bodyHash;
    TimePoint deadline; //!< from then on it is given up
    bool sent = false; //!< part of an append that may have taken effect
    bool queued = true; //!< to be part of the next append
};

/** A "not run" or "finished" entry until the log has it. */
struct OpenEnd
{
    IntentEntry entry;
    TimePoint since;
};

/**
 * What one process wants to write to the intents stream and has read from it. Plain value without I/O: the
 * writer drives it, and so do tests under virtual time.
 */
struct IntentBook
{
    Incarnation self;
    IntentTable table;
    std::map<std::uint64_t, OpenClaim> open; //!< by claim id
    std::vector<OpenEnd> ends; //!< not part of an append under way
};

/** One append: the record and what it was made of. */
struct IntentBatch
{
    IntentRecord record;
    std::vector<OpenEnd> ends;
};

/** Opens a claim under a new random id. */
void openClaim(IntentBook &book, std::uint64_t claim, IntentKey key, std::string bodyHash, TimePoint deadline);

/** Notes that the request under a claim ended, or that it was not and will not be run. */
void endClaim(IntentBook &book, IntentEntry end, TimePoint now);

/** When the next append is due, empty if there is nothing to write. Ends wait a little for company, claims don't. */
std::optional<TimePoint> appendDue(const IntentBook &book, TimePoint now);

/** All that waits, as one record; empty if nothing does. */
std::optional<IntentBatch> takeBatch(IntentBook &book);

/** The append of a batch was answered, or its answer was lost: then it may or may not have taken effect. */
void noteAppend(IntentBook &book, IntentBatch batch, bool answered);

/** Takes records that were read in order. */
void takeIntentPage(IntentBook &book, Offset firstRetained, const std::vector<std::pair<Offset, Json::Value>> &records);

/** After a read up to the end of the stream: claims that were sent but don't stand there go out again. */
void resendMissing(IntentBook &book);

/**
 * Answer to an open claim, empty while it is not known. An answered claim is closed; one that lost
 * or whose time is over is given up for good, which a "not run" entry tells the others.
 */
std::optional<IntentClaim> decideClaim(IntentBook &book, std::uint64_t claim, TimePoint now);

} // namespace snipehill
