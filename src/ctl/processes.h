#pragma once

#include <core/ids.h>
#include <process/membershipwatcher.h>

#include <json/value.h>

#include <optional>
#include <string>
#include <vector>

namespace snipehill
{

/** A process of the instance list and the response of its admin server. */
struct ProcessReport
{
    Member member;
    std::optional<Json::Value> status; //!< JSON of /status; empty if the request failed
    std::string problem; //!< why there is no status
};

/** Reads the instance list, then the status of all its processes concurrently. Blocks. Empty with a reason if the list can't be read. */
std::optional<std::vector<ProcessReport>> fetchProcessReports(const Endpoint &instances, Reason &reason);

/** Returns the offset of the configuration in force in the process, or noOffset if unknown. */
Offset configOffset(const ProcessReport &report);

} // namespace snipehill
