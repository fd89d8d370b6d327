#pragma once

#include <core/ids.h>
#include <core/time.h>
#include <version/targetentry.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipehill
{

/** What a registration record says of a target. */
struct TargetRecord
{
    Offset offset = noOffset;
    std::string id;
    std::optional<TargetEntry> entry; //!< empty if the record was deleted or can't be read
    bool unreadable = false; //!< the record is of another writer; it says nothing of the target
};

/** A target of which a registration record was read. */
struct KnownTarget
{
    TargetEntry entry; //!< latest entry that was applied
    bool removed = false;
    TimePoint removedAt{}; //!< when it was removed, or last kept removed against an entry of an older copy
    bool missing = false; //!< not removed, but without a record; removed when the grace period ends
};

/**
 * The registrations of targets as read so far. Filled by the functions below; plain data of one reader.
 *
 * Removed targets are remembered for a time, because a log that comes back from an older copy shows them again.
 */
struct TargetEntryTable
{
    std::map<std::string, KnownTarget, std::less<>> targets; //!< by id
    TimePoint graceUntil{}; //!< missing targets are kept until this time
};

/** A change for TargetRegistry. */
struct TargetChange
{
    Offset offset = noOffset; //!< of the record; noOffset if the change is due to a record that is missing
    std::string id;
    std::optional<TargetEntry> entry; //!< to be applied; empty: the target is to be removed
};

/** Where a snapshot of all records comes from. */
enum class SnapshotSource {
    SameLog, //!< the log the reader has read before, or the first one
    OlderCopy, //!< the log came back from an older copy since the reader's last record
};

/** Result of applying a snapshot. */
struct TargetSnapshotResult
{
    std::vector<TargetChange> changes;
    std::set<std::string> outdated; //!< ids whose entry says less than what is known, so that it was not applied
    std::size_t missing = 0; //!< known targets without a record, kept for the grace period
};

/** Keeps targets whose records are missing until the given time. */
void startTargetGrace(TargetEntryTable &table, TimePoint until);

/** Applies one record that was written after all records applied before. */
std::optional<TargetChange> applyTargetRecord(TargetEntryTable &table, const TargetRecord &record, TimePoint now);

/**
 * Applies a page with the newest record of each target.
 *
 * In an older copy, an entry is not applied if the target's own records or another target at the address show that it is
 * outdated. What is known then stays until a record that is written later.
 */
TargetSnapshotResult applyTargetSnapshot(TargetEntryTable &table, const std::vector<TargetRecord> &records, SnapshotSource source, TimePoint now);

/** Removes missing targets once the grace period has ended, and forgets targets that were removed long ago. */
std::vector<TargetChange> expireTargets(TargetEntryTable &table, TimePoint now);

} // namespace snipehill
