#pragma once

#include <json/value.h>

#include <string>
#include <vector>

namespace snipehill::support
{

/** Events written by stand-ins, ordered by time; each has "t" (milliseconds of the monotonic clock), "standIn" and "event". */
using Journal = std::vector<Json::Value>;

/** Parses the lines of a journal; skips an incomplete last line. */
Journal parseJournal(const std::string &lines);

/** Merges journals into one ordered by time. */
Journal mergeJournals(const std::vector<Journal> &journals);

/** Events with the given name. */
Journal eventsOf(const Journal &journal, const std::string &event);

} // namespace snipehill::support
