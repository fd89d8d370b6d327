#pragma once

#include <core/ids.h>
#include <version/configversion.h>

#include <utility>
#include <vector>

namespace snipehill::test
{

/**
 * What processes have to agree on; a record is known by its offset. Not what they keep aside: a copy from a program
 * that understands such records carries fewer of them, which only shows in snapshots, from which all go on alike.
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
