#pragma once

#include <core/ids.h>
#include <core/reason.h>
#include <core/time.h>
#include <version/configversion.h>

#include <json/value.h>

#include <optional>
#include <string>

namespace snipehill
{

/**
 * A "snapshot" record of the configuration: what is in force, with the original offsets, the records that
 * are kept aside and recent withdrawals. It has effect only if it stands directly behind the record that it names
 * as "upTo"; every reader, also one that remembers, then goes on from its content.
 */
Json::Value writeSnapshot(const ConfigVersion &config);

/**
 * Reads a snapshot record into the configuration that it describes, at the offset "upTo".
 * Reads for a program that understands schema versions up to the given one.
 */
std::optional<ConfigVersion> readSnapshot(const Json::Value &record, int understands, Reason &reason);

/** Hexadecimal SHA-256 over what is in force; equal in all processes that applied the same prefix. */
std::string configDigest(const ConfigVersion &config);

/** What decides whether the holder of the snapshot lease appends one now. */
struct SnapshotNeed
{
    Duration sinceLast{}; //!< since this holder saw the last snapshot, or since it began to read
    Duration retention{}; //!< for which the log keeps a record
    bool keepsAside = false; //!< a process that understands all records is the better writer
    bool changed = false; //!< records were applied since the last snapshot, or none exists
};

/** True when a snapshot has to be appended so that retention never passes a record in force. */
bool snapshotDue(const SnapshotNeed &need) noexcept;

} // namespace snipehill
