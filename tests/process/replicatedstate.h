#pragma once

#include <core/ids.h>
#include <version/configversion.h>

#include <utility>
#include <vector>

namespace snipehill::test
{

/**
 * The part of a configuration that must be equal in all processes; records are identified by their offset. Leaves out the
 * records kept aside: a copy from a process that understands such records contains fewer of them. This is visible in
 * snapshots only, from which all processes continue alike.
 */
struct ReplicatedState
{
    std::vector<std::pair<Offset, int>> entries;
    friend bool operator==(const ReplicatedState &, const ReplicatedState &) = default;
};

template<typename T> inline void addObjects(ReplicatedState &essence, const T &view)
{
    for (const auto &[name, versioned] : view) {
        essence.entries.emplace_back(versioned.offset, versioned.schemaVersion);
    }
    essence.entries.emplace_back(noOffset, 0);
}

inline ReplicatedState replicatedStateOf(const ConfigVersion &config)
{
    ReplicatedState essence;
    for (const auto &[object, versions] : config.variants) {
        for (const auto &[version, variant] : versions) {
            essence.entries.emplace_back(variant.offset, variant.withdrawn ? -version : version);
        }
    }
    addObjects(essence, config.workspaces);
    addObjects(essence, config.keys);
    addObjects(essence, config.targetGroups);
    addObjects(essence, config.routes);
    essence.entries.emplace_back(config.snapshotOffset, static_cast<int>(config.keyNameByHash.size()));
    return essence;
}

} // namespace snipehill::test
