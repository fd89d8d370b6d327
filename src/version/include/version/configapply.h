#pragma once

#include <core/ids.h>
#include <core/reason.h>
#include <version/configversion.h>

#include <json/value.h>

#include <optional>

namespace snipehill
{

/** Result of applying a configuration record. */
enum class ApplyOutcome {
    Effective, //!< changed the active configuration
    Rejected, //!< invalid; every process rejects the record by the same rule
    Unsupported, //!< newer schema version than this process supports; stored and passed on in snapshots
    AlreadyApplied, //!< offset is not above the last applied one; nothing changed
    HistoryMissing, //!< can't be validated because earlier records are missing; only a snapshot makes the reader complete again
};

/** "effective", "rejected", "kept-aside" (Unsupported), "old" (AlreadyApplied) or "missed" (HistoryMissing). */
const char *toString(ApplyOutcome outcome) noexcept;

/** Result of applyRecord() and its reason. */
struct ApplyResult
{
    ApplyOutcome outcome = ApplyOutcome::Rejected;
    Reason reason; //!< set unless effective
};

/**
 * Applies the record at the offset to the configuration: one step of the fold over the config stream.
 *
 * Deterministic, never throws: equal prefixes of the stream give equal configurations. A record is validated only against
 * records of its own or lower schema versions, so programs that support different versions agree on all records that both support.
 * The caller passes the records in order and without gaps (see ConfigFold).
 */
ApplyResult applyRecord(ConfigVersion &config, Offset offset, const Json::Value &record);

/** Offset that the next record for the object must give as "replaces"; empty for a new object. */
std::optional<Offset> replaceableOffset(const ConfigVersion &config, const ObjectName &object, int schemaVersion);

/**
 * Progress of a reader of the config stream.
 *
 * A reader is complete if it has read the stream from the first record or from an effective snapshot without a gap. A reader
 * that missed records keeps its configuration until the next snapshot.
 */
struct ConfigFold
{
    ConfigVersion config;
    bool complete = false; //!< config reflects all records before nextRead
    Offset nextRead = 0; //!< offset to read from
};

/**
 * Updates the fold for the offset of the oldest record that the log still retains: records between nextRead and that offset
 * are lost, and the fold is then no longer complete. A read from offset 0 without loss makes the fold complete. Call before passing
 * the records of a page to advance().
 */
void beginPage(ConfigFold &fold, Offset firstRetained);

/** Processes the next record of the stream; offsets below nextRead are ignored, a gap makes the fold incomplete. */
ApplyResult advance(ConfigFold &fold, Offset offset, const Json::Value &record);

} // namespace snipehill
