#pragma once

#include "declarations.h"

#include <version/configversion.h>

#include <string>
#include <vector>

namespace snipehill
{

/** What a record does to its object. */
enum class ChangeKind {
    Create,
    Update,
    Withdraw,
};

/** A record to append, so that what is in force becomes what is declared. */
struct Change
{
    ChangeKind kind = ChangeKind::Create;
    ObjectName object;
    std::string path; //!< file that declares it, empty for what is declared nowhere
    Json::Value record; //!< names the record that it replaces
    std::vector<std::string> fields; //!< of an update: "name: old -> new"
};

/** "route fees" */
std::string toText(const ObjectName &object);

/**
 * Records that bring the configuration to the declared state, in an order in which each finds what it refers to:
 * routes and keys withdrawn, everything else set, then workspaces and target groups withdrawn.
 * With prune, objects in force that no file declares are withdrawn.
 */
std::vector<Change> planChanges(const std::vector<Declaration> &declared, const ConfigVersion &inForce, bool prune);

/** Objects in force that no file declares. */
std::vector<ObjectName> findUndeclaredObjects(const std::vector<Declaration> &declared, const ConfigVersion &inForce);

/** Changes that would have no effect when appended to a log with this configuration. */
std::vector<FileProblem> findRejectedChanges(ConfigVersion inForce, const std::vector<Change> &changes);

/** One line a change, and one for each field of an update. */
std::string toText(const std::vector<Change> &changes);

/** Array of objects with change, kind, name, path and fields. */
Json::Value toJson(const std::vector<Change> &changes);

} // namespace snipehill
