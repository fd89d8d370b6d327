#include "directroles.h"

#include "storereader.h"
#include "targetstatements.h"

#include <connection/httpclient.h>
#include <platform/messages.h>
#include <process/log.h>
#include <process/metrics.h>
#include <process/pause.h>
#include <request/roleshare.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <string>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr const char *sharesTopic = "keyed.roles"; //!< maps each target group to the share of prefill engines found
constexpr milliseconds storeTimeout{500};
constexpr milliseconds planInterval{500};
constexpr milliseconds orderTimeout{800}; // must fit into the remaining lease time
constexpr seconds pendingOrderTimeout{15}; // an order without a response may take effect 12 s later; until then the engine gets no other order
constexpr seconds stabilizationTime{3}; // under load, roles must deviate this long before an order; crashed engines usually return sooner
constexpr seconds maxRoleChangeTime{6}; // an engine that has not reported its new role by then is used again
constexpr unsigned accepted = 202;
constexpr unsigned alreadyInRole = 200;

/** Role order sent to an engine whose effect is not visible yet. */
struct PendingOrder
{
    EngineRole role = EngineRole::Mixed;
    TimePoint sentAt{};
};

using PendingOrders = std::map<std::string, PendingOrder>;

/** State that the lease holder keeps between planning rounds. */
struct RolePlan
{
    PendingOrders pending;
    std::map<std::string, RoleDemand> demand; //!< by group
    bool sharesRead = false; //!< what earlier holders found was read
    std::map<std::string, TimePoint> deviationSince; //!< by group: when the roles began to deviate from the plan
};

/** Removes orders that have taken effect or expired, and orders for engines that are gone. */
void removeSettledOrders(PendingOrders &pending, const std::vector<TargetEntry> &entries, TimePoint now)
{
    std::map<std::string, EngineRole> roles;
    for (const TargetEntry &entry : entries) {
        roles[entry.id] = entry.role;
    }
    std::erase_if(pending, [&](const auto &order) {
        const auto role = roles.find(order.first);
        return role == roles.end() || role->second == order.second.role || now - order.second.sentAt > pendingOrderTimeout;
    });
}

asio::awaitable<void> sendRoleOrder(RoleContext &context, TargetEntry engine, EngineRole role, PendingOrders &pending)
{
    const auto fencingToken = context.leases.epoch(scopes::duties);
    Reason reason;
    const auto endpoint = parseEndpoint(engine.address, reason);
    if (!fencingToken || !endpoint || !context.leases.mayCall(scopes::duties, orderTimeout)) {
        co_return;
    }
    HttpCall call{.peer = *endpoint, .method = boost::beast::http::verb::post, .target = platform::orderPath, .timeout = orderTimeout};
    call.step = Step::Order;
    call.bodyLimit = shortBodyBytes;
    call.body = platform::roleOrderBody(role, {context.settings.instance, *fencingToken});
    call.headers = platform::orderHeaders(engine.id);
    const TargetRef target{.group = engine.group, .id = engine.id, .endpoint = *endpoint, .failureDomain = engine.failureDomain, .run = targetRun(engine)};
    bool barred = false;
    call.maySend = [&context, &target, &barred, fencingToken] {
        barred = !maySendTo(context.targets, target, SendPurpose::RoleOrder, {});
        return !barred && context.leases.epoch(scopes::duties) == fencingToken && context.leases.mayCall(scopes::duties, orderTimeout);
    };
    pending[engine.id] = {role, Clock::now()};
    const auto response = co_await httpCall(std::move(call), reason);
    const unsigned status = response ? response->result_int() : 0;
    if (response) {
        recordStatement(context.targets, target, platform::parseTargetStatement(*response), status, SendPurpose::RoleOrder, {});
    }
    const bool acknowledged = status == accepted || status == alreadyInRole;
    if (barred) {
        pending.erase(engine.id);
    } else if (response && !acknowledged) {
        pending.erase(engine.id);
        reason = {Step::Order, engine.address, "answered " + std::to_string(status)};
    }
    processMetrics().count(Counter::RoleChanges, {toString(role), acknowledged ? "accepted" : response ? "refused" : "not_answered"});
    if (acknowledged) {
        context.targets.recordRoleChange(engine.id, role, Clock::now() + maxRoleChangeTime);
        logEvent(LogComponent::Roles, LogLevel::Info, "role order accepted", {{"target", engine.id}, {"role", toString(role)}, {"fence", *fencingToken}});
    } else {
        logEvent(LogComponent::Roles,
                 LogLevel::Warning,
                 "role order not accepted",
                 reason,
                 {{"target", engine.id}, {"role", toString(role)}, {"fence", *fencingToken}});
    }
}

/** Returns the engines of the group with their current roles, or the ordered role where an order is pending. */
std::vector<RoleShareEngine> shareEngines(const std::vector<TargetEntry> &entries, const std::string &group, const PendingOrders &pending)
{
    std::vector<RoleShareEngine> engines;
    for (const TargetEntry &entry : entries) {
        if (entry.group != group || entry.draining) {
            continue;
        }
        const auto order = pending.find(entry.id);
        const bool changing = order != pending.end();
        engines.push_back({entry.id, entry.failureDomain, changing ? order->second.role : entry.role, 0, entry.slots, changing});
    }
    return engines;
}

