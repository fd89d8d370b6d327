#include "support/callers.h"
#include "support/cluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr milliseconds repeatBound{15000};
const std::string path = "/fees/4711";
const std::string slowPath = "/fees/4711?lateMs=1500"; //!< runs at once, answers late

ClusterOptions twoServices()
{
    ClusterOptions options;
    options.targets = {{.kind = "service", .group = "licences"}, {.kind = "service", .group = "licences", .failureDomain = "fd-b"}};
    options.settings = R"({"timings": {"instancesPollMs": 200}, "link": {"heartbeatMs": 300}})";
    return options;
}

/** Number of the target that ran the first posting. */
std::optional<std::size_t> ranOn(const Cluster &cluster)
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
    std::function<void(Cluster &, std::size_t)> act; //!< while the first runs on the target of this number
    std::function<void(Cluster &, std::size_t)> undo;
    bool firstMayBeLost = false;
};

void nothing(Cluster & /*cluster*/, std::size_t /*number*/) { }

const std::vector<Fault> faults{
    {"while the first runs", nothing, nothing},
    {"after its entry died",
     [](Cluster &cluster, std::size_t) {
         cluster.entries[0].process->kill();
     },
     nothing,
     true},
    {"after the sidecar died",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].process->kill();
     },
     nothing},
    {"after the sidecar died and came back",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].process->kill();
         cluster.startDaemon(cluster.sidecars[number]);
     },
     nothing},
    {"after the target died",
     [](Cluster &cluster, std::size_t number) {
         cluster.targets[number].process->kill();
     },
     nothing},
    {"after the connection to the target dropped",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].targetRelay->dropConnections();
     },
     nothing},
    {"after the links to the sidecar dropped",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].linkRelay->dropConnections();
     },
     nothing},
    {"after the links to the sidecar went silent",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].linkRelay->blackholeConnections();
     },
     nothing},
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
    {"after entry and sidecar died",
     [](Cluster &cluster, std::size_t number) {
         cluster.entries[0].process->kill();
         cluster.sidecars[number].process->kill();
     },
     nothing,
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
                return ranOn(cluster).has_value();
            }));
            const std::size_t number = *ranOn(cluster);
            fault.act(cluster, number);
            std::vector<CallerRecord> callers{sendOnce(cluster.entries[1].callers, "bureau", call)};
            fault.undo(cluster, number);
            const std::vector<CallerRecord> more = sendUntilServed(cluster.entries[1].callers, "bureau", call, repeatBound);
            callers.insert(callers.end(), more.begin(), more.end());
            CHECK(outcomeOf(callers.back().response) != "not_run");
            CallerRecord firstRecord = first.get();
            firstRecord.mayBeLost = fault.firstMayBeLost;
            callers.push_back(firstRecord);
            checkAtMostOnce(cluster, callers);
            CHECK(eventsOf(cluster.targetJournal(), "run").size() == 1);
        }
    }
}

TEST_CASE("A posting resent after its end gets the same answer", "[at-most-once]")
{
    Cluster cluster(twoServices());
    REQUIRE(cluster.start(defaultRecords()));
    const Call call = postingCall(path, "fee-1", "{\"fee\": 25}");
    std::vector<CallerRecord> callers{sendOnce(cluster.entries[0].callers, "bureau", call)};
    REQUIRE(callers[0].response.status == 200);
    callers.push_back(sendOnce(cluster.entries[1].callers, "bureau", call));
    CHECK(callers[1].response.status == 200);
    CHECK(callers[1].response.body == callers[0].response.body);

    cluster.sidecars[ranOn(cluster).value()].process->kill();
    const std::vector<CallerRecord> more = sendUntilServed(cluster.entries[1].callers, "bureau", call, repeatBound);
    callers.insert(callers.end(), more.begin(), more.end());
    CHECK(outcomeOf(callers.back().response) != "not_run");
    checkAtMostOnce(cluster, callers);

    callers = {sendOnce(cluster.entries[0].callers, "kaspiy", call)};
    CHECK(callers[0].response.status == 200);
    checkAtMostOnce(cluster, callers);
    CHECK(eventsOf(cluster.targetJournal(), "run").size() == 2);
}

TEST_CASE("A posting runs at most once although the log is down or loses answers", "[at-most-once]")
{
    Cluster cluster(twoServices());
    REQUIRE(cluster.start(defaultRecords()));
    cluster.setFaults(cluster.log, R"({"intents.answerLost": 1})");
    std::vector<CallerRecord> callers = sendUntilServed(cluster.entries[0].callers, "bureau", postingCall(path, "fee-1", "{}"), repeatBound);
    CHECK(callers.back().response.status == 200);

    cluster.setFaults(cluster.log, R"({"outage": true})");
    callers.push_back(sendOnce(cluster.entries[0].callers, "bureau", postingCall(path, "fee-2", "{}")));
    CHECK(outcomeOf(callers.back().response) == "not_run");
    CHECK(callers.back().response.headers.contains("retry-after"));
    cluster.setFaults(cluster.log, R"({"outage": false})");
    const std::vector<CallerRecord> more = sendUntilServed(cluster.entries[1].callers, "bureau", postingCall(path, "fee-2", "{}"), repeatBound);
    callers.insert(callers.end(), more.begin(), more.end());
    CHECK(callers.back().response.status == 200);
    checkAtMostOnce(cluster, callers);
    CHECK(eventsOf(cluster.targetJournal(), "run").size() == 2);
}

TEST_CASE("A posting that kills its target is not run again", "[at-most-once]")
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
    WARN(served << " of " << 2 * postings << " calls got the answer itself");
    checkAtMostOnce(cluster, callers);
    CHECK(eventsOf(cluster.targetJournal(), "run").size() == postings);
}
