#include <process/sidecarcontrol.h>

#include "grantjson.h"
#include "peercalls.h"
#include <process/pause.h>

#include <connection/httpclient.h>
#include <process/lease.h>
#include <process/leasemanager.h>
#include <process/log.h>
#include <process/logclient.h>
#include <process/metrics.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <utility>

namespace snipehill
{

namespace asio = boost::asio;

/** State shared by the coroutines, which keep it alive. */
struct SidecarControl::State
{
    State(asio::any_io_executor ioExecutor,
          SidecarControlSettings authoritySettings,
          DrainHooks drainHooks,
          PeerCall peerCall,
          std::function<std::vector<Endpoint>()> peerList)
        : executor(std::move(ioExecutor))
        , settings(std::move(authoritySettings))
        , hooks(std::move(drainHooks))
        , call(std::move(peerCall))
        , peers(std::move(peerList))
        , usage(settings.self, settings.usageWindow)
        , grants(initialGrantState(Clock::now(), settings.grant))
    {
    }

    bool isCurrentGrant(std::uint64_t grant)
    {
        const std::lock_guard lock(mutex);
        return isGrantValid(grants, grant, Clock::now());
    }

    const asio::any_io_executor executor;
    const SidecarControlSettings settings;
    const DrainHooks hooks;
    const PeerCall call;
    const std::function<std::vector<Endpoint>()> peers;
    SidecarUsage usage;
    std::atomic<bool> stopped = false;

