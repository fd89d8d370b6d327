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

/** A process that considers itself the holder of the lease on engine roles. */
struct Holder
{
    std::string name;
    Offset fencingToken = noOffset;
    std::uint64_t grant = 0; //!< id of the latest grant received
    int orders = 0;
};

/** Appends a lease claim for the roles of the group to the log. Returns its offset, which is the fencing token. */
Offset claimRoles(const Cluster &cluster, const std::string &holder, Offset replaces)
{
    LeaseRecord record;
    record.scope = "roles/assistant";
    record.holder = {holder, 1};
    record.replaces = replaces;
    record.duration = milliseconds(2000);
    Json::Value records(Json::arrayValue);
    records.append(toJson(record));
    const Response response = callOnce(cluster.log.endpoint, postJson("/streams/leases/records", records));
    return (*parseJson(response.body))["first"].asInt64();
}

bool requestGrant(const Daemon &sidecar, Holder &holder)
{
    Json::Value params;
    params["instance"] = holder.name;
    params["incarnation"] = 1;
    params["fence"] = Json::Int64(holder.fencingToken);
    const auto response = callControl(sidecar.link, "grant.request", params);
    if (!response) {
        return false;
    }
    holder.grant = (*response)["grant"].asUInt64();
    return true;
}

std::optional<Json::Value> sendOrder(const Daemon &sidecar, const Holder &holder, const std::string &orderId)
{
    Json::Value params;
    params["orderId"] = orderId;
    params["grant"] = Json::UInt64(holder.grant);
    params["kind"] = "role";
    params["role"] = holder.orders % 2 == 0 ? "decode" : "prefill";
    return callControl(sidecar.link, "order.run", params);
}

/** Number of orders of a holder that engines accepted. */
std::size_t acceptedOrderCount(const Cluster &cluster, const std::string &holder)
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

/** Requests a grant and sends an order until the engine accepts one; an order that fails before that is replaced by a new one. */
bool orderReachesEngine(const Cluster &cluster, const Daemon &sidecar, Holder &holder)
{
    const std::size_t before = acceptedOrderCount(cluster, holder.name);
    return waitUntil([&] {
        if (!requestGrant(sidecar, holder) || !sendOrder(sidecar, holder, orderIdOf(holder))) {
            return false;
        }
        const bool accepted = waitUntil(
            [&] {
                return acceptedOrderCount(cluster, holder.name) > before;
            },
            milliseconds(1500));
        holder.orders += accepted ? 0 : 1;
        return accepted;
    });
}

ClusterOptions engineCluster(bool ignoresFencingTokens)
{
    ClusterOptions options;
    options.entries = 0;
    TargetOptions target;
    target.faults["changeMs"] = 300;
    target.faults["ignoreFences"] = ignoresFencingTokens;
    options.targets = {target};
    options.settings = R"({"timings": {"leaseMs": 2000, "leaseMarginMs": 300, "grantMs": 1000}, "link": {"heartbeatMs": 500}})";
    return options;
}

} // namespace

TEST_CASE("a superseded holder that continues to send orders has no effect after a sidecar's restart", "[engine-orders][lost-authority]")
{
    const bool ignoresFencingTokens = GENERATE(false, true);
    INFO("engine ignores fencing tokens: " << ignoresFencingTokens);
    Cluster cluster(engineCluster(ignoresFencingTokens));
    REQUIRE(cluster.start(defaultRecords()));
    Daemon &sidecar = cluster.sidecars[0];
    Holder oldHolder{.name = "older", .fencingToken = claimRoles(cluster, "older", noOffset)};
    REQUIRE(orderReachesEngine(cluster, sidecar, oldHolder));
    const std::size_t oldHolderOrders = acceptedOrderCount(cluster, "older");

    // A successor claims the lease without the old holder knowing. The sidecar is killed during a role change.
    Holder newHolder{.name = "newer", .fencingToken = claimRoles(cluster, "newer", oldHolder.fencingToken)};
    sidecar.process->kill();
    cluster.startDaemon(sidecar);
    const std::uint64_t oldGrant = oldHolder.grant;
    REQUIRE(waitUntil([&] {
        CHECK_FALSE(requestGrant(sidecar, oldHolder));
        CHECK_FALSE(sendOrder(sidecar, oldHolder, "older-late"));
        return requestGrant(sidecar, newHolder);
    }));
    REQUIRE(oldHolder.grant == oldGrant);
    REQUIRE(orderReachesEngine(cluster, sidecar, newHolder));
    REQUIRE_FALSE(requestGrant(sidecar, oldHolder));
    REQUIRE_FALSE(sendOrder(sidecar, oldHolder, "older-later"));
    REQUIRE(acceptedOrderCount(cluster, "older") == oldHolderOrders);
    const Violations violations = noConflictingEngineOrders(cluster.targetJournal());
    CAPTURE(violations);
    REQUIRE(violations.empty());
}

TEST_CASE("an order delayed beyond its grant is refused, and one sent twice runs once", "[engine-orders][lost-authority]")
{
    const bool ignoresFencingTokens = GENERATE(false, true);
    INFO("engine ignores fencing tokens: " << ignoresFencingTokens);
    Cluster cluster(engineCluster(ignoresFencingTokens));
    REQUIRE(cluster.start(defaultRecords()));
    const Daemon &sidecar = cluster.sidecars[0];
    Holder first{.name = "first", .fencingToken = claimRoles(cluster, "first", noOffset)};
    REQUIRE(orderReachesEngine(cluster, sidecar, first));
    REQUIRE(sendOrder(sidecar, first, orderIdOf(first)));
    const std::size_t firstOrders = acceptedOrderCount(cluster, "first");
    const Holder delayed = first;
    Holder rival{.name = "rival", .fencingToken = claimRoles(cluster, "rival", first.fencingToken)};
    REQUIRE(orderReachesEngine(cluster, sidecar, rival));
    REQUIRE_FALSE(sendOrder(sidecar, delayed, "first-delayed"));
    const std::size_t rivalOrders = acceptedOrderCount(cluster, "rival");
    sleepFor(grantDuration);
    REQUIRE_FALSE(sendOrder(sidecar, rival, "rival-after-its-grant"));
    REQUIRE_FALSE(requestGrant(sidecar, first));
    REQUIRE(acceptedOrderCount(cluster, "first") == firstOrders);
    REQUIRE(acceptedOrderCount(cluster, "rival") == rivalOrders);
    const Violations violations = noConflictingEngineOrders(cluster.targetJournal());
    CAPTURE(violations);
    REQUIRE(violations.empty());
}

TEST_CASE("an order whose response is lost or whose engine crashes is resolved before the next", "[engine-orders]")
{
    Cluster cluster(engineCluster(true));
    REQUIRE(cluster.start(defaultRecords()));
    const Daemon &sidecar = cluster.sidecars[0];
    Holder holder{.name = "holder", .fencingToken = claimRoles(cluster, "holder", noOffset)};
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
