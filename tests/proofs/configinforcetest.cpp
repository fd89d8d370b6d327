#include "support/callers.h"
#include "support/cluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <set>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr milliseconds activationTimeout{4000}; // longest time until a published record is in force in every process

ClusterOptions smallFleet()
{
    ClusterOptions options;
    options.targets = {{.kind = "service", .group = "licences"}, {.kind = "service", .group = "licences", .failureDomain = "fd-b"}};
    return options;
}

/** Polls the config offset of all processes for the given duration. */
std::vector<ConfigObservation> observeConfigOffsets(const Cluster &cluster, milliseconds duration)
{
    std::vector<ConfigObservation> observations;
    const TimePoint end = Clock::now() + duration;
    while (Clock::now() < end) {
        for (const std::vector<Daemon> *daemons : {&cluster.entries, &cluster.sidecars}) {
            for (const Daemon &daemon : *daemons) {
                const Json::Value status = cluster.statusOf(daemon);
                if (status.isObject()) {
                    observations.push_back({daemon.name, Clock::now(), status["config"]["offset"].asInt64()});
                }
            }
        }
        sleepFor(milliseconds(50));
    }
    return observations;
}

/** Distinct digests of the configuration over all processes. */
std::set<std::string> digestsOf(const Cluster &cluster)
{
    std::set<std::string> digests;
    for (const std::vector<Daemon> *daemons : {&cluster.entries, &cluster.sidecars}) {
        for (const Daemon &daemon : *daemons) {
            digests.insert(cluster.statusOf(daemon)["config"]["digest"].asString());
        }
    }
    return digests;
}

} // namespace

TEST_CASE("A published record is in force in every process within the activation timeout", "[config-in-force]")
{
    struct Case
    {
        const char *what;
        std::function<void(Cluster &)> fault;
    };
    const std::vector<Case> cases{
        {"no fault", [](Cluster &) {}},
        {"an entry and a sidecar cannot reach the log",
         [](Cluster &cluster) {
             cluster.entries[0].logRelay->blackhole(true);
             cluster.sidecars[1].logRelay->blackhole(true);
         }},
        {"connections to the log stop carrying data",
         [](Cluster &cluster) {
             for (std::vector<Daemon> *daemons : {&cluster.entries, &cluster.sidecars}) {
                 for (Daemon &daemon : *daemons) {
                     daemon.logRelay->blackholeConnections();
                 }
             }
         }},
    };
    for (const Case &c : cases) {
        DYNAMIC_SECTION(c.what)
        {
            Cluster cluster(smallFleet());
            REQUIRE(cluster.start(defaultRecords()));
            c.fault(cluster);
            const TimePoint published = Clock::now();
            const Offset offset = cluster.publish({routeRecord("new", "/new", "licences", R"({"idempotent": true, "deadlineMs": 5000})")});
            const std::vector<ConfigObservation> observations = observeConfigOffsets(cluster, activationTimeout + milliseconds(200));
            CHECK(configAppliedWithin(observations, offset, published, activationTimeout) == noViolations);
            CHECK(configNeverReverts(observations) == noViolations);
            for (const Daemon &entry : cluster.entries) {
                CHECK(sendOnce(entry.callers, "bureau", lookupCall("/new/1")).response.status == 200);
            }
        }
    }
}

TEST_CASE("Every process resolves conflicting records of two operators in the same way", "[config-in-force]")
{
    Cluster cluster(smallFleet());
    REQUIRE(cluster.start(defaultRecords()));
    const Offset replacedOffset = cluster.offsetOf("route", "status");
    Json::Value first = routeRecord("status", "/first", "licences", R"({"idempotent": true, "deadlineMs": 5000})");
    Json::Value second = routeRecord("status", "/second", "licences", R"({"idempotent": true, "deadlineMs": 5000})");
    first["replaces"] = Json::Int64(replacedOffset);
    second["replaces"] = Json::Int64(replacedOffset);
    Json::Value unknownSchema = routeRecord("future", "/future", "licences", R"({"idempotent": true, "deadlineMs": 5000, "novelty": 1})");
    unknownSchema["schemaVersion"] = 9;
    Json::Value broken = routeRecord("broken", "/broken", "nowhere", R"({"idempotent": true, "deadlineMs": 5000})");
    const Offset last = cluster.publish({first, second, unknownSchema, broken}) + 3;
    const std::vector<ConfigObservation> observations = observeConfigOffsets(cluster, activationTimeout);
    CHECK(configAppliedWithin(observations, last, Clock::now(), milliseconds(0)) == noViolations);
    CHECK(digestsOf(cluster).size() == 1);
    for (const Daemon &entry : cluster.entries) {
        CHECK(sendOnce(entry.callers, "bureau", lookupCall("/first/1")).response.status == 200);
        CHECK(sendOnce(entry.callers, "bureau", lookupCall("/second/1")).response.status == 404);
        CHECK(sendOnce(entry.callers, "bureau", lookupCall("/status/1")).response.status == 404);
        CHECK(sendOnce(entry.callers, "bureau", lookupCall("/broken/1")).response.status == 404);
    }
}

TEST_CASE("Configuration never reverts across restarts, log outages and deletion of old records", "[config-in-force]")
{
    Cluster cluster(smallFleet());
    REQUIRE(cluster.start(defaultRecords()));
    const Offset offset = cluster.publish({routeRecord("new", "/new", "licences", R"({"idempotent": true, "deadlineMs": 5000})")});
    std::vector<ConfigObservation> observations = observeConfigOffsets(cluster, activationTimeout);
    CHECK(configAppliedWithin(observations, offset, Clock::now(), milliseconds(0)) == noViolations);

    // A process that starts during a log outage takes the configuration of its peers.
    cluster.setFaults(cluster.log, R"({"outage": true})");
    cluster.entries[0].process->kill();
    cluster.sidecars[0].process->kill();
    cluster.startDaemon(cluster.entries[0]);
    cluster.startDaemon(cluster.sidecars[0]);
    CHECK(Cluster::waitReady(cluster.entries[0]));
    CHECK(Cluster::waitReady(cluster.sidecars[0]));
    CHECK(cluster.statusOf(cluster.entries[0])["config"]["offset"].asInt64() >= offset);

    // The log becomes available again without the old records.
    callOnce(cluster.log.control, postJson("/retain", parseJson(R"({"stream": "config", "from": 3})").value()));
    cluster.setFaults(cluster.log, R"({"outage": false})");
    observations = observeConfigOffsets(cluster, milliseconds(2000));
    CHECK(configNeverReverts(observations) == noViolations);
    CHECK(digestsOf(cluster).size() == 1);
    CHECK(waitUntil([&] {
        return sendOnce(cluster.entries[0].callers, "bureau", lookupCall("/new/1")).response.status == 200;
    }));
}
