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
    friend auto operator<=>(const ObjectName &, const ObjectName &) = default; // NOLINT(modernize-use-nullptr) a false alarm on defaulted comparisons
};

/** What every schema version of a record has in common; never changes, so that old programs can read it. */
struct RecordEnvelope
{
    ObjectName object;
    int schemaVersion = 1;
    std::optional<Offset> replaces; //!< record that this one replaces, empty for a new object
    bool withdrawn = false; //!< takes the object out of force
};

using RecordSpec = std::variant<Workspace, Key, TargetGroup, Route>;

/** Reads the common part of a record; empty with a reason that names the field. */
std::optional<RecordEnvelope> parseEnvelope(const Json::Value &record, Reason &reason);

/** Reads the part of a record that its kind and schema version define; empty with a reason that names the field. */
std::optional<RecordSpec> parseSpec(const RecordEnvelope &envelope, const Json::Value &record, Reason &reason);

/** A record as one file of the operators' version control holds it. */
struct RecordFile
{
    RecordEnvelope envelope;
    Json::Value record; //!< as read, "replaces" may be absent: publishing fills it in
};

/** Parses and checks the text of a record file, references aside. The peer of the reason is left to the caller. */
std::optional<RecordFile> parseRecordFile(std::string_view text, Reason &reason);

} // namespace snipehill
