#include "configview.h"

#include <utility>

namespace snipehill
{

namespace
{

template<typename T>
void updateActiveObject(std::map<std::string, Versioned<T>, std::less<>> &activeObjects, const ObjectName &object, const RecordVariant *variant, int version)
{
    if (variant) {
        activeObjects[object.name] = {std::get<T>(variant->spec), variant->offset, version};
    } else {
        activeObjects.erase(object.name);
    }
}

/**
 * Rebuilds the index from hash to key name. Two keys can have the same hash only if their schema versions differ; the hash then
 * belongs to the older record.
 */
void rebuildKeyIndex(ConfigVersion &config)
{
    config.keyNameByHash.clear();
    for (const auto &[name, key] : config.keys) {
        const auto [entry, added] = config.keyNameByHash.emplace(key.value.sha256, name);
        if (!added && key.offset < config.keys.find(entry->second)->second.offset) {
            entry->second = name;
        }
    }
}

void updateActiveObjects(ConfigVersion &config, const ObjectName &object)
{
    const RecordVariant *newest = nullptr;
    int version = 0;
    for (const auto &[candidate, variant] : config.variants[object]) {
        if (!variant.withdrawn) {
            newest = &variant;
            version = candidate;
        }
    }
    switch (object.kind) {
    case RecordKind::Workspace:
        updateActiveObject(config.workspaces, object, newest, version);
        break;
    case RecordKind::Key:
        updateActiveObject(config.keys, object, newest, version);
        rebuildKeyIndex(config);
        break;
    case RecordKind::TargetGroup:
        updateActiveObject(config.targetGroups, object, newest, version);
        break;
    case RecordKind::Route:
        updateActiveObject(config.routes, object, newest, version);
        break;
    }
}

} // namespace

void setVariant(ConfigVersion &config, const ObjectName &object, int schemaVersion, RecordVariant variant)
{
    config.variants[object][schemaVersion] = std::move(variant);
    updateActiveObjects(config, object);
}

const RecordVariant *findVariant(const ConfigVersion &config, const ObjectName &object, int schemaVersion)
{
    const auto versions = config.variants.find(object);
    if (versions == config.variants.end()) {
        return nullptr;
    }
    const auto variant = versions->second.find(schemaVersion);
    return variant == versions->second.end() ? nullptr : &variant->second;
}

bool isActive(const ConfigVersion &config, const ObjectName &object, int schemaVersion)
{
    const auto versions = config.variants.find(object);
    if (versions == config.variants.end()) {
        return false;
    }
    for (const auto &[version, variant] : versions->second) {
        if (version <= schemaVersion && !variant.withdrawn) {
            return true;
        }
    }
    return false;
}

} // namespace snipehill
