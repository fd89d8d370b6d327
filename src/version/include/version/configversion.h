#pragma once

#include <version/recordparser.h>
#include <version/records.h>

#include <json/value.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace snipehill
{

/** The latest effective record of one schema version of an object. */
struct RecordVariant
{
    Offset offset = noOffset;
    bool withdrawn = false; //!< kept so that a late duplicate of an earlier record can't restore the object
    RecordSpec spec; //!< not set if withdrawn
    Json::Value record; //!< as read from the log
};

/** A record of a newer schema version than this process supports. */
struct UnsupportedRecord
{
    Offset offset = noOffset;
    bool validated = false; //!< known to be effective from a snapshot whose writer supports the record
    Json::Value record;
};

/**
 * The configuration after a prefix of the config stream. Immutable once published: requests hold a shared
 * pointer to the version under which they were admitted; a new version replaces the published pointer.
 * Depends only on the prefix, so equal offsets mean equal content in every process.
 */
struct ConfigVersion
{
    Offset offset = noOffset; //!< last record applied, effective or not
    std::map<std::string, Versioned<Workspace>, std::less<>> workspaces;
    std::map<std::string, Versioned<Key>, std::less<>> keys; //!< by key name
    std::map<std::string, Versioned<TargetGroup>, std::less<>> targetGroups;
    std::map<std::string, Versioned<Route>, std::less<>> routes;
    std::map<std::string, std::string, std::less<>> keyNameByHash; //!< maps the hexadecimal SHA-256 of the secret to the key name

    // State needed to apply further records, in addition to the active configuration above.
    std::map<ObjectName, std::map<int, RecordVariant>> variants; //!< by object and schema version
    std::vector<UnsupportedRecord> unsupportedRecords; //!< in order of offset
    Offset snapshotOffset = noOffset; //!< last effective snapshot
    int supportedSchemaVersion = newestSchemaVersion; //!< newest one that this process supports
};

using ConfigPointer = std::shared_ptr<const ConfigVersion>;

/** Route with the longest prefix that matches the path at a segment boundary; null if there is none. */
const Route *findRoute(const ConfigVersion &config, std::string_view path) noexcept;

/** Workspace of the key with the given secret; null if unknown or withdrawn. The timing reveals nothing about the secret. */
const Workspace *findWorkspaceBySecret(const ConfigVersion &config, std::string_view secret);

/** SHA-256 of the text in lower-case hexadecimal. */
std::string sha256Hex(std::string_view secret);

} // namespace snipehill
