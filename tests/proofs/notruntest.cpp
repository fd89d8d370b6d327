#include "support/callers.h"
#include "support/cluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr int faultCount = 24;

ClusterOptions mixedFleet()
{
    ClusterOptions options;
    Json::Value rates;
    rates["decodeRate"] = 200;
    options.targets = {{.kind = "service", .group = "licences"},
                       {.kind = "service", .group = "licences", .failureDomain = "fd-b"},
                       {.faults = rates},
                       {.failureDomain = "fd-b", .faults = rates}};
    options.settings = R"({"timings": {"instancesPollMs": 200}, "link": {"heartbeatMs": 300}})";
    return options;
}

ClosedLoopCallers::PlannedCall randomCall(const Cluster &cluster, unsigned seed, int caller, int round)
{
    std::minstd_rand random(seed + static_cast<unsigned>(caller * 100000 + round));
    const std::string id = std::to_string(caller) + "-" + std::to_string(round);
    const Endpoint entry = cluster.entries[random() % 2].callers;
    switch (caller % 3) {
    case 0:
        return {entry, "bureau", chatCall("file " + id, 30 + static_cast<int>(random() % 60))};
    case 1:
        return {entry, "kaspiy", postingCall("/fees/" + id + "?lateMs=" + std::to_string(random() % 150), "fee-" + id, "{}")};
    default:
        return {entry, "bureau", lookupCall("/status/" + id + "?lateMs=" + std::to_string(random() % 50))};
    }
}

/** Injects a transient fault of the given kind (0 to 7) at the sidecar or target with this index. */
void injectFault(Cluster &cluster, unsigned kind, std::size_t number)
{
    Daemon &sidecar = cluster.sidecars[number];
    switch (kind) {
    case 0:
        sidecar.linkRelay->dropConnections();
        break;
    case 1:
        sidecar.linkRelay->blackholeConnections();
        break;
    case 2:
        sidecar.targetRelay->dropConnections();
        break;
    case 3:
        sidecar.process->kill();
        cluster.startDaemon(sidecar);
        break;
    case 4:
        cluster.targets[number].process->kill();
        cluster.startStandIn(cluster.targets[number]);
        break;
    case 5:
        sidecar.process->pause();
        sleepFor(milliseconds(1000));
        sidecar.process->resume();
        break;
    case 6:
        cluster.setFaults(cluster.log, R"({"outage": true})");
        sleepFor(milliseconds(800));
        cluster.setFaults(cluster.log, R"({"outage": false})");
        break;
    default:
        cluster.setFaults(cluster.log, R"({"intents.answerLost": 2})");
        break;
    }
}

} // namespace

TEST_CASE("Under many faults refused requests have not run, postings run once and responses are complete", "[not-run][at-most-once][whole-answer]")
{
    constexpr unsigned seed = 4711;
    INFO("seed " << seed);
    Cluster cluster(mixedFleet());
    REQUIRE(cluster.start(defaultRecords()));
    ClosedLoopCallers callers(9, [&](int caller, int round) {
        return randomCall(cluster, seed, caller, round);
    });
    std::minstd_rand random(seed);
    for (int fault = 0; fault < faultCount; ++fault) {
        sleepFor(milliseconds(300));
        const unsigned kind = static_cast<unsigned>(random() % 8);
        injectFault(cluster, kind, random() % cluster.sidecars.size());
    }
    sleepFor(milliseconds(1000));
    const std::vector<CallerRecord> records = callers.stop();
    std::map<std::string, int> outcomes;
    for (const CallerRecord &record : records) {
        const std::string outcome = outcomeOf(record.response);
        ++outcomes[outcome.empty() ? std::to_string(record.response.status) : outcome];
    }
    for (const auto &[outcome, count] : outcomes) {
        WARN(outcome << ": " << count);
    }
    const Journal journal = cluster.targetJournal();
    CHECK(refusedRequestsDidNotRun(records, journal) == noViolations);
    CHECK(noRequestRunTwice(journal, "/fees") == noViolations);
    CHECK(responsesComplete(records) == noViolations);
    CHECK(keysIsolated(records, journal, {bureauSecret, kaspiySecret}) == noViolations);
    CHECK(outcomes["200"] > 0);
}
