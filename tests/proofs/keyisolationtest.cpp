#include "support/callers.h"
#include "support/cluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr milliseconds withdrawalTimeout{4000}; // longest time until a withdrawn key is rejected
const std::vector<std::string> secrets{bureauSecret, kaspiySecret};

ClusterOptions oneService()
{
    ClusterOptions options;
    options.targets = {{.kind = "service", .group = "licences"}};
    return options;
}

/** Sends lookups over one persistent connection until 1000 ms after the withdrawal timeout; marks those after the timeout. */
std::vector<CallerRecord> sendLookupsAfterWithdrawal(Client &client, TimePoint withdrawn)
{
    std::vector<CallerRecord> records;
    while (Clock::now() < withdrawn + withdrawalTimeout + milliseconds(1000)) {
        const bool afterTimeout = Clock::now() > withdrawn + withdrawalTimeout;
        records.push_back(send(client, "bureau", lookupCall("/status/1")));
        records.back().keyWithdrawn = afterTimeout;
        sleepFor(milliseconds(50));
    }
    return records;
}

} // namespace

TEST_CASE("Requests run only for the workspace of their key, and no target receives the key", "[key-isolation]")
{
    Cluster cluster(oneService());
    REQUIRE(cluster.start(defaultRecords()));
    const Endpoint entry = cluster.entries[0].callers;
    std::vector<CallerRecord> records;
    for (const char *workspace : {"bureau", "kaspiy"}) {
        records.push_back(sendOnce(entry, workspace, lookupCall("/status/1")));
        CHECK(records.back().response.status == 200);
        Call spoofed = lookupCall("/status/2");
        spoofed.headers["X-Workspace"] = "other";
        spoofed.headers["Proxy-Authorization"] = std::string(workspace) == "bureau" ? bureauSecret : kaspiySecret;
        records.push_back(sendOnce(entry, workspace, spoofed));
    }
    records.push_back(sendOnce(entry, "", lookupCall("/hours")));
    CHECK(records.back().response.status == 200);
    Call keyOnOpenRoute = lookupCall("/hours");
    records.push_back(sendOnce(entry, "bureau", keyOnOpenRoute));
    records.back().workspace = "";
    const std::size_t ran = eventsOf(cluster.targetJournal(), "run").size();
    CHECK(outcomeOf(sendOnce(entry, "", lookupCall("/status/3")).response) == "rejected");
    Call wrong = lookupCall("/status/3");
    wrong.headers["Authorization"] = "Bearer wrong";
    CHECK(outcomeOf(sendOnce(entry, "", wrong).response) == "rejected");
    CHECK(eventsOf(cluster.targetJournal(), "run").size() == ran);
    CHECK(keysIsolated(records, cluster.targetJournal(), secrets) == noViolations);
}

TEST_CASE("A withdrawn key stops working on a persistent connection", "[key-isolation]")
{
    Cluster cluster(oneService());
    REQUIRE(cluster.start(defaultRecords()));
    Client client(cluster.entries[0].callers);
    CHECK(send(client, "bureau", lookupCall("/status/1")).response.status == 200);
    cluster.withdraw("key", "bureau-key");
    const std::vector<CallerRecord> records = sendLookupsAfterWithdrawal(client, Clock::now());
    CHECK(keysIsolated(records, cluster.targetJournal(), secrets) == noViolations);
    CHECK(outcomeOf(records.back().response) == "rejected");
    CHECK(sendOnce(cluster.entries[0].callers, "kaspiy", lookupCall("/status/1")).response.status == 200);
}

TEST_CASE("A withdrawn key stops working at an entry that cannot reach the log", "[key-isolation]")
{
    Cluster cluster(oneService());
    REQUIRE(cluster.start(defaultRecords()));
    Client client(cluster.entries[0].callers);
    CHECK(send(client, "bureau", lookupCall("/status/1")).response.status == 200);
    cluster.entries[0].logRelay->blackhole(true);
    cluster.withdraw("key", "bureau-key");
    const std::vector<CallerRecord> records = sendLookupsAfterWithdrawal(client, Clock::now());
    CHECK(keysIsolated(records, cluster.targetJournal(), secrets) == noViolations);
}

TEST_CASE("A withdrawn key stops working at an entry that can reach neither the log nor its peers", "[key-isolation]")
{
    Cluster cluster(oneService());
    REQUIRE(cluster.start(defaultRecords()));
    Client client(cluster.entries[0].callers);
    CHECK(send(client, "bureau", lookupCall("/status/1")).response.status == 200);
    cluster.entries[0].logRelay->blackhole(true);
    cluster.entries[0].linkRelay->blackhole(true);
    cluster.entries[1].linkRelay->blackhole(true);
    cluster.sidecars[0].linkRelay->blackhole(true);
    cluster.withdraw("key", "bureau-key");
    std::vector<CallerRecord> records = sendLookupsAfterWithdrawal(client, Clock::now());
    CHECK(keysIsolated(records, cluster.targetJournal(), secrets) == noViolations);
}

TEST_CASE("A withdrawn key does not work at an entry that starts during a log outage", "[key-isolation]")
{
    Cluster cluster(oneService());
    REQUIRE(cluster.start(defaultRecords()));
    const Offset withdrawal = cluster.withdraw("key", "bureau-key");
    REQUIRE(waitUntil([&] {
        return cluster.statusOf(cluster.sidecars[0])["config"]["offset"].asInt64() >= withdrawal;
    }));
    cluster.setFaults(cluster.log, R"({"outage": true})");
    cluster.entries[0].process->kill();
    cluster.startDaemon(cluster.entries[0]);
    REQUIRE(Cluster::waitReady(cluster.entries[0]));
    CallerRecord record = sendOnce(cluster.entries[0].callers, "bureau", lookupCall("/status/1"));
    record.keyWithdrawn = true;
    CHECK(keysIsolated({record}, cluster.targetJournal(), secrets) == noViolations);
    CHECK(waitUntil([&] {
        return sendOnce(cluster.entries[0].callers, "kaspiy", lookupCall("/status/1")).response.status == 200;
    }));
}
