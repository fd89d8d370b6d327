#pragma once

#include <core/ids.h>
#include <core/reason.h>

#include <json/value.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipehill
{

/** Identifies a request that must run at most once. Keys are scoped to a workspace and a route. */
struct IntentKey
{
    std::string workspace; //!< empty on routes that are open to all callers
    std::string route;
    std::string key; //!< the caller's Idempotency-Key, or the request id
    friend bool operator==(const IntentKey &, const IntentKey &) = default;
    friend auto operator<=>(const IntentKey &, const IntentKey &) = default; // NOLINT(modernize-use-nullptr) false positive on defaulted comparisons
};

/** Response to a request that ran, as kept in an intent record. */
struct RecordedResponse
{
    unsigned status = 0; //!< HTTP status
    std::string contentType;
    std::string body; //!< empty if hasBody is false
    bool hasBody = false; //!< false if the body was too large or not text
};

/** Maximum size in bytes of a response body in a "finished" record. */
constexpr std::size_t recordedBodyLimit = 2048;

/** Kind of an entry in the intents stream. */
enum class IntentVerb {
    Claim, //!< the owner is about to run the request
    NotRun, //!< the owner has not run the request and will not run it under this claim
    Finished, //!< the target responded
};

/** One entry of an intent record. */
struct IntentEntry
{
    IntentVerb verb = IntentVerb::Claim;
    IntentKey key;
    std::uint64_t claim = 0; //!< random id of the claim, which identifies a claim that was appended twice
    std::string bodyHash; //!< hash of the request, used to detect a different request under the same key
    RecordedResponse response; //!< set if verb is Finished
};

/** One record of the intents stream: a batch of entries that one process appended together. */
struct IntentRecord
{
    Incarnation owner;
    std::vector<IntentEntry> entries;
};

/** Serialises a record to JSON. */
Json::Value writeIntentRecord(const IntentRecord &record);
/** Parses a record. Returns empty and sets the reason if it is malformed; all processes ignore such a record. */
std::optional<IntentRecord> parseIntentRecord(const Json::Value &value, Reason &reason);

/** A claim on a key that has not been abandoned. */
struct IntentState
{
    Incarnation owner;
    std::uint64_t claim = 0;
    Offset offset = noOffset; //!< offset of the latest record about the claim
    std::string bodyHash; //!< empty if unknown
    std::optional<RecordedResponse> finished; //!< set when the request has run
};

/**
 * State built by replaying the retained records of the intents stream. Plain value; the owner locks if it is shared.
 *
 * A key is owned by its oldest claim that was not abandoned. Later claims are kept in order after it, so that a reader
 * whose first retained record is newer than the oldest claim never takes the key for free. Claims are identified by id: a
 * claim that was appended twice counts once, and an abandoned claim has no effect even if it arrives after its NotRun entry.
 */
struct IntentTable
{
    Offset next = 0; //!< offset of the next record to apply
    std::map<IntentKey, std::vector<IntentState>> claims; //!< claims of each key, oldest first; lists are never empty
    std::map<std::uint64_t, Offset> abandoned; //!< offset of the NotRun entry by claim id
    std::deque<std::pair<Offset, IntentKey>> byAge; //!< offsets and keys of applied claims and responses, oldest first, for expiry
    std::deque<std::pair<Offset, std::uint64_t>> abandonedByAge; //!< the same for abandoned
};

/** Applies one record. Offsets below IntentTable::next and malformed records are ignored. */
void applyIntentRecord(IntentTable &table, Offset offset, const Json::Value &record);

/** Removes all state whose latest record is below the first offset that the log retains. */
void expireIntents(IntentTable &table, Offset firstRetained);

/** Returns the claim that owns the key; null if the key is free. */
const IntentState *findIntent(const IntentTable &table, const IntentKey &key);

/** Returns the key as it is recorded: replaced by its hash if it is too long or not printable ASCII. */
IntentKey recordableKey(IntentKey key);

/** Returns the response as it is recorded: without its body if that is too large or not valid UTF-8. */
RecordedResponse recordableResponse(RecordedResponse response);

} // namespace snipehill
