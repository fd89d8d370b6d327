#pragma once

#include "declarations.h"

#include <version/configversion.h>

#include <string>
#include <vector>

namespace snipehill
{

/** Effect of a record on its object. */
enum class ChangeKind {
    Create,
    Update,
    Withdraw,
};

/** A record to append to the config stream, to bring an object to its declared state. */
struct Change
{
    ChangeKind kind = ChangeKind::Create;
    ObjectName object;
    std::string path; //!< file that declares the object; empty if no file does
    Json::Value record; //!< record to append; its "replaces" field names the offset of the record that it replaces
    std::vector<std::string> fields; //!< only for updates: one "name: old -> new" for each changed field
};

/** Formats kind and name, such as "route fees". */
std::string toText(const ObjectName &object);

/**
 * Returns the changes that bring the configuration in force to the declared state. They are ordered so that no record
 * refers to a missing object: first routes and keys are withdrawn, then workspaces and target groups are created or
 * updated, then routes and keys, and finally workspaces and target groups are withdrawn.
 * With prune, objects in force that no file declares are withdrawn too.
 */
std::vector<Change> planChanges(const std::vector<Declaration> &declared, const ConfigVersion &inForce, bool prune);

/** Returns the objects in force that no file declares. */
std::vector<ObjectName> findUndeclaredObjects(const std::vector<Declaration> &declared, const ConfigVersion &inForce);

/** Returns the changes that would have no effect if they were appended to a log with this configuration. */
std::vector<FileProblem> findRejectedChanges(ConfigVersion inForce, const std::vector<Change> &changes);

/** Formats one line for each change, and one for each changed field of an update. */
std::string toText(const std::vector<Change> &changes);

/** Returns an array of objects with change, kind, name, path and fields. */
Json::Value toJson(const std::vector<Change> &changes);

} // namespace snipehill
