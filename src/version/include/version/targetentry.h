#pragma once

#include <core/loadreport.h>
#include <core/time.h>

#include <cstdint>
#include <string>

namespace snipehill
{

/** The latest registration of a target. */
struct TargetEntry
{
    std::string id; //!< id of one run of the target; usually new at each start
    std::string group;
    std::string address; //!< "IP:PORT"
    std::string failureDomain;
    std::uint32_t slots = 1;
    bool draining = false; //!< receives no new requests
    milliseconds warmupRemaining{0}; //!< remaining time in which the target is still slow after its start
    EngineRole role = EngineRole::Mixed;
    std::int64_t startTimeMs = 0; //!< Unix time; distinguishes two runs with the same id, 0 if unknown
    std::uint64_t sequence = 0; //!< rises with each record that a run writes; 0 if unknown
};

} // namespace snipehill
