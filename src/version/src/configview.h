#pragma once

#include <version/configversion.h>

namespace snipehill
{

/** Sets the variant and brings the maps of what is in force up to date for its object. */
void setVariant(ConfigVersion &config, const ObjectName &object, int schemaVersion, RecordVariant variant);

/** The object's latest effective record of a schema version, null if none is remembered. */
const RecordVariant *findVariant(const ConfigVersion &config, const ObjectName &object, int schemaVersion);

/** True if the object is in force under the schema version or a lower one. */
bool isActive(const ConfigVersion &config, const ObjectName &object, int schemaVersion);

} // namespace snipehill
