#pragma once

#include <core/ids.h>
#include <core/reason.h>
#include <version/configversion.h>

#include <json/value.h>

#include <optional>

namespace snipehill
{

/** What became of a record. */
enum class ApplyOutcome {
    Effective, //!< changed what is in force
    Rejected, //!< has no effect in any process, by the same rule
    Unsupported, //!< of a schema version that this process does not understand; carried on in snapshots
    AlreadyApplied, //!< at or below the offset that was applied before, nothing done
    HistoryMissing, //!< can't be judged because earlier records are missing; only a snapshot helps
};

/** "effective", "rejected", "kept-aside", "old" or "missed". */
const char *toString(ApplyOutcome outcome) noexcept;

/** Answer of applyRecord. */
struct ApplyResult
{
    ApplyOutcome outcome = ApplyOutcome::Rejected;
    Reason reason; //!< set unless effective
};

/**
 * Applies the record at the offset to the configuration: one step of the fold over the config stream.
 *
 * Pure, never throws: equal prefixes give equal configurations. A record is judged only against records of
 * its own or lower schema versions, so programs that know different ones agree on all that both know.
 * The caller passes the records in order and without gaps (see ConfigFold).
 */
ApplyResult applyRecord(ConfigVersion &config, Offset offset, const Json::Value &record);

/** What the next record for an object must name as "replaces", empty for a new object. */
std::optional<Offset> replaceableOffset(const ConfigVersion &config, const ObjectName &object, int schemaVersion);

/**
 * Where a reader of the config stream stands.
 *
 * A reader that saw the stream from its first record, or from an effective snapshot on, is complete. One
 * that missed records waits for the next snapshot and keeps what it has.
 */
struct ConfigFold
{
    ConfigVersion config;
    bool complete = false; //!< config is the fold of all records up to nextRead
    Offset nextRead = 0; //!< offset to read from
};

/**
 * Takes note of the oldest record that the log still has and of the offset at which this read began.
 * To be called before the records of a page are passed to advance().
 */
void beginPage(ConfigFold &fold, Offset firstRetained);

/** Takes the next record of the stream; lower offsets than nextRead are ignored. */
ApplyResult advance(ConfigFold &fold, Offset offset, const Json::Value &record);

} // namespace snipehill
