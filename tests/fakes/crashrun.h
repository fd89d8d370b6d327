#pragma once

#include "routingrun.h"

#include <string>
#include <vector>

namespace snipehill::fakes
{

/** Requests that crash every target that runs them, mixed with ordinary traffic. */
struct CrashCase
{
    std::string name;
    std::uint32_t crashingRequests = 1; //!< number of different crashing requests
    std::uint32_t duplicates = 1; //!< of each crashing request
    double gap = 5; //!< seconds between duplicates
    bool suspectHandling = true; //!< false: crash suspects are neither isolated nor blocked, and every crash is retried
    bool manyEntries = true; //!< duplicates arrive at different entries
};

/** Result of a run of a CrashCase. */
struct CrashResult
{
    std::size_t crashingRequests = 0;
    std::uint32_t targetsLost = 0;
    std::size_t bystandersLost = 0; //!< other requests that were admitted and did not finish
    double secondsUntilBlocked = 0; //!< seconds from the first crash until every entry refuses duplicates at once
    double goodput = 0; //!< of the other requests
    double baselineGoodput = 0; //!< goodput of the same traffic without the crashing requests
};

inline std::vector<CrashCase> crashCases()
{
    return {
        {"one request, sent once", 1, 1},
        {"one request, sent 20 times, 5 s apart", 1, 20},
        {"one request, sent 20 times, 0.5 s apart", 1, 20, 0.5},
        {"one request, sent 20 times at once", 1, 20, 0.001},
        {"one request, 20 times at once to one entry", 1, 20, 0.001, true, false},
        {"three requests, each sent 10 times", 3, 10},
        {"no suspect handling, one request sent once", 1, 1, 5, false},
        {"no suspect handling, one request sent 20 times", 1, 20, 5, false},
    };
}

inline std::vector<Arrival> crashingArrivals(const CrashCase &crashCase, std::uint32_t entries)
{
    std::vector<Arrival> arrivals;
    for (std::uint32_t requestIndex = 0; requestIndex < crashCase.crashingRequests; ++requestIndex) {
        for (std::uint32_t duplicate = 0; duplicate < crashCase.duplicates; ++duplicate) {
            Arrival arrival;
            arrival.due = 20 + 15 * requestIndex + duplicate * crashCase.gap;
            arrival.workspace = "bureau";
            arrival.promptTokens = 500;
            arrival.outputTokens = 50;
            arrival.fingerprint = 1000 + requestIndex;
            arrival.crashes = true;
            arrival.entry = crashCase.manyEntries ? duplicate % entries : 0;
            arrivals.push_back(arrival);
        }
    }
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const Arrival &left, const Arrival &right) {
        return left.due < right.due;
    });
    return arrivals;
}

inline CrashResult runCrashCase(const CrashCase &crashCase, RunSettings settings, std::uint64_t seed)
{
    TrafficSettings traffic;
    traffic.requestsPerSecond = 12;
    traffic.until = 150;
    settings.seed = seed;
    if (!crashCase.suspectHandling) {
        settings.crashes.suspectTime = seconds(0);
        settings.crashes.blockTime = seconds(0);
        settings.crashes.probationTime = seconds(0);
    }
    const std::vector<Arrival> ordinary = makeTraffic(traffic, seed);
    const std::vector<Arrival> all = mergeTraffic(ordinary, crashingArrivals(crashCase, settings.entries));
    const RunResult result = RoutingRun(settings, all).run();

    CrashResult crashResult;
    crashResult.crashingRequests = crashCase.crashingRequests;
    crashResult.targetsLost = result.targetsLost;
    crashResult.baselineGoodput = summarise(RoutingRun(settings, ordinary).run().records).goodput;
    std::vector<RequestRecord> others;
    double lastAttempted = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (all[i].crashes) {
            lastAttempted = result.records[i].attempts > 0 ? std::max(lastAttempted, result.records[i].due) : lastAttempted;
        } else {
            others.push_back(result.records[i]);
            const bool answered = result.records[i].end >= 0;
            crashResult.bystandersLost += result.records[i].attempts > 0 && !answered ? 1 : 0;
        }
    }
    const Summary summary = summarise(others);
    crashResult.goodput = summary.goodput;
    crashResult.secondsUntilBlocked = result.firstCrash < 0 ? 0 : std::max(0.0, lastAttempted - result.firstCrash);
    return crashResult;
}

} // namespace snipehill::fakes
