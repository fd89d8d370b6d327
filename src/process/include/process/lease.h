#pragma once

#include <core/ids.h>
#include <core/reason.h>
#include <core/time.h>

#include <json/value.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipehill
{

/** What a lease record does. */
enum class LeaseAction {
    Claim, //!< starts a new epoch
    Renew, //!< keeps the epoch of the holder
    Release, //!< ends the epoch; the holder has stopped believing before it wrote this
};

/** One record of the stream "leases". */
struct LeaseRecord
{
    LeaseAction action = LeaseAction::Claim;
    std::string scope; //!< for example "targets/fd-a"
    Incarnation holder;
    std::uint64_t nonce = 0; //!< random, tells the holder which of its appends this is
    Offset epoch = noOffset; //!< of renewals and releases: offset of the claim
    Offset replaces = noOffset; //!< the scope's latest effective record, or none where no record of it is retained
    Offset firstRetained = 0; //!< first retained offset that the writer saw
    milliseconds duration{0};
};

/** JSON form of a record. */
Json::Value toJson(const LeaseRecord &record);

/** Empty with a reason when fields are missing or of another type. */
std::optional<LeaseRecord> parseLeaseRecord(const Json::Value &value, Reason &reason);

/** A record whose effect depends on records that had aged out before the reader started. */
struct UndecidedLeaseRecord
{
    Offset offset = noOffset;
    LeaseRecord record;
};

/** State of one scope after a prefix of the stream. */
struct ScopeLease
{
    bool certain = false; //!< false: an earlier record has aged out before this reader started, so its effect is unknown
    Offset latest = noOffset; //!< latest record that has or may have effect
    Offset epoch = noOffset; //!< offset of the claim in force, which is the fencing number
    Incarnation holder;
    milliseconds duration{0}; //!< of the latest record
    bool released = false;
    std::vector<UndecidedLeaseRecord> undecided; //!< oldest first; empty once certain
};

/** Pure fold of the stream "leases": readers of the same records agree on each record's effect. */
struct LeaseTable
{
    Offset readFrom = 0; //!< first retained offset when this reader started
    Offset firstRetained = 0; //!< now
    Offset next = 0; //!< offset to read on from
    std::map<std::string, ScopeLease> scopes;
};

/** Effect of one record on the table of its reader. */
enum class LeaseEffect {
    None, //!< it named another record than the scope's latest effective one
    Unknown, //!< this reader started too late to know
    Effective,
};

/** Starts at the first retained record, or again after records aged out that this reader has not read. */
LeaseTable startLeaseTable(Offset firstRetained);

/** Applies the record at an offset; offsets grow. */
LeaseEffect applyLeaseRecord(LeaseTable &table, Offset offset, const LeaseRecord &record);

/** Notes that records up to next were read, also those of other scopes and unparsable ones. */
void advanceReadPosition(LeaseTable &table, Offset firstRetained, Offset next);

/** The reader knows enough to write a claim that other readers judge alike. */
bool isClaimable(const LeaseTable &table, const std::string &scope);

/** A claim that names the scope's latest effective record, or the first retained offset where none is retained. */
LeaseRecord makeClaim(const LeaseTable &table, const std::string &scope);

/** Highest fencing number that the table knows of, over all scopes that begin with a prefix. */
Offset highestEpoch(const LeaseTable &table, std::string_view scopePrefix);

} // namespace snipehill
