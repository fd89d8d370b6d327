#pragma once

#include <version/configversion.h>

namespace snipehill
{

/** Sets the variant and updates the active configuration for its object. */
void setVariant(ConfigVersion &config, const ObjectName &object, int schemaVersion, RecordVariant variant);

/** The latest effective record of the object with the schema version; null if there is none. */
const RecordVariant *findVariant(const ConfigVersion &config, const ObjectName &object, int schemaVersion);

/** True if the object is active with the given schema version or a lower one. */
bool isActive(const ConfigVersion &config, const ObjectName &object, int schemaVersion);

} // namespace snipehill
