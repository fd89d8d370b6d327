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
    bool withdrawn = false; //!< remembered so that a late duplicate can't bring the object back
    RecordSpec spec; //!< unless withdrawn
    Json::Value record; //!< as it stands in the log
};

/** A record of a schema version that this process does not understand. */
struct UnsupportedRecord
{
    Offset offset = noOffset;
    bool validated = false; //!< known to be effective, from a snapshot of a process that understands it
    Json::Value record;
};

/**
 * The configuration after a prefix of the config stream. Immutable once published: requests hold a shared
 * pointer to the version under which they were admitted, a new version replaces the pointer whole.
 * A pure function of the prefix, so equal offsets mean equal content in every process.
 */
struct ConfigVersion
{
    Offset offset = noOffset; //!< last record applied, effective or not
    std::map<std::string, Versioned<Workspace>, std::less<>> workspaces;
    std::map<std::string, Versioned<Key>, std::less<>> keys; //!< by key name
    std::map<std::string, Versioned<TargetGroup>, std::less<>> targetGroups;
    std::map<std::string, Versioned<Route>, std::less<>> routes;
    std::map<std::string, std::string, std::less<>> keyNameByHash; //!< SHA-256 in hexadecimal to key name

    // What the fold needs besides what is in force.
    std::map<ObjectName, std::map<int, RecordVariant>> variants; //!< by object and schema version
    std::vector<UnsupportedRecord> unsupportedRecords; //!< in the order of their offsets
    Offset snapshotOffset = noOffset; //!< last snapshot that had effect
    int supportedSchemaVersion = newestSchemaVersion; //!< of this process
};

using ConfigPointer = std::shared_ptr<const ConfigVersion>;

/** Route with the longest prefix that matches the path at a segment boundary, null if none. */
const Route *findRoute(const ConfigVersion &config, std::string_view path) noexcept;

/** Workspace of the key whose secret is given, null if unknown or withdrawn. Constant time in the secret. */
const Workspace *findWorkspaceBySecret(const ConfigVersion &config, std::string_view secret);

/** Hexadecimal SHA-256 of a secret. */
std::string sha256Hex(std::string_view secret);

} // namespace snipehill
