#include "targetcontroller.h"

#include <process/log.h>
#include <process/logclient.h>
#include <process/metrics.h>

#include <utility>

namespace snipehill
{

namespace asio = boost::asio;

TargetController::TargetController(const ControlSettings &settings, const ControlHooks &hooks, LeaseManager &leases, std::string failureDomain)
    : m_settings(settings), m_hooks(hooks), m_leases(leases), m_scope(scopes::targets(failureDomain))
{
    m_orders.failureDomain = std::move(failureDomain);
    m_reader.log = settings.log;
    m_reader.stream = streams::orders;
    m_reader.onGap = [this] {
        m_orders = TargetOrderTable{.failureDomain = m_orders.failureDomain};
    };
    m_reader.onRecord = [this](Offset, const Json::Value &value) {
        Reason reason;
        if (const auto record = parseTargetOrderRecord(value, reason)) {
            applyTargetOrderRecord(m_orders, *record);
        }
    };
}

void TargetController::logFailure(const char *message, const Reason &reason) const
{
    logEvent(LogComponent::Orders, LogLevel::Warning, message, reason, {{"failureDomain", m_orders.failureDomain}});
}

asio::awaitable<void> TargetController::step()
{
    if (!m_leases.mayCall(m_scope, m_settings.callTimeout)) {
        co_return;
    }
    Reason reason;
    const bool read = co_await readLogToEnd(m_reader, reason);
    if (!read) {
        logFailure("could not read target orders", reason);
        co_return;
    }
    if (m_orders.pending.empty()) {
        co_await recordNextOrder();
    }
    co_await sendPending();
}

asio::awaitable<void> TargetController::recordNextOrder()
{
    const auto planned = m_hooks.planTargets ? m_hooks.planTargets(m_orders.failureDomain, Clock::now()) : std::nullopt;
    const auto epoch = m_leases.epoch(m_scope);
    if (!planned || !epoch) {
        co_return;
    }
    TargetOrder order;
    order.orderId = randomRequestId();
    order.start = planned->start;
    order.targetGroup = planned->targetGroup;
    order.failureDomain = m_orders.failureDomain;
    order.instance = planned->instance;
    order.epoch = *epoch;
    Reason reason;
    std::vector<Json::Value> records;
    records.push_back(toJson(order));
    // The result is ignored: reading back, here or in the next step(), shows whether the order was recorded.
    co_await appendLog(m_settings.log, streams::orders, std::move(records), reason);
    const bool read = co_await readLogToEnd(m_reader, reason);
    if (!read) {
        logFailure("could not read back a target order", reason);
    }
}

asio::awaitable<void> TargetController::sendPending()
{
    const std::map<std::string, TargetOrder> pending = m_orders.pending;
    for (const auto &[id, order] : pending) {
        PlatformCall call{
            .service = m_settings.targets, .path = order.start ? "/targets/start" : "/targets/stop", .scope = m_scope, .timeout = m_settings.callTimeout};
        call.body["orderId"] = order.orderId;
        if (order.start) {
            call.body["targetGroup"] = order.targetGroup;
            call.body["failureDomain"] = order.failureDomain;
        } else {
            call.body["instance"] = order.instance;
        }
        Reason reason;
        const auto response = co_await callPlatform(m_leases, std::move(call), reason);
        processMetrics().count(Counter::Orders, {order.start ? "start" : "stop", response ? "done" : "not_answered"});
        if (!response) {
            logFailure("target order has no answer yet", reason);
            co_return;
        }
        TargetOrderDone done{order.orderId, order.failureDomain, order.instance};
        if (order.start && (*response)["instance"].isString()) {
            done.instance = (*response)["instance"].asString();
        }
        logEvent(
            LogComponent::Orders, LogLevel::Info, order.start ? "target started" : "target stopped", {{"instance", done.instance}, {"order", done.orderId}});
        // If this append fails, the order is sent again under the same id and the platform repeats its response.
        std::vector<Json::Value> records;
        records.push_back(toJson(done));
        co_await appendLog(m_settings.log, streams::orders, std::move(records), reason);
    }
}

} // namespace snipehill