/** Reads the shares that earlier holders of the lease found; until that succeeds, nothing is planned. */
asio::awaitable<void> readShares(RoleContext &context, RolePlan &plan)
{
    Reason reason;
    const auto page = co_await context.store.readNewest(sharesTopic, storeTimeout, reason);
    if (!page) {
        logEvent(LogComponent::Roles, LogLevel::Warning, "cannot read the shares of roles, will retry", reason);
        co_return;
    }
    for (const platform::StoreRecord &record : page->records) {
        double share = 0;
        const auto [end, error] = std::from_chars(record.value.data(), record.value.data() + record.value.size(), share);
        if (error == std::errc() && share > 0 && share < 1) {
            plan.demand[record.key].share = share;
            logEvent(LogComponent::Roles, LogLevel::Info, "share of prefill engines taken over", {{"group", record.key}, {"share", record.value}});
        }
    }
    plan.sharesRead = true;
}

/** Writes a share that was found, for the next holder of the lease. It is written again with the next change if that fails. */
asio::awaitable<void> writeShare(RoleContext &context, const std::string &group, double share)
{
    std::vector<platform::StoreRecord> records;
    records.push_back({.key = group, .value = std::to_string(share)});
    Reason reason;
    if (!co_await context.store.append(sharesTopic, std::move(records), storeTimeout, reason)) {
        logEvent(LogComponent::Roles, LogLevel::Warning, "cannot write the share of roles", reason, {{"group", group}});
    }
}

/** Changes the share of prefill engines by the delays that callers see; true if it has changed. */
bool followDemand(RoleContext &context, const std::string &group, std::size_t initial, std::size_t engines, RoleDemand &demand)
{
    const RoleDelays delays = context.targets.roleDelays(group);
    const RoleDemand before = demand;
    if (!updateShare(demand, delays, initial, engines, {}, Clock::now())) {
        return false;
    }
    processMetrics().count(Counter::RoleShares,
                           {*demand.share > before.share.value_or(static_cast<double>(initial) / static_cast<double>(engines)) ? "up" : "down"});
    logEvent(LogComponent::Roles,
             LogLevel::Info,
             "share of prefill engines changed",
             {{"group", group},
              {"engines", engines},
              {"prefillBefore", plannedPrefillEngines(before, initial, engines)},
              {"prefillAfter", plannedPrefillEngines(demand, initial, engines)},
              {"prefillDelayMs", std::chrono::duration_cast<milliseconds>(delays.prefill).count()},
              {"decodeDelayMs", std::chrono::duration_cast<milliseconds>(delays.decode).count()}});
    return true;
}

/** Runs one planning round for one group of engines. */
asio::awaitable<void> planGroup(RoleContext &context, const std::string &group, RolePlan &plan)
{
    const std::vector<TargetEntry> entries = context.targets.entries(Clock::now());
    removeSettledOrders(plan.pending, entries, Clock::now());
    const bool underLoad = context.targets.hasRunningRequests(group, Clock::now());
    const std::vector<RoleShareEngine> engines = shareEngines(entries, group, plan.pending);
    const std::size_t initial = desiredPrefillEngines(engines, {});
    RoleDemand &demand = plan.demand[group];
    if (underLoad && followDemand(context, group, initial, engines.size(), demand)) {
        co_await writeShare(context, group, *demand.share);
    }
    const std::vector<RoleOrder> orders = planRoleShare(engines, plannedPrefillEngines(demand, initial, engines.size()), underLoad, {});
    if (orders.empty()) {
        plan.deviationSince.erase(group);
        co_return;
    }
    const TimePoint since = plan.deviationSince.try_emplace(group, Clock::now()).first->second;
    if (underLoad && Clock::now() - since < stabilizationTime) {
        co_return;
    }
    for (const RoleOrder &order : orders) {
        const auto entry = std::find_if(entries.begin(), entries.end(), [&order](const TargetEntry &candidate) {
            return candidate.id == order.id;
        });
        co_await sendRoleOrder(context, *entry, order.role, plan.pending);
    }
}

} // namespace

asio::awaitable<void> planEngineRoles(RoleContext &context)
{
    RolePlan plan;
    while (!context.stopped) {
        co_await pauseFor(planInterval);
        const RoutingVersionPointer routing = context.routing.current();
        if (!routing || !context.leases.mayCall(scopes::duties, orderTimeout)) {
            plan.sharesRead = false; // another holder may change the shares
            continue;
        }
        if (!plan.sharesRead) {
            co_await readShares(context, plan);
            continue;
        }
        for (const auto &[name, group] : routing->groups) {
            if (group.engine) {
                co_await planGroup(context, name, plan);
            }
        }
    }
}

} // namespace snipehill
