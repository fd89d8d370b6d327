#include <process/controlplane.h>

#include "rolecontroller.h"
#include "targetcontroller.h"
#include "usagereporter.h"
#include <process/pause.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <atomic>
#include <utility>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr int grantRoundsPerDuration = 3;

// A call must fit into the lease even right before a renewal, when the remaining validity is shortest; half of it is kept as reserve.
milliseconds limitedCallTimeout(const ControlSettings &settings)
{
    const milliseconds minRemainingValidity = settings.lease.duration - settings.lease.margin - settings.lease.duration / renewalsPerLease;
    return std::min(settings.callTimeout, minRemainingValidity / 2);
}

ControlSettings withLimitedCallTimeout(ControlSettings settings)
{
    settings.callTimeout = limitedCallTimeout(settings);
    return settings;
}

} // namespace

/** State shared by all control coroutines, which keep it alive. */
struct ControlPlane::State
{
    State(asio::any_io_executor ioExecutor, ControlSettings controlSettings, ControlHooks controlHooks, PeerCall peerCall)
        : executor(ioExecutor)
        , settings(withLimitedCallTimeout(std::move(controlSettings)))
        , hooks(std::move(controlHooks))
        , call(std::move(peerCall))
        , leases(std::move(ioExecutor), makeLogAccess(settings.log), settings.self, settings.lease)
    {
    }

    const asio::any_io_executor executor;
    const ControlSettings settings;
    const ControlHooks hooks;
    const PeerCall call;
    LeaseManager leases;
    EntryUsage usage;
    BusyFailureDomains busy;
    std::atomic<bool> stopped = false;
};

namespace
{

using StatePointer = std::shared_ptr<ControlPlane::State>;

asio::awaitable<void> reportUsage(StatePointer state)
{
    UsageReporter reporter(state->settings, state->hooks, state->leases, state->usage, state->call);
    while (!state->stopped) {
        co_await reporter.step();
        co_await pauseFor(state->settings.planInterval);
    }
}

asio::awaitable<void> controlTargets(StatePointer state, std::string failureDomain)
{
    TargetController control(state->settings, state->hooks, state->leases, std::move(failureDomain));
    while (!state->stopped) {
        co_await control.step();
        co_await pauseFor(state->settings.planInterval);
    }
}

asio::awaitable<void> controlRoles(StatePointer state, std::string group)
{
    RoleController control(state->settings, state->hooks, state->leases, state->call, state->busy, std::move(group));
    while (!state->stopped) {
        co_await control.step();
        co_await pauseFor(state->settings.grantDuration / grantRoundsPerDuration);
    }
}

std::set<std::string> failureDomains(const ControlPlane::State &state)
{
    std::set<std::string> domains(state.settings.failureDomains.begin(), state.settings.failureDomains.end());
    const MemberList list = state.hooks.members();
    for (const Member &member : *list) {
        if (member.role == "sidecar") {
            domains.insert(member.failureDomain);
        }
    }
    return domains;
}

/** Starts a controller when its failure domain or target group first appears. Controllers are never removed. */
asio::awaitable<void> addScopes(StatePointer state)
{
    std::set<std::string> known;
    while (!state->stopped) {
        for (const std::string &domain : failureDomains(*state)) {
            if (state->hooks.planTargets && known.insert(scopes::targets(domain)).second) {
                state->leases.addScope(scopes::targets(domain));
                asio::co_spawn(state->executor, controlTargets(state, domain), asio::detached);
            }
        }
        const std::vector<std::string> groups = state->hooks.roleGroups ? state->hooks.roleGroups() : std::vector<std::string>{};
        for (const std::string &group : groups) {
            if (known.insert(scopes::roles(group)).second) {
                state->leases.addScope(scopes::roles(group));
                asio::co_spawn(state->executor, controlRoles(state, group), asio::detached);
            }
        }
        co_await pauseFor(state->settings.planInterval);
    }
}

} // namespace

ControlPlane::ControlPlane(asio::any_io_executor executor, ControlSettings settings, ControlHooks hooks, PeerCall call)
    : m_state(std::make_shared<State>(std::move(executor), std::move(settings), std::move(hooks), std::move(call)))
{
}

ControlPlane::~ControlPlane()
{
    m_state->stopped = true;
}

RpcMethods ControlPlane::methods()
{
    const StatePointer state = m_state;
    RpcMethods methods;
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
    methods["lease.epoch"] = [state](const Json::Value &params, Reason &reason) -> std::optional<Json::Value> {
        const bool named = params.isObject() && params["scope"].isString();
        const auto epoch = named ? state->leases.highestKnownEpoch(params["scope"].asString()) : std::nullopt;
        if (!epoch) {
            reason = {Step::Lease, "", "the leases were not read yet"};
            return std::nullopt;
        }
        Json::Value response;
        response["epoch"] = Json::Int64(*epoch);
        return response;
    };
    return methods;
}

void ControlPlane::start()
{
    m_state->leases.addScope(scopes::usage);
    m_state->leases.addScope(scopes::snapshot);
    m_state->leases.start();
    asio::co_spawn(m_state->executor, reportUsage(m_state), asio::detached);
    asio::co_spawn(m_state->executor, addScopes(m_state), asio::detached);
}

asio::awaitable<void> ControlPlane::stop()
{
    const StatePointer state = m_state;
    state->stopped = true;
    co_await state->leases.stop();
}

EntryUsage &ControlPlane::entryUsage() noexcept
{
    return m_state->usage;
}

LeaseManager &ControlPlane::leases() noexcept
{
    return m_state->leases;
}

} // namespace snipehill
