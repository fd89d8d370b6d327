#pragma once

#include <json/value.h>

#include <string>
#include <vector>

namespace snipehill::support
{

/** Events that stand-ins wrote, in order of time; each has "t" (milliseconds), "standIn" and "event". */
using Journal = std::vector<Json::Value>;

/** Reads the lines of a journal; a half-written last line is left out. */
Journal parseJournal(const std::string &lines);

/** Merges journals by time. */
Journal mergeJournals(const std::vector<Journal> &journals);

/** Events of one name. */
Journal eventsOf(const Journal &journal, const std::string &event);

} // namespace snipehill::support
