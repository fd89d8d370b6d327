#pragma once

#include <connection/endpoint.h>
#include <version/configapply.h>

#include <functional>
#include <optional>
#include <vector>

namespace snipehill
{

/** Called for each record of the stream with the result of applying it. */
using RecordObserver = std::function<void(Offset offset, const ApplyResult &result)>;

/**
 * Reads the config stream from its first retained record to its end and applies each record. Blocks.
 * Empty with a reason if the log can't be read or no longer holds a complete configuration.
 */
std::optional<ConfigFold> readConfig(const Endpoint &log, Reason &reason, const RecordObserver &observer = {});

/**
 * Appends the records in one call and returns the offset of the first. Blocks.
 * Empty with a reason if no response came; the records may still have been appended.
 */
std::optional<Offset> appendConfig(const Endpoint &log, const std::vector<Json::Value> &records, Reason &reason);

} // namespace snipehill
