#include "standinfaults.h"

#include <map>

namespace snipehill::soak
{

const StandInFault *standInFaultFor(FaultKind kind)
{
    static const std::map<FaultKind, StandInFault> faults{
        {FaultKind::RefuseWork, {false, R"({"refuse": true})", R"({"refuse": null})"}},
        {FaultKind::FailWork, {false, R"({"status": 500})", R"({"status": null})"}},
        {FaultKind::BreakStream, {false, R"({"cutAfter": 2})", R"({"cutAfter": null})"}},
        {FaultKind::DuplicateResponses, {false, R"({"extraAnswer": 3})", R"({"extraAnswer": null})"}},
        {FaultKind::SlowTarget, {false, R"({"beforeMs": 400, "readMs": 400, "eventMs": 100})", R"({"beforeMs": null, "readMs": null, "eventMs": null})"}},
        {FaultKind::StoreDown, {true, R"({"down": true})", R"({"down": null})"}},
        {FaultKind::LoseStoreResponses, {true, R"({"loseAnswers": 5})", R"({"loseAnswers": null})"}},
    };
    const auto found = faults.find(kind);
    return found == faults.end() ? nullptr : &found->second;
}

} // namespace snipehill::soak
