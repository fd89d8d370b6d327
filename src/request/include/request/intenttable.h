#pragma once

#include <core/ids.h>
#include <core/reason.h>

#include <json/value.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
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
    friend auto operator<=>(const IntentKey &, const IntentKey &) = default;
};

/** Answer of a request that ran, as far as it fits into a record. */
struct FinishedAnswer
{
    unsigned status = 0; //!< HTTP status
    std::string contentType;
    std::string body; //!< empty if it was too large to keep
    bool bodyKept = false;
};

/** Bytes of an answer's body that a "finished" record carries at most. */
constexpr std::size_t finishedBodyLimit = 2048;

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
    FinishedAnswer answer; //!< of Finished
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

/** Who may run a key. */
struct IntentState
{
    Incarnation owner;
    std::uint64_t claim = 0;
    Offset offset = noOffset; //!< of the record that gave it the key
    std::string bodyHash;
    std::optional<FinishedAnswer> finished;
};

/**
 * The fold of the intents stream over the retained records. Plain value, no thread rules.
 * A key belongs to the first claim; NotRun of the very claim frees it; Finished of the very claim is final.
 */
struct IntentTable
{
    Offset next = 0; //!< first offset that was not applied
    Offset first = 0; //!< oldest offset applied, older records are not known
    std::map<IntentKey, IntentState> keys;
    std::deque<std::pair<Offset, IntentKey>> byAge; //!< for expiry
};

/** Applies one record; offsets below next are ignored, malformed records have no effect. */
void applyIntentRecord(IntentTable &table, Offset offset, const Json::Value &record);

/** Forgets keys whose deciding record lies below the offset, as the log has. */
void expireIntents(IntentTable &table, Offset firstRetained);

/** State of a key, null if nobody owns it. */
const IntentState *findIntent(const IntentTable &table, const IntentKey &key);

} // namespace snipehill
