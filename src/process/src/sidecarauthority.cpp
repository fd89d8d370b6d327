#include <process/sidecarauthority.h>

#include "grantjson.h"
#include "peercalls.h"
#include <process/pause.h>

#include <connection/httpclient.h>
#include <process/lease.h>
#include <process/leasekeeper.h>
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

/** Grants under a lock; the coroutines keep it alive. */
struct SidecarAuthority::State
{
    State(asio::any_io_executor ioExecutor,
          SidecarAuthoritySettings authoritySettings,
          DrainHooks drainHooks,
          PeerCall peerCall,
          std::function<std::vector<Endpoint>()> peerList)
        : executor(std::move(ioExecutor))
        , settings(std::move(authoritySettings))
        , hooks(std::move(drainHooks))
        , call(std::move(peerCall))
        , peers(std::move(peerList))
        , usage(settings.self, settings.usageWindow)
        , grants(startGrants(Clock::now(), settings.grant))
    {
    }

    bool inForce(std::uint64_t grant)
    {
        const std::lock_guard lock(mutex);
        return grantInForce(grants, grant, Clock::now());
    }

    const asio::any_io_executor executor;
    const SidecarAuthoritySettings settings;
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

using StatePointer = std::shared_ptr<SidecarAuthority::State>;

asio::awaitable<std::optional<EngineState>> askEngine(StatePointer state, Reason &reason)
{
    HttpCall call{.peer = state->settings.target, .timeout = state->settings.grant.orderBound, .step = Step::Order};
    call.target = "/state";
    const auto response = co_await httpCall(std::move(call), reason);
    if (!response) {
        co_return std::nullopt;
    }
    co_return parseEngineState(response->body(), reason);
}

/** Highest number of the group's scope in the log; empty if the log does not answer. */
asio::awaitable<std::optional<Offset>> fenceFromLog(StatePointer state)
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
        noteLeasesRead(*table, page->firstRetained, page->records.back().offset + 1);
    }
}

/** Highest number that a peer knows; empty if none answers. */
asio::awaitable<std::optional<Offset>> fenceFromPeers(StatePointer state)
{
    std::vector<PeerRequest> requests;
    for (const Endpoint &peer : state->peers()) {
        Json::Value params;
        params["scope"] = scopes::roles(state->settings.targetGroup);
        requests.push_back({peer, "lease.epoch", std::move(params)});
    }
    std::optional<Offset> highest;
    const std::vector<std::optional<Json::Value>> answers = co_await callPeers(state->call, std::move(requests), state->settings.grant.orderBound);
    for (const std::optional<Json::Value> &answer : answers) {
        if (answer && answer->isObject() && (*answer)["epoch"].isInt64()) {
            highest = std::max(highest.value_or(noOffset), Offset((*answer)["epoch"].asInt64()));
        }
    }
    co_return highest;
}

asio::awaitable<void> learnFence(StatePointer state)
{
    std::optional<Offset> fence = co_await fenceFromLog(state);
    if (!fence) {
        fence = co_await fenceFromPeers(state);
    }
    if (fence) {
        const std::lock_guard lock(state->mutex);
        noteFence(state->grants, *fence);
        state->grants.fenceLearnt = true;
    }
}

/** Ends an order of unknown outcome once the engine tells its state. */
void takeWatchedState(const StatePointer &state, const EngineState &engine, TimePoint asked)
{
    bool resumed = false;
    {
        const std::lock_guard lock(state->mutex);
        noteEngineState(state->grants, engine, asked);
        const std::optional<std::string> before = state->grants.activeOrder;
        if (!engine.changing) {
            clearUnknownOrder(state->grants);
        }
        resumed = before && !state->grants.activeOrder;
    }
    state->hooks.noteRole(engine.role);
    if (resumed) {
        state->hooks.resumeAccepting();
    }
}

