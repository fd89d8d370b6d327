#include "support/callers.h"
#include "support/cluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr milliseconds resendTimeout{15000};
const std::string path = "/fees/4711";
const std::string slowPath = "/fees/4711?lateMs=1500"; //!< runs immediately, responds after 1500 ms

ClusterOptions twoServices()
{
    ClusterOptions options;
    options.targets = {{.kind = "service", .group = "licences"}, {.kind = "service", .group = "licences", .failureDomain = "fd-b"}};
    options.settings = R"({"timings": {"instancesPollMs": 200}, "link": {"heartbeatMs": 300}})";
    return options;
}

/** Index of the target that ran the first posting; empty before a target has run one. */
std::optional<std::size_t> targetOfFirstRun(const Cluster &cluster)
{
    for (std::size_t number = 0; number < cluster.targets.size(); ++number) {
        if (!eventsOf(cluster.journalOf(cluster.targets[number]), "run").empty()) {
            return number;
        }
    }
    return std::nullopt;
}

void checkAtMostOnce(const Cluster &cluster, const std::vector<CallerRecord> &callers)
{
    CHECK(noRequestRunTwice(cluster.targetJournal(), "/fees") == noViolations);
    CHECK(refusedRequestsDidNotRun(callers, cluster.targetJournal()) == noViolations);
    CHECK(responsesComplete(callers) == noViolations);
}

struct Fault
{
    const char *what;
    std::function<void(Cluster &, std::size_t)> inject; //!< called with the target index while the first request runs there
    std::function<void(Cluster &, std::size_t)> revert;
    bool firstMayBeLost = false;
};

void noAction(Cluster & /*cluster*/, std::size_t /*number*/) { }

const std::vector<Fault> faults{
    {"while the first request runs", noAction, noAction},
    {"after its entry was killed",
     [](Cluster &cluster, std::size_t) {
         cluster.entries[0].process->kill();
     },
     noAction,
     true},
    {"after the sidecar was killed",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].process->kill();
     },
     noAction},
    {"after the sidecar was killed and restarted",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].process->kill();
         cluster.startDaemon(cluster.sidecars[number]);
     },
     noAction},
    {"after the target was killed",
     [](Cluster &cluster, std::size_t number) {
         cluster.targets[number].process->kill();
     },
     noAction},
    {"after the connection to the target was closed",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].targetRelay->dropConnections();
     },
     noAction},
    {"after the links to the sidecar were closed",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].linkRelay->dropConnections();
     },
     noAction},
    {"after the links to the sidecar stopped carrying data",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].linkRelay->blackholeConnections();
     },
     noAction},
    {"while the sidecar is paused",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].process->pause();
     },
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].process->resume();
     }},
    {"during an outage of the log",
     [](Cluster &cluster, std::size_t) {
         cluster.setFaults(cluster.log, R"({"outage": true})");
     },
     [](Cluster &cluster, std::size_t) {
         cluster.setFaults(cluster.log, R"({"outage": false})");
     }},
    {"after entry and sidecar were killed",
     [](Cluster &cluster, std::size_t number) {
         cluster.entries[0].process->kill();
         cluster.sidecars[number].process->kill();
     },
     noAction,
     true},
};

} // namespace

TEST_CASE("A posting resent through another entry runs at most once", "[at-most-once]")
{
    for (const Fault &fault : faults) {
        DYNAMIC_SECTION(fault.what)
        {
            Cluster cluster(twoServices());
            REQUIRE(cluster.start(defaultRecords()));
            const Call call = postingCall(slowPath, "fee-1", "{\"fee\": 25}");
            auto first = sendInBackground(cluster.entries[0].callers, "bureau", call);
            REQUIRE(waitUntil([&] {
                return targetOfFirstRun(cluster).has_value();
            }));
            const std::size_t number = *targetOfFirstRun(cluster);
            fault.inject(cluster, number);
            std::vector<CallerRecord> callers{sendOnce(cluster.entries[1].callers, "bureau", call)};
            fault.revert(cluster, number);
            const std::vector<CallerRecord> resentRecords = sendUntilServed(cluster.entries[1].callers, "bureau", call, resendTimeout);
            callers.insert(callers.end(), resentRecords.begin(), resentRecords.end());
            CHECK(outcomeOf(callers.back().response) != "not_run");
            CallerRecord firstRecord = first.get();
            firstRecord.mayBeLost = fault.firstMayBeLost;
            callers.push_back(firstRecord);
            checkAtMostOnce(cluster, callers);
            CHECK(eventsOf(cluster.targetJournal(), "run").size() == 1);
        }
    }
}

