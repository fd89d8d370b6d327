#include "support/callers.h"
#include "support/cluster.h"
#include "support/linkcall.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr milliseconds callTimeout{2000};
constexpr milliseconds grantDuration{1000};

ClusterOptions threeEngines()
{
    ClusterOptions options;
    Json::Value faults;
    faults["decodeRate"] = 200;
    faults["ignoreFences"] = true;
    faults["changeMs"] = 600;
    options.targets = {{.faults = faults}, {.failureDomain = "fd-b", .faults = faults}, {.failureDomain = "fd-c", .faults = faults}};
    options.settings = R"({"timings": {"instancesPollMs": 200, "grantMs": 1000, "leaseMs": 4000, "leaseMarginMs": 400}, "link": {"heartbeatMs": 300}})";
    return options;
}

/** A process that holds, or believes to hold, the lease of this epoch. */
struct Holder
{
    std::string name;
    Offset fence = 0;
    std::uint64_t grant = 0;

    bool request(const Endpoint &sidecar)
    {
        Json::Value params;
        params["instance"] = name;
        params["incarnation"] = 1;
        params["fence"] = Json::Int64(fence);
        Reason reason;
        const auto answer = callOverLink(name, sidecar, "grant.request", params, callTimeout, reason);
        grant = answer ? (*answer)["grant"].asUInt64() : 0;
        return answer.has_value();
    }

    /** Gives the order; false if the sidecar refused it. */
    bool order(const Endpoint &sidecar, const std::string &orderId, const std::string &role) const
    {
        Json::Value params;
        params["orderId"] = orderId;
        params["grant"] = Json::UInt64(grant);
        params["kind"] = "role";
        params["role"] = role;
        Reason reason;
        const auto answer = callOverLink(name, sidecar, "order.run", params, callTimeout, reason);
        UNSCOPED_INFO(orderId << ": " << (answer ? writeJson(*answer) : toString(reason)));
        return answer && (*answer)["state"] != "failed" && (*answer)["state"] != "unknown";
    }
};

Journal acceptedOrders(const Cluster &cluster, const StandIn &engine)
{
    Journal accepted;
    for (const Json::Value &order : eventsOf(cluster.journalOf(engine), "order")) {
        if (order["accepted"].asBool()) {
            accepted.push_back(order);
        }
    }
    return accepted;
}

} // namespace

TEST_CASE("A role change under full load cuts no request", "[planned-change][engine-orders]")
{
    Cluster cluster(threeEngines());
    REQUIRE(cluster.start(defaultRecords()));
    ClosedLoopCallers callers(12, [&](int caller, int round) {
        const Endpoint entry = cluster.entries[static_cast<std::size_t>(caller % 2)].callers;
        return ClosedLoopCallers::PlannedCall{entry, "bureau", chatCall("file " + std::to_string(caller) + " " + std::to_string(round), 60)};
    });
    REQUIRE(waitUntil([&] {
        return callers.finishedCalls() > 24;
    }));
    for (std::size_t number = 0; number < cluster.sidecars.size(); ++number) {
        Holder holder{"holder", Offset(10)};
        const Endpoint sidecar = cluster.sidecars[number].link;
        REQUIRE(waitUntil([&] {
            return holder.request(sidecar);
        }));
        CHECK(holder.order(sidecar, "order-" + std::to_string(number), "decode"));
        CHECK(waitUntil([&] {
            return acceptedOrders(cluster, cluster.targets[number]).size() == 1;
        }));
        for (const Daemon &entry : cluster.entries) {
            CHECK(cluster.waitAccepting(entry, cluster.sidecars[number]));
        }
    }
    const std::vector<CallerRecord> records = callers.stop();
    const Journal journal = cluster.targetJournal();
    WARN(records.size() << " streams through 3 role changes");
    CHECK(ordersInterruptNoRequest(journal) == noViolations);
    CHECK(noConflictingEngineOrders(journal) == noViolations);
    CHECK(responsesComplete(records) == noViolations);
    CHECK(refusedRequestsDidNotRun(records, journal) == noViolations);
}

TEST_CASE("An engine that ignores fences takes no order from a holder whose authority ended", "[lost-authority][engine-orders]")
{
    Cluster cluster(threeEngines());
    REQUIRE(cluster.start(defaultRecords()));
    const Endpoint sidecar = cluster.sidecars[0].link;
    Holder old{"old", Offset(10)};
    Holder fresh{"fresh", Offset(20)};
    REQUIRE(waitUntil([&] {
        return old.request(sidecar);
    }));
    CHECK_FALSE(fresh.request(sidecar)); // the grant in force keeps a rival waiting
    REQUIRE(waitUntil([&] {
        return fresh.request(sidecar);
    }));
    CHECK_FALSE(old.order(sidecar, "late-1", "prefill")); // delayed past its grant
    CHECK_FALSE(old.request(sidecar));
    CHECK(fresh.order(sidecar, "good-1", "decode"));
    CHECK(fresh.order(sidecar, "good-1", "decode")); // repeated: the first run's answer
    CHECK(waitUntil([&] {
        return acceptedOrders(cluster, cluster.targets[0]).size() == 1;
    }));

    // The sidecar restarts with empty memory while the old holder still sends.
    cluster.sidecars[0].process->kill();
    cluster.startDaemon(cluster.sidecars[0]);
    REQUIRE(Cluster::waitReady(cluster.sidecars[0]));
    CHECK_FALSE(old.order(sidecar, "late-2", "prefill"));
    CHECK_FALSE(fresh.order(sidecar, "late-3", "prefill"));
    REQUIRE(waitUntil([&] {
        return fresh.request(sidecar);
    }));
    CHECK_FALSE(old.order(sidecar, "late-4", "prefill"));
    CHECK(fresh.order(sidecar, "good-2", "mixed"));
    CHECK(waitUntil([&] {
        return acceptedOrders(cluster, cluster.targets[0]).size() == 2;
    }));

    // The sidecar is paused longer than its grant; then an order under that grant arrives.
    const auto waiting = std::async(std::launch::async, [&] {
        return fresh.order(sidecar, "late-5", "prefill");
    });
    cluster.sidecars[0].process->pause();
    sleepFor(2 * grantDuration);
    cluster.sidecars[0].process->resume();
    waiting.wait();
    CHECK_FALSE(old.request(sidecar));
    sleepFor(2 * grantDuration);
    const Journal journal = cluster.targetJournal();
    CHECK(noConflictingEngineOrders(journal) == noViolations);
    for (const Json::Value &order : eventsOf(journal, "order")) {
        CHECK(order["fence"].asInt64() == fresh.fence);
    }
}
