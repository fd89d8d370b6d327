#pragma once

#include <core/ids.h>
#include <core/reason.h>
#include <version/records.h>

#include <json/value.h>

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace snipehill
{

/** Kinds of configuration records. */
enum class RecordKind {
    Workspace,
    Key,
    TargetGroup,
    Route,
};

/** "workspace", "key", "targetGroup" or "route". */
const char *toString(RecordKind kind) noexcept;

/** Newest schema version of configuration records that this program understands. */
constexpr int newestSchemaVersion = 1;

/** Name of an object of the configuration, unique within its kind. */
struct ObjectName
{
    RecordKind kind = RecordKind::Workspace;
    std::string name;
    friend bool operator==(const ObjectName &, const ObjectName &) = default;
    friend auto operator<=>(const ObjectName &, const ObjectName &) = default; // NOLINT(modernize-use-nullptr) false positive on defaulted comparisons
};

/** The part common to all schema versions of a record. Its format never changes, so that old programs can read it. */
struct RecordEnvelope
{
    ObjectName object;
    int schemaVersion = 1;
    std::optional<Offset> replaces; //!< record that this one replaces, empty for a new object
    bool withdrawn = false; //!< removes the object from the active configuration
};

using RecordSpec = std::variant<Workspace, Key, TargetGroup, Route>;

/** Parses the common part of a record; on error empty with a reason that names the field. */
std::optional<RecordEnvelope> parseEnvelope(const Json::Value &record, Reason &reason);

/** Parses the part of a record that depends on its kind and schema version; on error empty with a reason that names the field. */
std::optional<RecordSpec> parseSpec(const RecordEnvelope &envelope, const Json::Value &record, Reason &reason);

/** A record read from a file in the operators' version control. */
struct RecordFile
{
    RecordEnvelope envelope;
    Json::Value record; //!< as read; publishing fills in "replaces" if it is absent
};

/** Parses and validates the text of a record file, except for references to other objects. The caller sets the peer of the reason. */
std::optional<RecordFile> parseRecordFile(std::string_view text, Reason &reason);

} // namespace snipehill
