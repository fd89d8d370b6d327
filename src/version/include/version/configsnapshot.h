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
 * Builds a "snapshot" record of the configuration: the active records with their original offsets, the unsupported records and
 * recent withdrawals. A snapshot takes effect only if it directly follows the record at its "upTo" offset in the stream. Every
 * reader then continues from the content of the snapshot, including readers that have read the whole stream.
 */
Json::Value writeSnapshot(const ConfigVersion &config);

/** Like writeSnapshot(), but with all withdrawals that the process knows; sent from one process to another. */
Json::Value writeFullCopy(const ConfigVersion &config);

/**
 * Parses a snapshot record into the configuration at its "upTo" offset, for a program that supports schema versions up to the
 * given one. Records that this program supports but the writer did not are validated against the configuration in the snapshot;
 * every reader continues from the snapshot, so all reach the same result.
 */
std::optional<ConfigVersion> readSnapshot(const Json::Value &record, int supportedSchemaVersion, Reason &reason);

/**
 * Parses a copy written by writeFullCopy(). Empty with a reason if the copy holds records that this program supports but its
 * writer did not: whether those are effective is known only to processes that read them in the stream or from a snapshot.
 */
std::optional<ConfigVersion> readFullCopy(const Json::Value &copy, int supportedSchemaVersion, Reason &reason);

/** Hexadecimal SHA-256 of the configuration; equal in all processes that applied the same prefix of the stream. */
std::string configDigest(const ConfigVersion &config);

/** True for a record of kind "snapshot". */
bool isSnapshot(const Json::Value &record);

/** Input to the decision whether the holder of the snapshot lease appends a snapshot now. */
struct SnapshotConditions
{
    std::optional<Duration> timeSinceLast; //!< since this process saw the last snapshot being appended, empty if it saw none
    Duration retention{}; //!< how long the log retains a record
    bool hasUnsupportedRecords = false; //!< such a process waits longer, so that one which supports all records writes the snapshot first
};

/** True if a snapshot must be appended now so that the log never deletes an active record that no snapshot holds. */
bool isSnapshotDue(const SnapshotConditions &conditions) noexcept;

} // namespace snipehill
