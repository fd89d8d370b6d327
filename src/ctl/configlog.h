#pragma once

#include <connection/endpoint.h>
#include <version/configapply.h>

#include <functional>
#include <optional>
#include <vector>

namespace snipehill
{

/** Called for each record with what became of it. */
using RecordObserver = std::function<void(Offset offset, const ApplyResult &result)>;

/** Folds the config stream from its first retained record to its end; blocks. Empty when the log can't be read. */
std::optional<ConfigFold> readConfig(const Endpoint &log, Reason &reason, const RecordObserver &observer = {});

/** Appends in one call; blocks. Empty when no answer came: the records may be in the log or not. */
std::optional<Offset> appendConfig(const Endpoint &log, const std::vector<Json::Value> &records, Reason &reason);

} // namespace snipehill