asio::awaitable<void> watch(StatePointer state)
{
    while (!state->stopped) {
        bool learnt = false;
        {
            const std::lock_guard lock(state->mutex);
            learnt = state->grants.fenceLearnt;
        }
        if (!learnt) {
            co_await learnFence(state);
        }
        Reason reason;
        const TimePoint asked = Clock::now();
        const std::optional<EngineState> engine = co_await askEngine(state, reason);
        if (engine) {
            takeWatchedState(state, *engine, asked);
        }
        co_await pauseFor(state->settings.watchInterval);
    }
}

/** Waits until no request runs; nothing that runs is cut. */
asio::awaitable<void> drain(StatePointer state, EngineOrder order, RoleChangeMachine &change)
{
    const TimePoint end = Clock::now() + state->settings.drainBound;
    state->hooks.stopAccepting();
    while (change.step() == OrderStep::Drain) {
        if (!state->inForce(order.grant)) {
            change.onGrantLapsed();
        } else if (state->hooks.running() == 0) {
            change.onIdle();
        } else if (Clock::now() >= end) {
            change.onDrainBound();
        } else {
            co_await pauseFor(state->settings.pollInterval);
        }
    }
}

asio::awaitable<void> send(StatePointer state, EngineOrder order, Offset fence, RoleChangeMachine &change)
{
    auto withheld = std::make_shared<bool>(false);
    HttpCall call{.peer = state->settings.target, .method = boost::beast::http::verb::post, .timeout = state->settings.grant.orderBound, .step = Step::Order};
    call.target = "/orders";
    call.body = engineOrderBody(order, fence);
    call.maySend = [state, grant = order.grant, withheld] {
        *withheld = !state->inForce(grant);
        return !*withheld;
    };
    Reason reason;
    const auto response = co_await httpCall(std::move(call), reason);
    if (*withheld) {
        change.onGrantLapsed();
    } else if (!response) {
        change.onUnanswered();
    } else if (response->result_int() == 200) {
        change.onAccepted();
    } else {
        change.onRefused("the engine answered " + std::to_string(response->result_int()));
    }
}

asio::awaitable<void> confirm(StatePointer state, RoleChangeMachine &change)
{
    // The call has ended and its connection was reset, but a copy on the way may arrive within its bound.
    const TimePoint settled = Clock::now() + state->settings.grant.orderBound;
    const TimePoint end = Clock::now() + state->settings.confirmBound;
    while (change.step() == OrderStep::AskState) {
        Reason reason;
        const TimePoint asked = Clock::now();
        const std::optional<EngineState> engine = co_await askEngine(state, reason);
        if (engine) {
            change.onEngineState(*engine, asked >= settled);
        }
        if (change.step() == OrderStep::Finish) {
            state->hooks.noteRole(engine->role);
        } else if (Clock::now() >= end) {
            change.onConfirmBound();
        } else {
            co_await pauseFor(state->settings.pollInterval);
        }
    }
}

void noteProgress(const StatePointer &state, const EngineOrder &order, const RoleChangeMachine &change)
{
    const std::lock_guard lock(state->mutex);
    noteOrder(state->grants, order.orderId, change.state(), change.detail());
}

asio::awaitable<void> runOrder(StatePointer state, EngineOrder order, Offset fence)
{
    RoleChangeMachine change(order.orderId);
    co_await drain(state, order, change);
    noteProgress(state, order, change);
    if (change.step() == OrderStep::Send) {
        co_await send(state, order, fence, change);
        noteProgress(state, order, change);
    }
    co_await confirm(state, change);
    // Of an order with unknown outcome the watch ends the drain, once the engine tells its state.
    if (change.state() != OrderState::Unknown) {
        state->hooks.resumeAccepting();
    }
    noteProgress(state, order, change);
    processMetrics().count(Counter::Orders, {order.kind == EngineOrder::Kind::Role ? "role" : "load", toString(change.state())});
    logEvent(Part::Orders, Level::Info, "order ended", {{"order", order.orderId}, {"state", toString(change.state())}, {"detail", change.detail()}});
}

