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

/** A process that holds, or considers itself to hold, the lease with this fencing token. */
struct Holder
{
    std::string name;
    Offset fencingToken = 0;
    std::uint64_t grant = 0;

    bool requestGrant(const Endpoint &sidecar)
    {
        Json::Value params;
        params["instance"] = name;
        params["incarnation"] = 1;
        params["fence"] = Json::Int64(fencingToken);
        Reason reason;
        const auto response = callOverLink(name, sidecar, "grant.request", params, callTimeout, reason);
        grant = response ? (*response)["grant"].asUInt64() : 0;
        return response.has_value();
    }

    /** Sends the order. Returns false if the call failed or the order's state is failed or unknown. */
    bool sendOrder(const Endpoint &sidecar, const std::string &orderId, const std::string &role) const
    {
        Json::Value params;
        params["orderId"] = orderId;
        params["grant"] = Json::UInt64(grant);
        params["kind"] = "role";
        params["role"] = role;
        Reason reason;
        const auto response = callOverLink(name, sidecar, "order.run", params, callTimeout, reason);
        UNSCOPED_INFO(orderId << ": " << (response ? writeJson(*response) : toString(reason)));
        return response && (*response)["state"] != "failed" && (*response)["state"] != "unknown";
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

TEST_CASE("A role change under full load interrupts no request", "[planned-change][engine-orders]")
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
            return holder.requestGrant(sidecar);
        }));
        CHECK(holder.sendOrder(sidecar, "order-" + std::to_string(number), "decode"));
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

TEST_CASE("An engine that ignores fencing tokens gets no order from a holder whose lease or grant has ended", "[lost-authority][engine-orders]")
{
    Cluster cluster(threeEngines());
    REQUIRE(cluster.start(defaultRecords()));
    const Endpoint sidecar = cluster.sidecars[0].link;
    Holder oldHolder{"old", Offset(10)};
    Holder newHolder{"fresh", Offset(20)};
    REQUIRE(waitUntil([&] {
        return oldHolder.requestGrant(sidecar);
    }));
    CHECK_FALSE(newHolder.requestGrant(sidecar)); // refused while the grant of the other holder is valid
    REQUIRE(waitUntil([&] {
        return newHolder.requestGrant(sidecar);
    }));
    CHECK_FALSE(oldHolder.sendOrder(sidecar, "late-1", "prefill")); // sent after its grant has expired
    CHECK_FALSE(oldHolder.requestGrant(sidecar));
    CHECK(newHolder.sendOrder(sidecar, "good-1", "decode"));
    CHECK(newHolder.sendOrder(sidecar, "good-1", "decode")); // repeated: returns the response of the first run
    CHECK(waitUntil([&] {
        return acceptedOrders(cluster, cluster.targets[0]).size() == 1;
    }));

    // The sidecar restarts without its state while the old holder still sends orders.
    cluster.sidecars[0].process->kill();
    cluster.startDaemon(cluster.sidecars[0]);
    REQUIRE(Cluster::waitReady(cluster.sidecars[0]));
    CHECK_FALSE(oldHolder.sendOrder(sidecar, "late-2", "prefill"));
    CHECK_FALSE(newHolder.sendOrder(sidecar, "late-3", "prefill"));
    REQUIRE(waitUntil([&] {
        return newHolder.requestGrant(sidecar);
    }));
    CHECK_FALSE(oldHolder.sendOrder(sidecar, "late-4", "prefill"));
    CHECK(newHolder.sendOrder(sidecar, "good-2", "mixed"));
    CHECK(waitUntil([&] {
        return acceptedOrders(cluster, cluster.targets[0]).size() == 2;
    }));

    // An order sent under a grant is processed after the sidecar was paused for longer than the grant.
    const auto pendingOrder = std::async(std::launch::async, [&] {
        return newHolder.sendOrder(sidecar, "late-5", "prefill");
    });
    cluster.sidecars[0].process->pause();
    sleepFor(2 * grantDuration);
    cluster.sidecars[0].process->resume();
    pendingOrder.wait();
    CHECK_FALSE(oldHolder.requestGrant(sidecar));
    sleepFor(2 * grantDuration);
    const Journal journal = cluster.targetJournal();
    CHECK(noConflictingEngineOrders(journal) == noViolations);
    for (const Json::Value &order : eventsOf(journal, "order")) {
        CHECK(order["fence"].asInt64() == newHolder.fencingToken);
    }
}
