#include <process/grant.h>

#include <algorithm>
#include <utility>

namespace snipehill
{

namespace
{

bool inForce(const GrantState &state, TimePoint now) noexcept
{
    return state.current && now < state.current->expires;
}

bool ready(const GrantState &state, TimePoint now, Reason &reason)
{
    if (now < state.readyFrom) {
        reason = {Step::Grant, "", "grants of an earlier run may be in force"};
        return false;
    }
    if (!state.fenceLearnt) {
        reason = {Step::Grant, "", "the highest fencing number is not known yet"};
        return false;
    }
    if (!state.engineAsked) {
        reason = {Step::Grant, "", "the engine has not told its state"};
        return false;
    }
    return true;
}

// An order of a grant that may still be in force is kept, else a late copy of it would run again.
bool mayForget(const GrantState &state, const std::string &orderId)
{
    return orderId != state.activeOrder && state.orders.at(orderId).grant != state.current->id;
}

void forgetOldOrders(GrantState &state, const GrantSettings &settings)
{
    while (state.orderSequence.size() > settings.rememberedOrders && mayForget(state, state.orderSequence.front())) {
        state.orders.erase(state.orderSequence.front());
        state.orderSequence.erase(state.orderSequence.begin());
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

GrantState startGrants(TimePoint now, const GrantSettings &settings)
{
    GrantState state;
    state.readyFrom = now + std::max(settings.duration, settings.orderBound);
    return state;
}

void noteEngineState(GrantState &state, const EngineState &engine, TimePoint asked) noexcept
{
    noteFence(state, engine.lastFence);
    if (asked >= state.readyFrom && !engine.changing) {
        state.engineAsked = true;
    }
}

void noteFence(GrantState &state, Offset fence) noexcept
{
    state.highestFence = std::max(state.highestFence, fence);
}

std::optional<Grant>
requestGrant(GrantState &state, Incarnation holder, Offset fence, std::uint64_t newId, TimePoint now, const GrantSettings &settings, Reason &reason)
{
    noteFence(state, fence);
    if (!ready(state, now, reason)) {
        return std::nullopt;
    }
    if (fence < state.highestFence) {
        reason = {Step::Grant, "", "a higher fencing number was seen"};
        return std::nullopt;
    }
    const bool same = inForce(state, now) && state.current->holder == holder && state.current->fence == fence;
    if (!same && (inForce(state, now) || state.activeOrder)) {
        reason = {Step::Grant, "", "another holder's grant or order has not ended"};
        return std::nullopt;
    }
    if (!same) {
        state.current = Grant{newId, std::move(holder), fence, {}};
    }
    state.current->expires = now + settings.duration;
    return state.current;
}

std::optional<Grant> renewGrant(GrantState &state, std::uint64_t grant, TimePoint now, const GrantSettings &settings, Reason &reason)
{
    if (!grantInForce(state, grant, now)) {
        reason = {Step::Grant, "", "the grant has lapsed"};
        return std::nullopt;
    }
    if (state.current->fence < state.highestFence) {
        reason = {Step::Grant, "", "a higher fencing number was seen"};
        return std::nullopt;
    }
    state.current->expires = now + settings.duration;
    return state.current;
}

bool grantInForce(const GrantState &state, std::uint64_t grant, TimePoint now) noexcept
{
    return inForce(state, now) && state.current->id == grant;
}

std::optional<OrderDecision> acceptOrder(GrantState &state, const EngineOrder &order, TimePoint now, const GrantSettings &settings, Reason &reason)
{
    const auto known = state.orders.find(order.orderId);
    if (known != state.orders.end()) {
        return OrderDecision{.run = false, .progress = known->second};
    }
    if (!grantInForce(state, order.grant, now)) {
        reason = {Step::Order, "", "the order's grant is not in force"};
        return std::nullopt;
    }
    if (state.activeOrder) {
        reason = {Step::Order, "", "another order has not ended"};
        return std::nullopt;
    }
    OrderProgress progress{.orderId = order.orderId, .state = OrderState::Draining, .detail = {}, .grant = order.grant, .fence = state.current->fence};
    state.orders[order.orderId] = progress;
    state.orderSequence.push_back(order.orderId);
    state.activeOrder = order.orderId;
    forgetOldOrders(state, settings);
    return OrderDecision{.run = true, .progress = std::move(progress)};
}

void noteOrder(GrantState &state, const std::string &orderId, OrderState orderState, std::string detail)
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
