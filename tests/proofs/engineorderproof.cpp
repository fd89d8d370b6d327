#include "support/checkers.h"
#include "support/cluster.h"
#include "support/controlclient.h"
#include "support/wait.h"

#include <process/lease.h>

#include <catch2/catch.hpp>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr milliseconds grantDuration{1000};

/** A process that takes itself for the holder of the lease on the engines' roles. */
struct Holder
{
    std::string name;
    Offset fence = noOffset;
    std::uint64_t grant = 0; //!< the last one it got
    int orders = 0;
};

/** Appends a claim on the group's scope, as the log decides about it; its offset is the fencing number. */
Offset claimRoles(const Cluster &cluster, const std::string &holder, Offset replaces)
{
    LeaseRecord record;
    record.scope = "roles/assistant";
    record.holder = {holder, 1};
    record.replaces = replaces;
    record.duration = milliseconds(2000);
    Json::Value records(Json::arrayValue);
    records.append(toJson(record));
    const Response answer = callOnce(cluster.log.endpoint, postJson("/streams/leases/records", records));
    return (*parseJson(answer.body))["first"].asInt64();
}

bool requestGrant(const Daemon &sidecar, Holder &holder)
{
    Json::Value params;
    params["instance"] = holder.name;
    params["incarnation"] = 1;
    params["fence"] = Json::Int64(holder.fence);
    const auto answer = callControl(sidecar.link, "grant.request", params);
    if (!answer) {
        return false;
    }
    holder.grant = (*answer)["grant"].asUInt64();
    return true;
}

std::optional<Json::Value> giveOrder(const Daemon &sidecar, const Holder &holder, const std::string &orderId)
{
    Json::Value params;
    params["orderId"] = orderId;
    params["grant"] = Json::UInt64(holder.grant);
    params["kind"] = "role";
    params["role"] = holder.orders % 2 == 0 ? "decode" : "prefill";
    return callControl(sidecar.link, "order.run", params);
}

/** Accepted orders of a holder. */
std::size_t ordersOf(const Cluster &cluster, const std::string &holder)
{
    std::size_t count = 0;
    for (const Json::Value &order : eventsOf(cluster.targetJournal(), "order")) {
        count += order["accepted"].asBool() && order["orderId"].asString().starts_with(holder) ? 1 : 0;
    }
    return count;
}

std::string orderIdOf(const Holder &holder)
{
    return holder.name + "-" + std::to_string(holder.orders);
}

/** Gets a grant and gives an order; true once the engine has taken it. An order that failed before that is followed by another. */
bool orderReachesEngine(const Cluster &cluster, const Daemon &sidecar, Holder &holder)
{
    const std::size_t before = ordersOf(cluster, holder.name);
    return waitUntil([&] {
        if (!requestGrant(sidecar, holder) || !giveOrder(sidecar, holder, orderIdOf(holder))) {
            return false;
        }
        const bool taken = waitUntil(
            [&] {
                return ordersOf(cluster, holder.name) > before;
            },
            milliseconds(1500));
        holder.orders += taken ? 0 : 1;
        return taken;
    });
}

ClusterOptions engineCluster(bool ignoresFences)
{
    ClusterOptions options;
    options.entries = 0;
    TargetOptions target;
    target.faults["changeMs"] = 300;
    target.faults["ignoreFences"] = ignoresFences;
    options.targets = {target};
    options.settings = R"({"timings": {"leaseMs": 2000, "leaseMarginMs": 300, "grantMs": 1000}, "link": {"heartbeatMs": 500}})";
    return options;
}

} // namespace