std::optional<Json::Value> handleRequest(const StatePointer &state, const Json::Value &params, Reason &reason)
{
    const auto request = parseGrantRequest(params, reason);
    if (!request) {
        return std::nullopt;
    }
    const std::lock_guard lock(state->mutex);
    const TimePoint now = Clock::now();
    const auto grant = requestGrant(state->grants, request->holder, request->fence, randomId(), now, state->settings.grant, reason);
    processMetrics().count(Counter::GrantChanges, {grant ? "given" : "refused"});
    return grant ? std::optional(toJson(*grant, now)) : std::nullopt;
}

std::optional<Json::Value> handleRenewal(const StatePointer &state, const Json::Value &params, Reason &reason)
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

std::optional<Json::Value> handleOrder(const StatePointer &state, const Json::Value &params, Reason &reason)
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
    // Without the lock: the coroutine may start to run right here, and it takes the lock.
    if (decision->run) {
        asio::co_spawn(state->executor, runOrder(state, *order, decision->progress.fence), asio::detached);
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
    Json::Value answer;
    answer["orderId"] = orderId;
    answer["state"] = "not known here";
    answer["final"] = true;
    answer["detail"] = "the sidecar was restarted or never got the order";
    return answer;
}

std::optional<Json::Value> handleEpoch(const StatePointer &state, const Json::Value &params, Reason &reason)
{
    const bool own = params.isObject() && params["scope"].isString() && params["scope"].asString() == scopes::roles(state->settings.targetGroup);
    const std::lock_guard lock(state->mutex);
    if (!own || !state->grants.fenceLearnt) {
        reason = {Step::Lease, "", "the scope's epoch is not known here"};
        return std::nullopt;
    }
    Json::Value answer;
    answer["epoch"] = Json::Int64(state->grants.highestFence);
    return answer;
}

void addGrantMethods(const StatePointer &state, RpcMethods &methods)
{
    methods["grant.request"] = [state](const Json::Value &params, Reason &reason) {
        return handleRequest(state, params, reason);
    };
    methods["grant.renew"] = [state](const Json::Value &params, Reason &reason) {
        return handleRenewal(state, params, reason);
    };
    methods["order.run"] = [state](const Json::Value &params, Reason &reason) {
        return handleOrder(state, params, reason);
    };
    methods["order.state"] = [state](const Json::Value &params, Reason &) {
        return handleOrderState(state, params);
    };
    methods["lease.epoch"] = [state](const Json::Value &params, Reason &reason) {
        return handleEpoch(state, params, reason);
    };
}

void setGauges(SidecarAuthority::State &state, Metrics &metrics)
{
    metrics.set(Gauge::UsageWindows, {}, static_cast<double>(state.usage.windows()));
    if (!state.settings.engine) {
        return;
    }
    const std::lock_guard lock(state.mutex);
    const auto &grant = state.grants.current;
    metrics.set(Gauge::GrantState, {}, grant && grant->expires > Clock::now() ? 1 : 0);
    metrics.set(Gauge::GrantFence, {}, static_cast<double>(state.grants.highestFence));
}

} // namespace

SidecarAuthority::SidecarAuthority(asio::any_io_executor executor,
                                   SidecarAuthoritySettings settings,
                                   DrainHooks hooks,
                                   PeerCall call,
                                   std::function<std::vector<Endpoint>()> peers)
    : m_state(std::make_shared<State>(std::move(executor), std::move(settings), std::move(hooks), std::move(call), std::move(peers)))
{
}

SidecarAuthority::~SidecarAuthority()
{
    m_state->stopped = true;
}

RpcMethods SidecarAuthority::methods()
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

void SidecarAuthority::start()
{
    processMetrics().onScrape([weak = std::weak_ptr(m_state)](Metrics &metrics) {
        if (const auto state = weak.lock()) {
            setGauges(*state, metrics);
        }
    });
    if (m_state->settings.engine) {
        asio::co_spawn(m_state->executor, watch(m_state), asio::detached);
    }
}

void SidecarAuthority::stop()
{
    m_state->stopped = true;
}

SidecarUsage &SidecarAuthority::usage() noexcept
{
    return m_state->usage;
}

} // namespace snipehill
