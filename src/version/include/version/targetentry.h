#pragma once

#include <core/loadreport.h>
#include <core/time.h>

#include <cstdint>
#include <string>

namespace snipehill
{

/** A target as it last registered itself. */
struct TargetEntry
{
    std::string id; //!< of this run of the target, mostly new at each start
    std::string group;
    std::string address; //!< "IP:PORT"
    std::string failureDomain;
    std::uint32_t slots = 1;
    bool draining = false; //!< gets no new work
    milliseconds warmupRemaining{0}; //!< how much longer it stays slow after its start
    EngineRole role = EngineRole::Mixed;
    std::int64_t startTimeMs = 0; //!< Unix time in ms; tells two runs under one id apart, 0 where not told
};

} // namespace snipehill
