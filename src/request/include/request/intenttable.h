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

/** Names one request that must run at most once. Workspaces never share keys. */
struct IntentKey
{
    std::string workspace; //!< empty on routes open to all
    std::string route;
    std::string key; //!< the caller's Idempotency-Key, or the request id
    friend bool operator==(const IntentKey &, const IntentKey &) = default;
    friend auto operator<=>(const IntentKey &, const IntentKey &) = default; // NOLINT(modernize-use-nullptr) a false alarm on defaulted comparisons
};

/** Answer of a request that ran, as far as it fits into a record. */
struct RecordedResponse
{
    unsigned status = 0; //!< HTTP status
    std::string contentType;
    std::string body; //!< empty if it was too large to keep
    bool hasBody = false;
};

/** Bytes of an answer's body that a "finished" record carries at most. */
constexpr std::size_t recordedBodyLimit = 2048;

/** What a record of the intents stream says. */
enum class IntentVerb {
    Claim, //!< the claimant is about to run the request
    NotRun, //!< the claimant has not run it and never will under this claim
    Finished, //!< the target answered
};

/** One entry of a record of the intents stream. */
struct IntentEntry
{
    IntentVerb verb = IntentVerb::Claim;
    IntentKey key;
    std::uint64_t claim = 0; //!< random id of the claim, so that a claim that was appended twice is known as one
    std::string bodyHash; //!< hash of the request, so that another request under the same key is noticed
    RecordedResponse answer; //!< of Finished
};

/** One record of the stream: all entries that one process appended together. */
struct IntentRecord
{
    Incarnation owner;
    std::vector<IntentEntry> entries;
};

Json::Value writeIntentRecord(const IntentRecord &record);
/** Empty with a reason if the record is malformed; such a record has no effect in any process. */
std::optional<IntentRecord> parseIntentRecord(const Json::Value &value, Reason &reason);

/** A claim on a key that was not given up. */
struct IntentState
{
    Incarnation owner;
    std::uint64_t claim = 0;
    Offset offset = noOffset; //!< of the newest record that speaks for it
    std::string bodyHash; //!< empty if only its end is known
    std::optional<RecordedResponse> finished;
};

/**
 * The fold of the intents stream over the records that the log still has. Plain value, no thread rules.
 *
 * A key belongs to the oldest claim that was not given up. Later claims stay in line behind it, so that readers
 * whose window begins behind the oldest one never think the key free. A claim is known by its id: appended
 * twice it counts once, and one that was given up has no effect, also if it arrives after that.
 */
struct IntentTable
{
    Offset next = 0; //!< first offset that was not applied
    std::map<IntentKey, std::vector<IntentState>> claims; //!< in order, never an empty list
    std::map<std::uint64_t, Offset> abandoned; //!< claims that have no effect any more
    std::deque<std::pair<Offset, IntentKey>> byAge; //!< records that may have to be forgotten
    std::deque<std::pair<Offset, std::uint64_t>> abandonedByAge;
};

/** Applies one record; offsets below next are ignored, malformed records have no effect. */
void applyIntentRecord(IntentTable &table, Offset offset, const Json::Value &record);

/** Forgets what only records below the offset told of, as the log has. */
void expireIntents(IntentTable &table, Offset firstRetained);

/** The claim that the key belongs to, null if it is free. */
const IntentState *findIntent(const IntentTable &table, const IntentKey &key);

/** The key as it goes into a record: by its hash if it is too long or not plain text. */
IntentKey recordableKey(IntentKey key);

/** The answer as it goes into a record: without its body if that is too large or not text. */
RecordedResponse recordableResponse(RecordedResponse answer);

} // namespace snipehill
