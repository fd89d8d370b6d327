#include <process/grant.h>

#include <algorithm>
#include <utility>

namespace snipehill
{

namespace
{

bool hasValidGrant(const GrantState &state, TimePoint now) noexcept
{
    return state.current && now < state.current->expires;
}

bool ready(const GrantState &state, TimePoint now, Reason &reason)
{
    if (now < state.grantsAllowedFrom) {
        reason = {Step::Grant, "", "grants of an earlier run may be in force"};
        return false;
    }
    if (!state.fencingTokenKnown) {
        reason = {Step::Grant, "", "the highest fencing number is not known yet"};
        return false;
    }
    if (!state.engineStateKnown) {
        reason = {Step::Grant, "", "the engine has not told its state"};
        return false;
    }
    return true;
}

// Orders of the current grant are kept; otherwise a delayed duplicate of one would run again.
bool canEvict(const GrantState &state, const std::string &orderId)
{
    return orderId != state.activeOrder && state.orders.at(orderId).grant != state.current->id;
}

void evictOldOrders(GrantState &state, const GrantSettings &settings)
{
    while (state.orderIdsByAge.size() > settings.maxRememberedOrders && canEvict(state, state.orderIdsByAge.front())) {
        state.orders.erase(state.orderIdsByAge.front());
        state.orderIdsByAge.erase(state.orderIdsByAge.begin());
    }
}

} // namespace

const char *toString(OrderState state) noexcept
{
    switch (state) {
    case OrderState::Draining:
        return "draining";
    case OrderState::Sending:
        return "sending";
    case OrderState::Confirming:
        return "confirming";
    case OrderState::Done:
        return "done";
    case OrderState::Failed:
        return "failed";
    case OrderState::Unknown:
        return "unknown";
    }
    return "";
}

bool isFinal(OrderState state) noexcept
{
    return state == OrderState::Done || state == OrderState::Failed || state == OrderState::Unknown;
}

GrantState initialGrantState(TimePoint now, const GrantSettings &settings)
{
    GrantState state;
    state.grantsAllowedFrom = now + std::max(settings.duration, settings.orderTimeout);
    return state;
}

void observeEngineState(GrantState &state, const EngineState &engine, TimePoint queriedAt) noexcept
{
    observeFencingToken(state, engine.lastFence);
    if (queriedAt >= state.grantsAllowedFrom && !engine.changing) {
        state.engineStateKnown = true;
    }
}

void observeFencingToken(GrantState &state, Offset fencingToken) noexcept
{
    state.highestFencingToken = std::max(state.highestFencingToken, fencingToken);
}

std::optional<Grant>
requestGrant(GrantState &state, Incarnation holder, Offset fencingToken, std::uint64_t newId, TimePoint now, const GrantSettings &settings, Reason &reason)
{
    observeFencingToken(state, fencingToken);
    if (!ready(state, now, reason)) {
        return std::nullopt;
    }
    if (fencingToken < state.highestFencingToken) {
        reason = {Step::Grant, "", "a higher fencing number was seen"};
        return std::nullopt;
    }
    const bool same = hasValidGrant(state, now) && state.current->holder == holder && state.current->fencingToken == fencingToken;
    if (!same && (hasValidGrant(state, now) || state.activeOrder)) {
        reason = {Step::Grant, "", "another holder's grant or order has not ended"};
        return std::nullopt;
    }
    if (!same) {
        state.current = Grant{newId, std::move(holder), fencingToken, {}};
    }
    state.current->expires = now + settings.duration;
    return state.current;
}

std::optional<Grant> renewGrant(GrantState &state, std::uint64_t grant, TimePoint now, const GrantSettings &settings, Reason &reason)
{
    if (!isGrantValid(state, grant, now)) {
        reason = {Step::Grant, "", "the grant has lapsed"};
        return std::nullopt;
    }
    if (state.current->fencingToken < state.highestFencingToken) {
        reason = {Step::Grant, "", "a higher fencing number was seen"};
        return std::nullopt;
    }
    state.current->expires = now + settings.duration;
    return state.current;
}

bool isGrantValid(const GrantState &state, std::uint64_t grant, TimePoint now) noexcept
{
    return hasValidGrant(state, now) && state.current->id == grant;
}

std::optional<OrderDecision> acceptOrder(GrantState &state, const EngineOrder &order, TimePoint now, const GrantSettings &settings, Reason &reason)
{
    const auto known = state.orders.find(order.orderId);
    if (known != state.orders.end()) {
        return OrderDecision{.run = false, .progress = known->second};
    }
    if (!isGrantValid(state, order.grant, now)) {
        reason = {Step::Order, "", "the order's grant is not in force"};
        return std::nullopt;
    }
    if (state.activeOrder) {
        reason = {Step::Order, "", "another order has not ended"};
        return std::nullopt;
    }
    OrderProgress progress{
        .orderId = order.orderId, .state = OrderState::Draining, .detail = {}, .grant = order.grant, .fencingToken = state.current->fencingToken};
    state.orders[order.orderId] = progress;
    state.orderIdsByAge.push_back(order.orderId);
    state.activeOrder = order.orderId;
    evictOldOrders(state, settings);
    return OrderDecision{.run = true, .progress = std::move(progress)};
}

void updateOrder(GrantState &state, const std::string &orderId, OrderState orderState, std::string detail)
{
    const auto order = state.orders.find(orderId);
    if (order == state.orders.end()) {
        return;
    }
    order->second.state = orderState;
    order->second.detail = std::move(detail);
    const bool ended = orderState == OrderState::Done || orderState == OrderState::Failed;
    if (ended && state.activeOrder == orderId) {
        state.activeOrder.reset();
    }
}

void clearUnknownOrder(GrantState &state)
{
    if (!state.activeOrder) {
        return;
    }
    const auto order = state.orders.find(*state.activeOrder);
    if (order == state.orders.end() || order->second.state == OrderState::Unknown) {
        state.activeOrder.reset();
    }
}

} // namespace snipehill
