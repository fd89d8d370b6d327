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

/** Like writeSnapshot, with all that the process remembers: what one process hands to another. */
Json::Value writeFullCopy(const ConfigVersion &config);

/**
 * Reads a snapshot record into the configuration that it describes, at the offset "upTo", for a program that
 * understands schema versions up to the given one. Records that the writer did not understand but this program does
 * are judged by what is in force at the snapshot; as every reader goes on from it, all agree.
 */
std::optional<ConfigVersion> readSnapshot(const Json::Value &record, int supportedSchemaVersion, Reason &reason);

/**
 * Reads a copy. Empty with a reason if it holds records that its writer did not understand but this program does:
 * only those who read them in their place, or from a snapshot, know whether they are effective.
 */
std::optional<ConfigVersion> readFullCopy(const Json::Value &copy, int supportedSchemaVersion, Reason &reason);

/** Hexadecimal SHA-256 over what is in force; equal in all processes that applied the same prefix. */
std::string configDigest(const ConfigVersion &config);

/** True for a record of kind "snapshot". */
bool isSnapshot(const Json::Value &record);

/** What decides whether the holder of the snapshot lease appends one now. */
struct SnapshotConditions
{
    std::optional<Duration> timeSinceLast; //!< since this process saw the last one being appended, empty if it did not
    Duration retention{}; //!< for which the log keeps a record
    bool hasUnsupportedRecords = false; //!< a process that understands all records is the better writer and goes first
};

/** True when a snapshot has to be appended so that retention never passes a record in force. */
bool isSnapshotDue(const SnapshotConditions &conditions) noexcept;

} // namespace snipehill
