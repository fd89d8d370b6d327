#include "standinfaults.h"

#include <map>
#include <string>

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
        {FaultKind::LeavingTarget, {false, R"({"leaving": true})", R"({"leaving": null})"}},
        {FaultKind::PausingTarget, {false, R"({"pause": "1.5", "pauseEvery": 3})", R"({"pause": null, "pauseEvery": null})"}},
        {FaultKind::StoreDown, {true, R"({"down": true})", R"({"down": null})"}},
        {FaultKind::LoseStoreResponses, {true, R"({"loseAnswers": 5})", R"({"loseAnswers": null})"}},
    };
    const auto found = faults.find(kind);
    return found == faults.end() ? nullptr : &found->second;
}

const char *const endOfSilence = R"({"silences": null, "silentAfter": null, "silentMs": null})";

std::string silenceSettings(std::size_t index, bool stream)
{
    constexpr std::size_t minSilence = 800; // ms, as the two below
    constexpr std::size_t silenceStep = 100;
    constexpr std::size_t silenceSteps = 11;
    constexpr std::size_t eventChoices = 4; // events before the silence
    return R"({"silences": 1000000, "silentAfter": )" + std::to_string(stream ? index % eventChoices : 0) + R"(, "silentMs": )"
        + std::to_string(minSilence + index % silenceSteps * silenceStep) + "}";
}

} // namespace snipehill::soak