    std::mutex mutex;
    GrantState grants;
};

namespace
{

using StatePointer = std::shared_ptr<SidecarControl::State>;

asio::awaitable<std::optional<EngineState>> queryEngineState(StatePointer state, Reason &reason)
{
    HttpCall call{.peer = state->settings.target, .timeout = state->settings.grant.orderTimeout, .step = Step::Order};
    call.target = "/state";
    call.bodyLimit = shortBodyBytes;
    const auto response = co_await httpCall(std::move(call), reason);
    if (!response) {
        co_return std::nullopt;
    }
    co_return parseEngineState(response->body(), reason);
}

/** Highest fencing token of the group's scope in the log; empty if the log does not answer. */
asio::awaitable<std::optional<Offset>> readFencingTokenFromLog(StatePointer state)
{
    std::optional<LeaseTable> table;
    while (true) {
        Reason reason;
        const Offset from = table ? table->next : 0;
        const auto page = co_await readLog(state->settings.log, streams::leases, from, milliseconds(0), reason);
        if (!page) {
            co_return std::nullopt;
        }
        if (!table || from < page->firstRetained) {
            table = startLeaseTable(page->firstRetained);
        }
        for (const LogRecord &entry : page->records) {
            if (const auto record = parseLeaseRecord(entry.value, reason)) {
                applyLeaseRecord(*table, entry.offset, *record);
            }
        }
        if (page->records.empty()) {
            co_return highestEpoch(*table, scopes::roles(state->settings.targetGroup));
        }
        advanceReadPosition(*table, page->firstRetained, page->records.back().offset + 1);
    }
}

/** Highest fencing token known to a peer; empty if no peer answers. */
asio::awaitable<std::optional<Offset>> queryFencingTokenFromPeers(StatePointer state)
{
    std::vector<PeerRequest> requests;
    for (const Endpoint &peer : state->peers()) {
        Json::Value params;
        params["scope"] = scopes::roles(state->settings.targetGroup);
        requests.push_back({peer, "lease.epoch", std::move(params)});
    }
    std::optional<Offset> highest;
    const std::vector<std::optional<Json::Value>> responses = co_await callPeers(state->call, std::move(requests), state->settings.grant.orderTimeout);
    for (const std::optional<Json::Value> &response : responses) {
        if (response && response->isObject() && (*response)["epoch"].isInt64()) {
            highest = std::max(highest.value_or(noOffset), Offset((*response)["epoch"].asInt64()));
        }
    }
    co_return highest;
}

asio::awaitable<void> learnFencingToken(StatePointer state)
{
    std::optional<Offset> fencingToken = co_await readFencingTokenFromLog(state);
    if (!fencingToken) {
        fencingToken = co_await queryFencingTokenFromPeers(state);
    }
    if (fencingToken) {
        const std::lock_guard lock(state->mutex);
        observeFencingToken(state->grants, *fencingToken);
        state->grants.fencingTokenKnown = true;
    }
}

/** Takes in a state that was read outside of an order. Ends an order of unknown outcome if the engine is not in a change. */
void applyWatchedState(const StatePointer &state, const EngineState &engine, TimePoint queriedAt)
{
    bool resumed = false;
    {
        const std::lock_guard lock(state->mutex);
        observeEngineState(state->grants, engine, queriedAt);
        const std::optional<std::string> before = state->grants.activeOrder;
        if (!engine.changing) {
            clearUnknownOrder(state->grants);
        }
        resumed = before && !state->grants.activeOrder;
    }
    state->hooks.onEngineRole(engine.role);
    if (resumed) {
        state->hooks.resumeAccepting();
    }
}

asio::awaitable<void> watchEngine(StatePointer state)
{
    while (!state->stopped) {
        bool known = false;
        {
            const std::lock_guard lock(state->mutex);
            known = state->grants.fencingTokenKnown;
        }
        if (!known) {
            co_await learnFencingToken(state);
        }
        Reason reason;
        const TimePoint queriedAt = Clock::now();
        const std::optional<EngineState> engine = co_await queryEngineState(state, reason);
        if (engine) {
            applyWatchedState(state, *engine, queriedAt);
        }
        co_await pauseFor(state->settings.watchInterval);
    }
}

/** Waits until no request is running. Running requests are never aborted. */
asio::awaitable<void> drain(StatePointer state, EngineOrder order, EngineOrderMachine &change)
{
    const TimePoint end = Clock::now() + state->settings.drainTimeout;
    state->hooks.stopAccepting();
    while (change.step() == OrderStep::Drain) {
        if (!state->isCurrentGrant(order.grant)) {
            change.onGrantExpired();
        } else if (state->hooks.running() == 0) {
            change.onIdle();
        } else if (Clock::now() >= end) {
            change.onDrainTimeout();
        } else {
            co_await pauseFor(state->settings.pollInterval);
        }
    }
}

asio::awaitable<void> send(StatePointer state, EngineOrder order, Offset fencingToken, EngineOrderMachine &change)
{
    auto notSent = std::make_shared<bool>(false);
    HttpCall call{.peer = state->settings.target, .method = boost::beast::http::verb::post, .timeout = state->settings.grant.orderTimeout, .step = Step::Order};
    call.target = "/orders";
    call.bodyLimit = shortBodyBytes;
    call.body = engineOrderBody(order, fencingToken);
    call.maySend = [state, grant = order.grant, notSent] {
        *notSent = !state->isCurrentGrant(grant);
        return !*notSent;
    };
    Reason reason;
    const auto response = co_await httpCall(std::move(call), reason);
    if (*notSent) {
        change.onGrantExpired();
    } else if (!response) {
        change.onNoResponse();
    } else if (response->result_int() == 200) {
        change.onAccepted();
    } else {
        change.onRefused("the engine answered " + std::to_string(response->result_int()));
    }
}

asio::awaitable<void> confirm(StatePointer state, EngineOrderMachine &change)
{
    // The call has ended and its connection was reset, but a copy still in flight may arrive until the order timeout.
    const TimePoint noCopyAfter = Clock::now() + state->settings.grant.orderTimeout;
    const TimePoint end = Clock::now() + state->settings.confirmTimeout;
    while (change.step() == OrderStep::QueryState) {
        Reason reason;
        const TimePoint queriedAt = Clock::now();
        const std::optional<EngineState> engine = co_await queryEngineState(state, reason);
        if (engine) {
            change.onEngineState(*engine, queriedAt >= noCopyAfter);
        }
        if (change.step() == OrderStep::Finish) {
            state->hooks.onEngineRole(engine->role);
        } else if (Clock::now() >= end) {
            change.onConfirmTimeout();
        } else {
            co_await pauseFor(state->settings.pollInterval);
        }
    }
}

void storeProgress(const StatePointer &state, const EngineOrder &order, const EngineOrderMachine &change)
{
    const std::lock_guard lock(state->mutex);
    updateOrder(state->grants, order.orderId, change.state(), change.detail());
}

asio::awaitable<void> runOrder(StatePointer state, EngineOrder order, Offset fencingToken)
{
    EngineOrderMachine change(order.orderId);
    co_await drain(state, order, change);
    storeProgress(state, order, change);
    if (change.step() == OrderStep::Send) {
        co_await send(state, order, fencingToken, change);
        storeProgress(state, order, change);
    }
    co_await confirm(state, change);
    // After an unknown outcome, watchEngine() resumes accepting once the engine has reported its state.
    if (change.state() != OrderState::Unknown) {
        state->hooks.resumeAccepting();
    }
    storeProgress(state, order, change);
    processMetrics().count(Counter::Orders, {order.kind == EngineOrder::Kind::Role ? "role" : "load", toString(change.state())});
    logEvent(LogComponent::Orders,
             LogLevel::Info,
             "engine order ended",
             {{"order", order.orderId}, {"state", toString(change.state())}, {"detail", change.detail()}});
}

std::optional<Json::Value> handleGrantRequest(const StatePointer &state, const Json::Value &params, Reason &reason)
{
    const auto request = parseGrantRequest(params, reason);
    if (!request) {
        return std::nullopt;
    }
    const std::lock_guard lock(state->mutex);
    const TimePoint now = Clock::now();
    const auto grant = requestGrant(state->grants, request->holder, request->fencingToken, randomId(), now, state->settings.grant, reason);
    processMetrics().count(Counter::GrantChanges, {grant ? "given" : "refused"});
    return grant ? std::optional(toJson(*grant, now)) : std::nullopt;
}

std::optional<Json::Value> handleGrantRenewal(const StatePointer &state, const Json::Value &params, Reason &reason)
{
    if (!params.isObject() || !params["grant"].isUInt64()) {
        reason = {Step::Grant, "", "renewal lacks the grant"};
        return std::nullopt;
    }
    const std::lock_guard lock(state->mutex);
    const TimePoint now = Clock::now();
    const auto grant = renewGrant(state->grants, params["grant"].asUInt64(), now, state->settings.grant, reason);
    processMetrics().count(Counter::GrantChanges, {grant ? "renewed" : "renewal_refused"});
    return grant ? std::optional(toJson(*grant, now)) : std::nullopt;
}

std::optional<Json::Value> handleOrderRun(const StatePointer &state, const Json::Value &params, Reason &reason)
{
    const auto order = parseEngineOrder(params, reason);
    if (!order) {
        return std::nullopt;
    }
    std::optional<OrderDecision> decision;
    {
        const std::lock_guard lock(state->mutex);
        decision = acceptOrder(state->grants, *order, Clock::now(), state->settings.grant, reason);
    }
    if (!decision) {
        return std::nullopt;
    }
    // Spawned without the lock: the coroutine takes the lock and may start running inside co_spawn.
    if (decision->run) {
        asio::co_spawn(state->executor, runOrder(state, *order, decision->progress.fencingToken), asio::detached);
    }
    return toJson(decision->progress);
}

std::optional<Json::Value> handleOrderState(const StatePointer &state, const Json::Value &params)
{
    const std::string orderId = params.isObject() && params["orderId"].isString() ? params["orderId"].asString() : "";
    const std::lock_guard lock(state->mutex);
    const auto order = state->grants.orders.find(orderId);
    if (order != state->grants.orders.end()) {
        return toJson(order->second);
    }
    Json::Value response;
    response["orderId"] = orderId;
    response["state"] = "not known here";
    response["final"] = true;
    response["detail"] = "the sidecar was restarted or never got the order";
    return response;
}

std::optional<Json::Value> handleEpoch(const StatePointer &state, const Json::Value &params, Reason &reason)
{
    const bool own = params.isObject() && params["scope"].isString() && params["scope"].asString() == scopes::roles(state->settings.targetGroup);
    const std::lock_guard lock(state->mutex);
    if (!own || !state->grants.fencingTokenKnown) {
        reason = {Step::Lease, "", "the scope's epoch is not known here"};
        return std::nullopt;
    }
    Json::Value response;
    response["epoch"] = Json::Int64(state->grants.highestFencingToken);
    return response;
}

void addGrantMethods(const StatePointer &state, RpcMethods &methods)
{
    methods["grant.request"] = [state](const Json::Value &params, Reason &reason) {
        return handleGrantRequest(state, params, reason);
    };
    methods["grant.renew"] = [state](const Json::Value &params, Reason &reason) {
        return handleGrantRenewal(state, params, reason);
    };
    methods["order.run"] = [state](const Json::Value &params, Reason &reason) {
        return handleOrderRun(state, params, reason);
    };
    methods["order.state"] = [state](const Json::Value &params, Reason &) {
        return handleOrderState(state, params);
    };
    methods["lease.epoch"] = [state](const Json::Value &params, Reason &reason) {
        return handleEpoch(state, params, reason);
    };
}

void setGauges(SidecarControl::State &state, Metrics &metrics)
{
    metrics.set(Gauge::UsageWindows, {}, static_cast<double>(state.usage.windows()));
    if (!state.settings.engine) {
        return;
    }
    const std::lock_guard lock(state.mutex);
    const auto &grant = state.grants.current;
    metrics.set(Gauge::GrantState, {}, grant && grant->expires > Clock::now() ? 1 : 0);
    metrics.set(Gauge::GrantFencingToken, {}, static_cast<double>(state.grants.highestFencingToken));
}

} // namespace

SidecarControl::SidecarControl(asio::any_io_executor executor,
                               SidecarControlSettings settings,
                               DrainHooks hooks,
                               PeerCall call,
                               std::function<std::vector<Endpoint>()> peers)
    : m_state(std::make_shared<State>(std::move(executor), std::move(settings), std::move(hooks), std::move(call), std::move(peers)))
{
}

SidecarControl::~SidecarControl()
{
    m_state->stopped = true;
}

RpcMethods SidecarControl::methods()
{
    const StatePointer state = m_state;
    RpcMethods methods;
    if (state->settings.engine) {
        addGrantMethods(state, methods);
    }
    methods["usage.read"] = [state](const Json::Value &params, Reason &) -> std::optional<Json::Value> {
        return state->usage.read(params);
    };
    methods["usage.settled"] = [state](const Json::Value &params, Reason &reason) -> std::optional<Json::Value> {
        const auto sources = parseUsageSources(params, reason);
        if (!sources) {
            return std::nullopt;
        }
        state->usage.removeClosed(*sources);
        return Json::Value(Json::objectValue);
    };
    return methods;
}

void SidecarControl::start()
{
    processMetrics().onScrape([weak = std::weak_ptr(m_state)](Metrics &metrics) {
        if (const auto state = weak.lock()) {
            setGauges(*state, metrics);
        }
    });
    if (m_state->settings.engine) {
        asio::co_spawn(m_state->executor, watchEngine(m_state), asio::detached);
    }
}

void SidecarControl::stop()
{
    m_state->stopped = true;
}

SidecarUsage &SidecarControl::usage() noexcept
{
    return m_state->usage;
}

} // namespace snipehill
