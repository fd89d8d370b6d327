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
    Claim, //!< starts a new epoch of the scope
    Renew, //!< extends the lease within the holder's epoch
    Release, //!< ends the epoch; the holder stopped relying on the lease before it wrote this record
};

/** A record of the log stream "leases". */
struct LeaseRecord
{
    LeaseAction action = LeaseAction::Claim;
    std::string scope; //!< for example "targets/fd-a"
    Incarnation holder;
    std::uint64_t nonce = 0; //!< random; identifies the append to its writer
    LogEra era = 0; //!< era in which the writer had read the stream; 0 for logs that don't tell
    Offset epoch = noOffset; //!< of renewals and releases: fencing token of the claim that started the epoch
    Offset replaces = noOffset; //!< offset of the scope's latest effective record; noOffset if none is retained
    std::uint64_t replacesNonce = 0; //!< nonce of the replaced record, as its offset may be given out again in a later era; 0 matches any
    Offset firstRetained = 0; //!< first retained offset of the stream when the writer last read it
    milliseconds duration{0};
};

/**
 * Fencing token of a claim: the era in the high bits, the offset in the low 32, so that tokens rise with the era although
 * offsets fall. Equals the offset in era 0. Empty if the era or the offset is out of range; tokens never wrap.
 */
std::optional<Offset> leaseToken(LogEra era, Offset offset) noexcept;

/** Encodes a record as JSON. The epoch is written as the offset of the claim, which is of the same era as the record. */
Json::Value toJson(const LeaseRecord &record);

/** Decodes a record; empty with a reason if a field has the wrong type or one other than the era and the nonce of the replaced record is missing. */
std::optional<LeaseRecord> parseLeaseRecord(const Json::Value &value, Reason &reason);

/** A record whose effect depends on records that were no longer retained when this reader started. */
struct UndecidedLeaseRecord
{
    Offset offset = noOffset;
    LeaseRecord record;
};

/** State of one scope after a prefix of the stream has been applied. */
struct ScopeLease
{
    bool certain = false; //!< false if the state depends on records that were no longer retained when this reader started
    Offset latest = noOffset; //!< offset of the latest record that has or may have effect
    std::uint64_t latestNonce = 0; //!< nonce of that record
    LogEra era = 0; //!< era in that record
    Offset epoch = noOffset; //!< fencing token of the claim in effect, see leaseToken()
    Incarnation holder;
    milliseconds duration{0}; //!< lease duration in the latest record
    bool released = false;
    std::vector<UndecidedLeaseRecord> undecided; //!< oldest first; empty once certain
};

/** State of all scopes, built by applying the stream "leases" in order. Readers of the same records agree on the effect of each record. */
struct LeaseTable
{
    LogEra era = 0; //!< era of the log in which all records were read
    Offset readFrom = 0; //!< first retained offset when this reader started
    Offset firstRetained = 0; //!< first retained offset at the latest read
    Offset next = 0; //!< offset of the next record to read
    std::map<std::string, ScopeLease> scopes;
};

/** Effect of a record on the lease table of its reader. */
enum class LeaseEffect {
    None, //!< the record names a predecessor other than the scope's latest effective record, or has no token
    Unknown, //!< depends on records that this reader could not read
    Effective,
};

/**
 * Creates an empty table for reading from the first retained record; also used after unread records were removed by
 * retention, and for each new era of the log.
 */
LeaseTable startLeaseTable(Offset firstRetained, LogEra era = 0);

/** Applies the record at an offset. Offsets must be increasing; an already applied one is ignored. */
LeaseEffect applyLeaseRecord(LeaseTable &table, Offset offset, const LeaseRecord &record);

/** Advances the read position past all records before next, including malformed ones, and updates the first retained offset. */
void advanceReadPosition(LeaseTable &table, Offset firstRetained, Offset next);

/** True if this reader knows enough about the scope to write a claim whose effect all readers agree on. */
bool isClaimable(const LeaseTable &table, const std::string &scope);

/** True if a claim appended now gets a token, see leaseToken(). */
bool canIssueToken(const LeaseTable &table) noexcept;

/** Creates a claim that replaces the scope's latest effective record, or refers to the first retained offset if no such record is retained. */
LeaseRecord makeClaim(const LeaseTable &table, const std::string &scope);

/** Highest fencing token (epoch) in the table among the scopes with the given prefix. */
Offset highestEpoch(const LeaseTable &table, std::string_view scopePrefix);

} // namespace snipehill
