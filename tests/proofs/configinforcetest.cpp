#include "support/callers.h"
#include "support/cluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <set>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr milliseconds bound{4000}; //!< "within seconds"

ClusterOptions smallFleet()
{
    ClusterOptions options;
    options.targets = {{.kind = "service", .group = "licences"}, {.kind = "service", .group = "licences", .failureDomain = "fd-b"}};
    return options;
}

/** Asks all processes for their config version, over and over, for a time. */
std::vector<ConfigObservation> observe(const Cluster &cluster, milliseconds time)
{
    std::vector<ConfigObservation> seen;
    const TimePoint end = Clock::now() + time;
    while (Clock::now() < end) {
        for (const std::vector<Daemon> *daemons : {&cluster.entries, &cluster.sidecars}) {
            for (const Daemon &daemon : *daemons) {
                const Json::Value status = cluster.statusOf(daemon);
                if (status.isObject()) {
                    seen.push_back({daemon.name, Clock::now(), status["config"]["offset"].asInt64()});
                }
            }
        }
        sleepFor(milliseconds(50));
    }
    return seen;
}

/** Digests of the config versions of all processes that are at this offset. */
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

TEST_CASE("A published record is in force everywhere within the bound", "[config-in-force]")
{
    struct Case
    {
        const char *what;
        std::function<void(Cluster &)> fault;
    };
    const std::vector<Case> cases{
        {"no fault", [](Cluster &) {}},
        {"an entry and a sidecar cut from the log",
         [](Cluster &cluster) {
             cluster.entries[0].logRelay->blackhole(true);
             cluster.sidecars[1].logRelay->blackhole(true);
         }},
        {"connections to the log silent",
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
            const std::vector<ConfigObservation> seen = observe(cluster, bound + milliseconds(200));
            CHECK(configAppliedWithin(seen, offset, published, bound) == noViolations);
            CHECK(configNeverReverts(seen) == noViolations);
            for (const Daemon &entry : cluster.entries) {
                CHECK(sendOnce(entry.callers, "bureau", lookupCall("/new/1")).response.status == 200);
            }
        }
    }
}

TEST_CASE("Operators that race are told apart by the same rule everywhere", "[config-in-force]")
{
    Cluster cluster(smallFleet());
    REQUIRE(cluster.start(defaultRecords()));
    const Offset base = cluster.offsetOf("route", "status");
    Json::Value first = routeRecord("status", "/first", "licences", R"({"idempotent": true, "deadlineMs": 5000})");
    Json::Value second = routeRecord("status", "/second", "licences", R"({"idempotent": true, "deadlineMs": 5000})");
    first["replaces"] = Json::Int64(base);
    second["replaces"] = Json::Int64(base);
    Json::Value unknownSchema = routeRecord("future", "/future", "licences", R"({"idempotent": true, "deadlineMs": 5000, "novelty": 1})");
    unknownSchema["schemaVersion"] = 9;
    Json::Value broken = routeRecord("broken", "/broken", "nowhere", R"({"idempotent": true, "deadlineMs": 5000})");
    const Offset last = cluster.publish({first, second, unknownSchema, broken}) + 3;
    const std::vector<ConfigObservation> seen = observe(cluster, bound);
    CHECK(configAppliedWithin(seen, last, Clock::now(), milliseconds(0)) == noViolations);
    CHECK(digestsOf(cluster).size() == 1);
    for (const Daemon &entry : cluster.entries) {
        CHECK(sendOnce(entry.callers, "bureau", lookupCall("/first/1")).response.status == 200);
        CHECK(sendOnce(entry.callers, "bureau", lookupCall("/second/1")).response.status == 404);
        CHECK(sendOnce(entry.callers, "bureau", lookupCall("/status/1")).response.status == 404);
        CHECK(sendOnce(entry.callers, "bureau", lookupCall("/broken/1")).response.status == 404);
    }
}

TEST_CASE("Configuration never reverts across restarts, outages and records that age out", "[config-in-force]")
{
    Cluster cluster(smallFleet());
    REQUIRE(cluster.start(defaultRecords()));
    const Offset offset = cluster.publish({routeRecord("new", "/new", "licences", R"({"idempotent": true, "deadlineMs": 5000})")});
    std::vector<ConfigObservation> seen = observe(cluster, bound);
    CHECK(configAppliedWithin(seen, offset, Clock::now(), milliseconds(0)) == noViolations);

    // A process that starts during an outage takes what its peers hold.
    cluster.setFaults(cluster.log, R"({"outage": true})");
    cluster.entries[0].process->kill();
    cluster.sidecars[0].process->kill();
    cluster.startDaemon(cluster.entries[0]);
    cluster.startDaemon(cluster.sidecars[0]);
    CHECK(Cluster::waitReady(cluster.entries[0]));
    CHECK(Cluster::waitReady(cluster.sidecars[0]));
    CHECK(cluster.statusOf(cluster.entries[0])["config"]["offset"].asInt64() >= offset);

    // Then the log comes back without the old records.
    callOnce(cluster.log.control, postJson("/retain", parseJson(R"({"stream": "config", "from": 3})").value()));
    cluster.setFaults(cluster.log, R"({"outage": false})");
    seen = observe(cluster, milliseconds(2000));
    CHECK(configNeverReverts(seen) == noViolations);
    CHECK(digestsOf(cluster).size() == 1);
    CHECK(waitUntil([&] {
        return sendOnce(cluster.entries[0].callers, "bureau", lookupCall("/new/1")).response.status == 200;
    }));
}
