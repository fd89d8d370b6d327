#include "targetfaults.h"

#include "standinfaults.h"

#include <array>

namespace snipehill::soak
{

using namespace support;

namespace
{

constexpr milliseconds faultDelay{250}; // longest time from the injection of a fault until the entries notice it

void applyStandInFault(DirectCluster &host, const Fault &fault, const char *StandInFault::*state)
{
    if (const StandInFault *found = standInFaultFor(fault.kind)) {
        host.setFaults(found->onStore ? "store" : targetOf(fault).id, found->*state);
    }
}

/** Applies the settings to the target of the fault, and for half of the faults to all targets of its group, as a pause of their host would. */
void setSilence(DirectCluster &host, const Fault &fault, const std::string &settings)
{
    const bool wholeGroup = fault.index % 2 == 0;
    for (const DirectTarget &target : soakTargets()) {
        if (target.id == targetOf(fault).id || (wholeGroup && target.group == targetOf(fault).group)) {
            host.setFaults(target.id, settings);
        }
    }
}

/** A response that must reach no caller, and how its connection ends. */
struct BrokenResponse
{
    const char *statusLine;
    const char *fields; //!< with line ends; the rest of the body is missing where the length is too large
    Relay::AfterResponse after;
};

constexpr std::array<BrokenResponse, 7> brokenResponses{{
    {"HTTP/1.1 000 Unknown", "Content-Length: 21\r\n", Relay::AfterResponse::KeepOpen},
    {"HTTP/1.1 101 Switching Protocols", "Content-Length: 21\r\n", Relay::AfterResponse::KeepOpen},
    {"HTTP/1.1 600 Unknown", "Content-Length: 21\r\n", Relay::AfterResponse::KeepOpen},
    {"HTTP/1.1 200 OK", " X-Odd: 1\r\nContent-Length: 21\r\n", Relay::AfterResponse::KeepOpen},
    {"HTTP/1.1 200 OK", "X Odd: 1\r\nContent-Length: 21\r\n", Relay::AfterResponse::KeepOpen},
    {"HTTP/1.1 200 OK", "Content-Length: 100\r\n", Relay::AfterResponse::EndAndReset},
    {"HTTP/1.1 200 OK", "", Relay::AfterResponse::Reset},
}};

/** Lets the relay of the target answer instead of it, on all connections. */
void sendBrokenResponses(DirectCluster &host, const Fault &fault)
{
    const BrokenResponse &broken = brokenResponses.at(fault.index % brokenResponses.size());
    Relay &relay = host.targetRelay(targetOf(fault).id);
    const auto respond = [&broken](const std::string &head) {
        return std::string(broken.statusLine) + "\r\nAttempt-Id: " + headerOf(head, "Attempt-Id") + "\r\nServer-Seal: s\r\nContent-Type: text/plain\r\n"
            + broken.fields + "\r\n" + brokenResponseMark;
    };
    relay.respondWith(respond, broken.after);
    relay.dropConnections();
}

} // namespace

const std::vector<DirectTarget> &soakTargets()
{
    static const std::vector<DirectTarget> targets{{"p1", "plain", ""},
                                                   {"p2", "plain", ""},
                                                   {"p3", "plain", ""},
                                                   {"e1", "engines", "prefill"},
                                                   {"e2", "engines", "decode"},
                                                   {"e3", "engines", "decode"},
                                                   {"e4", "engines", "decode"}};
    return targets;
}

const DirectTarget &targetOf(const Fault &fault)
{
    return soakTargets()[fault.index % soakTargets().size()];
}

CheckInterval noticedFrom(const std::string &subject, double start)
{
    return {subject, start, journalTime(Clock::now() + faultDelay)};
}

void startTargetFault(DirectCluster &host, const Fault &fault, std::vector<CheckInterval> &brokenTargets)
{
    const DirectTarget &target = targetOf(fault);
    const double start = journalTime(Clock::now());
    switch (fault.kind) {
    case FaultKind::KillTarget:
        host.targetProcesses.at(target.id).kill();
        break;
    case FaultKind::PauseTarget:
        host.targetProcesses.at(target.id).pause();
        return;
    case FaultKind::SilentTarget:
        setSilence(host, fault, silenceSettings(fault.index, !target.role.empty()));
        return;
    case FaultKind::DropTargetConnections:
        host.targetRelay(target.id).dropConnections();
        break;
    case FaultKind::SilenceTargetConnections:
        host.targetRelay(target.id).blackholeConnections();
        break;
    case FaultKind::CutTarget:
        host.targetRelay(target.id).blackhole(true);
        break;
    case FaultKind::DelayTarget:
        host.targetRelay(target.id).setDelay((fault.end - fault.start) / 10);
        return;
    case FaultKind::BrokenResponses:
        sendBrokenResponses(host, fault);
        break;
    default:
        applyStandInFault(host, fault, &StandInFault::startSettings);
        return;
    }
    brokenTargets.push_back(noticedFrom(target.id, start));
}

void endTargetFault(DirectCluster &host, const Fault &fault)
{
    const DirectTarget &target = targetOf(fault);
    switch (fault.kind) {
    case FaultKind::KillTarget:
        if (!host.targetProcesses.at(target.id).running()) {
            host.restartTarget(target.id);
        }
        break;
    case FaultKind::PauseTarget:
        host.targetProcesses.at(target.id).resume();
        break;
    case FaultKind::SilentTarget:
        setSilence(host, fault, endOfSilence);
        break;
    case FaultKind::CutTarget:
        host.targetRelay(target.id).blackhole(false);
        break;
    case FaultKind::DelayTarget:
        host.targetRelay(target.id).setDelay(milliseconds(0));
        break;
    case FaultKind::BrokenResponses:
        host.targetRelay(target.id).respondWith({});
        break;
    default:
        applyStandInFault(host, fault, &StandInFault::endSettings);
        break;
    }
}

} // namespace snipehill::soak
