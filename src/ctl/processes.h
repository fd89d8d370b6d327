#pragma once

#include <core/ids.h>
#include <process/membershipwatcher.h>

#include <json/value.h>

#include <optional>
#include <string>
#include <vector>

namespace snipehill
{

/** A process of the instance list and what its admin port said. */
struct ProcessReport
{
    Member member;
    std::optional<Json::Value> status; //!< empty if it did not answer
    std::string problem;
};

/** Asks the instance list, then the admin port of each process on it, side by side; blocks. Empty when the list can't be had. */
std::optional<std::vector<ProcessReport>> fetchProcessReports(const Endpoint &instances, Reason &reason);

/** Offset of the configuration in force at the process, noOffset if unknown. */
Offset configOffset(const ProcessReport &report);

} // namespace snipehill
