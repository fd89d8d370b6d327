#pragma once

#include "fakeengine.h"
#include "stats.h"

#include <request/admission.h>
#include <request/crashsuspects.h>
#include <request/duplicaterequests.h>
#include <request/fairqueue.h>
#include <request/prefixindex.h>
#include <request/retrybudget.h>
#include <request/targetchoice.h>

#include <cstdint>
#include <string>
#include <vector>

namespace snipehill::fakes
{

/** How an entry chooses a target. */
enum class Policy {
    Random,
    RoundRobin,
    LeastOutstanding,
    Predicted,
};

/** Settings of a run of entries and sidecars over fake engines. */
struct RunSettings
{
    Policy policy = Policy::Predicted;
    ChoiceSettings choice;
    FairQueueSettings queue{.slots = 16};
    FakeEngineSettings engine;
    AdmissionSettings admission;
    RetryBudgetSettings retries;
    CrashSettings crashes;
    Workspace limits; //!< of every workspace
    std::vector<TargetMember> members; //!< empty: generated from targets and domains
    std::uint32_t targets = 10;
    std::uint32_t domains = 4;
    std::uint32_t slowTargets = 4; //!< the first targets run at slowSpeed, as older hardware does
    double slowSpeed = 0.6;
    std::uint32_t entries = 4;
    std::size_t subset = 64;
    bool fairQueue = true; //!< false: first come, first served
    bool prefixIndex = true;
    bool deadlineAdmission = true;
    bool colocateDuplicates = true; //!< a duplicate of a request in flight goes to the same target
    bool piggybackReports = true; //!< false: entries only get the periodic reports
    double reportEvery = 2; //!< seconds between periodic reports
    double deadline = 30; //!< seconds from the due time
    double restartSeconds = 20; //!< of a crashed engine
    std::uint64_t seed = 1;
};

/** A target and its sidecar. */
struct FakeTarget
{
    FakeEngine engine;
    FairQueue queue;
    CrashSuspects suspects;
    std::vector<QueuedRequest> onEngine;
    StepResult pending;
    bool stepping = false;
    bool down = false;
    std::uint64_t cacheEpoch = 0;
};

/** State of an entry. */
struct FakeEntry
{
    std::vector<TargetView> views; //!< of its subset
    std::vector<std::uint32_t> inFlight; //!< requests of this entry, by view
    PrefixIndex prefixes;
    Admission admission;
    RetryBudget retries;
    CrashSuspects suspects;
    DuplicateRequests duplicates;
    std::uint64_t roundRobinNext = 0;
};

/** Result of a run. */
struct RunResult
{
    std::vector<RequestRecord> records; //!< in the order of arrivals
    std::uint64_t prefilledTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint32_t targetsLost = 0;
    double firstCrash = -1; //!< seconds, -1: none
    std::uint32_t retriesRefused = 0; //!< by the retry budget
    std::uint64_t attempts = 0;
};

} // namespace snipehill::fakes
