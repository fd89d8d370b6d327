#include "support/callers.h"
#include "support/cluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr milliseconds drainNoticeTimeout{4000}; // a leaving target gets no new work after this time

ClusterOptions mixedTargets()
{
    ClusterOptions options;
    Json::Value faults;
    faults["decodeRate"] = 100;
    options.targets = {{.kind = "service", .group = "licences"},
                       {.kind = "service", .group = "licences", .failureDomain = "fd-b"},
                       {.faults = faults},
                       {.failureDomain = "fd-b", .faults = faults}};
    options.settings = R"({"timings": {"instancesPollMs": 200}, "link": {"heartbeatMs": 300},
                           "drain": {"balancerDelayMs": 500, "boundMs": 20000}})";
    return options;
}

ClosedLoopCallers::PlannedCall mixedCall(const Cluster &cluster, int caller, int round)
{
    const std::string id = std::to_string(caller) + "-" + std::to_string(round);
    const Endpoint entry = cluster.entries[static_cast<std::size_t>(caller % 2)].callers;
    if (caller % 4 == 3) {
        return {entry, "bureau", chatCall("question " + id, 40)};
    }
    if (caller % 4 == 2) {
        return {entry, "kaspiy", postingCall("/fees/" + id + "?lateMs=200", "fee-" + id, "{}")};
    }
    sleepFor(milliseconds(5));
    return {entry, "bureau", lookupCall("/status/" + id)};
}

/** Describes each call without a complete response with status 200. */
Violations unservedRequests(const std::vector<CallerRecord> &records)
{
    Violations violations;
    for (const CallerRecord &record : records) {
        if (!record.response.complete || record.response.status != 200) {
            violations.push_back(record.call.target + ": " + std::to_string(record.response.status) + " " + record.response.error + record.response.body);
        }
    }
    return violations;
}

} // namespace

TEST_CASE("A target listed as leaving gets no new work, and no request is interrupted", "[leaving]")
{
    Cluster cluster(mixedTargets());
    REQUIRE(cluster.start(defaultRecords()));
    ClosedLoopCallers callers(8, [&](int caller, int round) {
        return mixedCall(cluster, caller, round);
    });
    sleepFor(milliseconds(1000));
    cluster.sidecars[0].instanceEntry["state"] = "leaving";
    cluster.sidecars[2].instanceEntry["state"] = "leaving";
    cluster.publishInstances();
    const TimePoint leavingSince = Clock::now();
    sleepFor(drainNoticeTimeout + milliseconds(1500));
    const std::vector<CallerRecord> records = callers.stop();
    const Journal journal = cluster.targetJournal();
    CHECK(drainingTargetGetsNoNewWork(journal, "target-1", leavingSince, drainNoticeTimeout) == noViolations);
    CHECK(drainingTargetGetsNoNewWork(journal, "target-3", leavingSince, drainNoticeTimeout) == noViolations);
    CHECK(responsesComplete(records) == noViolations);
    CHECK(unservedRequests(records) == noViolations);
}

TEST_CASE("A sidecar that got SIGTERM gets no new work although the instance list still contains it", "[leaving]")
{
    Cluster cluster(mixedTargets());
    REQUIRE(cluster.start(defaultRecords()));
    ClosedLoopCallers callers(8, [&](int caller, int round) {
        return mixedCall(cluster, caller, round);
    });
    sleepFor(milliseconds(1000));
    cluster.sidecars[0].process->signal(SIGTERM);
    cluster.sidecars[2].process->signal(SIGTERM);
    const TimePoint leavingSince = Clock::now();
    sleepFor(drainNoticeTimeout + milliseconds(500));
    const std::vector<CallerRecord> records = callers.stop();
    const Journal journal = cluster.targetJournal();
    CHECK(drainingTargetGetsNoNewWork(journal, "target-1", leavingSince, drainNoticeTimeout) == noViolations);
    CHECK(drainingTargetGetsNoNewWork(journal, "target-3", leavingSince, drainNoticeTimeout) == noViolations);
    CHECK(responsesComplete(records) == noViolations);
    CHECK(refusedRequestsDidNotRun(records, journal) == noViolations);
    CHECK(noRequestRunTwice(journal, "/fees") == noViolations);
    CHECK(unservedRequests(records) == noViolations);
}

TEST_CASE("Processes that got SIGTERM interrupt no request", "[graceful-shutdown]")
{
    struct Case
    {
        const char *what;
        bool entry;
        bool sidecars;
    };
    for (const Case &c : {Case{"an entry", true, false}, Case{"two sidecars", false, true}, Case{"an entry and two sidecars", true, true}}) {
        DYNAMIC_SECTION(c.what)
        {
            Cluster cluster(mixedTargets());
            REQUIRE(cluster.start(defaultRecords()));
            std::vector<std::future<CallerRecord>> running;
            for (int number = 0; number < 6; ++number) {
                const std::string id = std::to_string(number);
                running.push_back(sendInBackground(cluster.entries[0].callers, "bureau", chatCall("long file " + id, 200)));
                running.push_back(sendInBackground(cluster.entries[0].callers, "kaspiy", postingCall("/fees/" + id + "?lateMs=1500", "fee-" + id, "{}")));
            }
            REQUIRE(waitUntil([&] {
                return eventsOf(cluster.targetJournal(), "received").size() == running.size();
            }));
            std::vector<Daemon *> terminated;
            if (c.entry) {
                terminated.push_back(&cluster.entries[0]);
            }
            if (c.sidecars) {
                terminated.push_back(&cluster.sidecars[0]);
                terminated.push_back(&cluster.sidecars[2]);
            }
            for (Daemon *daemon : terminated) {
                daemon->process->signal(SIGTERM);
            }
            if (c.entry) {
                CHECK(waitUntil([&] {
                    return !Cluster::ready(cluster.entries[0]);
                }));
                // The load balancer has not noticed yet, so new requests must still be served.
                running.push_back(sendInBackground(cluster.entries[0].callers, "bureau", lookupCall("/status/late")));
            }
            std::vector<CallerRecord> records;
            records.reserve(running.size());
            for (std::future<CallerRecord> &record : running) {
                records.push_back(record.get());
            }
            CHECK(responsesComplete(records) == noViolations);
            CHECK(unservedRequests(records) == noViolations);
            CHECK(noRequestRunTwice(cluster.targetJournal(), "/fees") == noViolations);
            for (Daemon *daemon : terminated) {
                INFO(daemon->name);
                CHECK(daemon->process->waitForExit(defaultWaitTimeout) == 0);
            }
        }
    }
}