TEST_CASE("A posting resent after its completion gets the same response", "[at-most-once]")
{
    Cluster cluster(twoServices());
    REQUIRE(cluster.start(defaultRecords()));
    const Call call = postingCall(path, "fee-1", "{\"fee\": 25}");
    std::vector<CallerRecord> callers{sendOnce(cluster.entries[0].callers, "bureau", call)};
    REQUIRE(callers[0].response.status == 200);
    callers.push_back(sendOnce(cluster.entries[1].callers, "bureau", call));
    CHECK(callers[1].response.status == 200);
    CHECK(callers[1].response.body == callers[0].response.body);

    cluster.sidecars[targetOfFirstRun(cluster).value()].process->kill();
    const std::vector<CallerRecord> resentRecords = sendUntilServed(cluster.entries[1].callers, "bureau", call, resendTimeout);
    callers.insert(callers.end(), resentRecords.begin(), resentRecords.end());
    CHECK(outcomeOf(callers.back().response) != "not_run");
    checkAtMostOnce(cluster, callers);

    callers = {sendOnce(cluster.entries[0].callers, "kaspiy", call)};
    CHECK(callers[0].response.status == 200);
    checkAtMostOnce(cluster, callers);
    CHECK(eventsOf(cluster.targetJournal(), "run").size() == 2);
}

TEST_CASE("A posting runs at most once although the log is down or loses responses", "[at-most-once]")
{
    Cluster cluster(twoServices());
    REQUIRE(cluster.start(defaultRecords()));
    cluster.setFaults(cluster.log, R"({"intents.answerLost": 1})");
    std::vector<CallerRecord> callers = sendUntilServed(cluster.entries[0].callers, "bureau", postingCall(path, "fee-1", "{}"), resendTimeout);
    CHECK(callers.back().response.status == 200);

    cluster.setFaults(cluster.log, R"({"outage": true})");
    callers.push_back(sendOnce(cluster.entries[0].callers, "bureau", postingCall(path, "fee-2", "{}")));
    CHECK(outcomeOf(callers.back().response) == "not_run");
    CHECK(callers.back().response.headers.contains("retry-after"));
    cluster.setFaults(cluster.log, R"({"outage": false})");
    const std::vector<CallerRecord> resentRecords = sendUntilServed(cluster.entries[1].callers, "bureau", postingCall(path, "fee-2", "{}"), resendTimeout);
    callers.insert(callers.end(), resentRecords.begin(), resentRecords.end());
    CHECK(callers.back().response.status == 200);
    checkAtMostOnce(cluster, callers);
    CHECK(eventsOf(cluster.targetJournal(), "run").size() == 2);
}

TEST_CASE("A posting that crashes its target is not run again", "[at-most-once]")
{
    Cluster cluster(twoServices());
    REQUIRE(cluster.start(defaultRecords()));
    const Call call = postingCall(path, "fee-1", "DIE-AFTER");
    std::vector<CallerRecord> callers{sendOnce(cluster.entries[0].callers, "bureau", call)};
    CHECK(outcomeOf(callers[0].response) == "outcome_unknown");
    callers.push_back(sendOnce(cluster.entries[1].callers, "bureau", call));
    checkAtMostOnce(cluster, callers);
    CHECK(eventsOf(cluster.targetJournal(), "received").size() == 1);
}

TEST_CASE("A posting sent through both entries at once runs once", "[at-most-once]")
{
    constexpr int postings = 40;
    Cluster cluster(twoServices());
    REQUIRE(cluster.start(defaultRecords()));
    std::vector<CallerRecord> callers;
    for (int posting = 0; posting < postings; ++posting) {
        const Call call = postingCall("/fees/" + std::to_string(posting), "fee-" + std::to_string(posting), "{}");
        auto one = sendInBackground(cluster.entries[0].callers, "bureau", call);
        auto other = sendInBackground(cluster.entries[1].callers, "bureau", call);
        callers.push_back(one.get());
        callers.push_back(other.get());
    }
    const auto served = std::count_if(callers.begin(), callers.end(), [](const CallerRecord &caller) {
        return caller.response.status == 200;
    });
    WARN(served << " of " << 2 * postings << " calls got the target's response");
    checkAtMostOnce(cluster, callers);
    CHECK(eventsOf(cluster.targetJournal(), "run").size() == postings);
}
