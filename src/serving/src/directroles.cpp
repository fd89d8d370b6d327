#include "directroles.h"

#include <connection/httpclient.h>
#include <platform/messages.h>
#include <process/log.h>
#include <process/metrics.h>
#include <process/pause.h>
#include <request/roleshare.h>

#include <algorithm>
#include <map>
#include <string>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds planInterval{500};
constexpr milliseconds orderTimeout{800}; // must fit into what is left of the lease
constexpr seconds orderMemory{15}; // an order that was not answered may take effect 12 s later; until then none follows to the engine
constexpr seconds settleTime{3}; // under load, the share is missed for so long before an order: engines that crash are mostly back sooner
constexpr seconds longestChange{6}; // an engine that has not shown its new role by then is used again
constexpr unsigned accepted = 202;
constexpr unsigned alreadySo = 200;

/** Orders that were given and whose effect isn't seen yet, by engine. */
struct PendingOrder
{
    EngineRole role = EngineRole::Mixed;
    TimePoint given{};
};

using PendingOrders = std::map<std::string, PendingOrder>;

/** What the holder of the lease remembers between rounds. */
struct RolePlan
{
    PendingOrders pending;
    std::map<std::string, TimePoint> wantedSince; //!< by group: the share has been missed since then
};

/** Drops orders that have taken effect or are too old to do so. */
void settleOrders(PendingOrders &pending, const std::vector<TargetEntry> &entries, TimePoint now)
{
    std::map<std::string, EngineRole> roles;
    for (const TargetEntry &entry : entries) {
        roles[entry.id] = entry.role;
    }
    std::erase_if(pending, [&](const auto &order) {
        const auto role = roles.find(order.first);
        return role == roles.end() || role->second == order.second.role || now - order.second.given > orderMemory;
    });
}

asio::awaitable<void> giveOrder(RoleContext &context, TargetEntry engine, EngineRole role, PendingOrders &pending)
{
    const auto fence = context.leases.epoch(scopes::duties);
    Reason reason;
    const auto endpoint = parseEndpoint(engine.address, reason);
    if (!fence || !endpoint || !context.leases.mayCall(scopes::duties, orderTimeout)) {
        co_return;
    }
    HttpCall call{.peer = *endpoint, .method = boost::beast::http::verb::post, .target = platform::orderPath, .timeout = orderTimeout};
    call.step = Step::Order;
    call.body = platform::roleOrderBody(role, {context.settings.instance, *fence});
    call.headers = platform::orderHeaders(engine.id);
    call.maySend = [&context, fence] {
        return context.leases.epoch(scopes::duties) == fence && context.leases.mayCall(scopes::duties, orderTimeout);
    };
    pending[engine.id] = {role, Clock::now()};
    const auto answer = co_await httpCall(std::move(call), reason);
    const unsigned status = answer ? answer->result_int() : 0;
    const bool taken = status == accepted || status == alreadySo;
    if (answer && !taken) {
        pending.erase(engine.id);
        reason = {Step::Order, engine.address, "answered " + std::to_string(status)};
    }
    processMetrics().count(Counter::RoleChanges, {toString(role), taken ? "accepted" : answer ? "refused" : "not_answered"});
    if (taken) {
        context.targets.noteRoleChange(engine.id, role, Clock::now() + longestChange);
        logEvent(Part::Roles, Level::Info, "role ordered", {{"target", engine.id}, {"role", toString(role)}, {"fence", *fence}});
    } else {
        logEvent(Part::Roles, Level::Warning, "role order not accepted", reason, {{"target", engine.id}, {"role", toString(role)}, {"fence", *fence}});
    }
}

/** The group's engines in the roles that they have or were ordered into. */
std::vector<RoleShareEngine> shareEngines(const std::vector<TargetEntry> &entries, const std::string &group, const PendingOrders &pending)
{
    std::vector<RoleShareEngine> engines;
    for (const TargetEntry &entry : entries) {
        if (entry.group != group || entry.leaving) {
            continue;
        }
        const auto order = pending.find(entry.id);
        const bool changing = order != pending.end();
        engines.push_back({entry.id, entry.failureDomain, changing ? order->second.role : entry.role, 0, entry.slots, changing});
    }
    return engines;
}

/** One round for one group of engines. */
asio::awaitable<void> planGroup(RoleContext &context, const std::string &group, RolePlan &plan)
{
    const std::vector<TargetEntry> entries = context.targets.entries();
    settleOrders(plan.pending, entries, Clock::now());
    const bool serving = context.targets.isServing(group, Clock::now());
    const std::vector<RoleOrder> orders = planRoleShare(shareEngines(entries, group, plan.pending), serving, {});
    if (orders.empty()) {
        plan.wantedSince.erase(group);
        co_return;
    }
    const TimePoint since = plan.wantedSince.try_emplace(group, Clock::now()).first->second;
    if (serving && Clock::now() - since < settleTime) {
        co_return;
    }
    for (const RoleOrder &order : orders) {
        const auto entry = std::find_if(entries.begin(), entries.end(), [&order](const TargetEntry &candidate) {
            return candidate.id == order.id;
        });
        co_await giveOrder(context, *entry, order.role, plan.pending);
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