TEST_CASE("an older holder that goes on sending has no effect after a sidecar's restart", "[engine-orders][lost-authority]")
{
    const bool ignoresFences = GENERATE(false, true);
    INFO("engine ignores fencing numbers: " << ignoresFences);
    Cluster cluster(engineCluster(ignoresFences));
    REQUIRE(cluster.start(defaultRecords()));
    Daemon &sidecar = cluster.sidecars[0];
    Holder older{.name = "older", .fence = claimRoles(cluster, "older", noOffset)};
    REQUIRE(orderReachesEngine(cluster, sidecar, older));
    const std::size_t olderOrders = ordersOf(cluster, "older");

    // A successor claims; the older holder knows nothing of it. The sidecar dies in mid-change.
    Holder newer{.name = "newer", .fence = claimRoles(cluster, "newer", older.fence)};
    sidecar.process->kill();
    cluster.startDaemon(sidecar);
    const std::uint64_t oldGrant = older.grant;
    REQUIRE(waitUntil([&] {
        CHECK_FALSE(requestGrant(sidecar, older));
        CHECK_FALSE(giveOrder(sidecar, older, "older-late"));
        return requestGrant(sidecar, newer);
    }));
    REQUIRE(older.grant == oldGrant);
    REQUIRE(orderReachesEngine(cluster, sidecar, newer));
    REQUIRE_FALSE(requestGrant(sidecar, older));
    REQUIRE_FALSE(giveOrder(sidecar, older, "older-later"));
    REQUIRE(ordersOf(cluster, "older") == olderOrders);
    const Violations violations = noConflictingEngineOrders(cluster.targetJournal());
    CAPTURE(violations);
    REQUIRE(violations.empty());
}

TEST_CASE("an order that was delayed past its grant is refused, and one sent twice runs once", "[engine-orders][lost-authority]")
{
    const bool ignoresFences = GENERATE(false, true);
    INFO("engine ignores fencing numbers: " << ignoresFences);
    Cluster cluster(engineCluster(ignoresFences));
    REQUIRE(cluster.start(defaultRecords()));
    const Daemon &sidecar = cluster.sidecars[0];
    Holder first{.name = "first", .fence = claimRoles(cluster, "first", noOffset)};
    REQUIRE(orderReachesEngine(cluster, sidecar, first));
    REQUIRE(giveOrder(sidecar, first, orderIdOf(first)));
    const std::size_t firstOrders = ordersOf(cluster, "first");
    const Holder delayed = first;
    Holder rival{.name = "rival", .fence = claimRoles(cluster, "rival", first.fence)};
    REQUIRE(orderReachesEngine(cluster, sidecar, rival));
    REQUIRE_FALSE(giveOrder(sidecar, delayed, "first-delayed"));
    const std::size_t rivalOrders = ordersOf(cluster, "rival");
    sleepFor(grantDuration);
    REQUIRE_FALSE(giveOrder(sidecar, rival, "rival-after-its-grant"));
    REQUIRE_FALSE(requestGrant(sidecar, first));
    REQUIRE(ordersOf(cluster, "first") == firstOrders);
    REQUIRE(ordersOf(cluster, "rival") == rivalOrders);
    const Violations violations = noConflictingEngineOrders(cluster.targetJournal());
    CAPTURE(violations);
    REQUIRE(violations.empty());
}

TEST_CASE("an order whose answer is lost or whose engine crashes is cleared up before the next", "[engine-orders]")
{
    Cluster cluster(engineCluster(true));
    REQUIRE(cluster.start(defaultRecords()));
    const Daemon &sidecar = cluster.sidecars[0];
    Holder holder{.name = "holder", .fence = claimRoles(cluster, "holder", noOffset)};
    cluster.setFaults(cluster.targets[0], R"({"orders.answerLost": 1})");
    REQUIRE(orderReachesEngine(cluster, sidecar, holder));
    ++holder.orders;
    REQUIRE(orderReachesEngine(cluster, sidecar, holder));
    cluster.targets[0].process->kill();
    cluster.startStandIn(cluster.targets[0]);
    ++holder.orders;
    REQUIRE(orderReachesEngine(cluster, sidecar, holder));
    const Violations violations = noConflictingEngineOrders(cluster.targetJournal());
    CAPTURE(violations);
    REQUIRE(violations.empty());
}
