#include "rolecontroller.h"

#include <process/log.h>
#include <process/metrics.h>

#include <algorithm>
#include <utility>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds lostOrderTimeout{120000};

Json::Value orderParams(const PlannedEngineOrder &planned, const std::string &orderId, std::uint64_t grant)
{
    Json::Value params;
    params["orderId"] = orderId;
    params["grant"] = Json::UInt64(grant);
    if (planned.kind == EngineOrder::Kind::Role) {
        params["kind"] = "role";
        params["role"] = toString(planned.role);
    } else {
        params["kind"] = "load";
        params["model"] = planned.model;
        params["modelVersion"] = planned.modelVersion;
    }
    return params;
}

} // namespace

std::set<std::string> BusyFailureDomains::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    return m_domains;
}

bool BusyFailureDomains::add(const std::string &failureDomain)
{
    const std::lock_guard lock(m_mutex);
    return m_domains.insert(failureDomain).second;
}

void BusyFailureDomains::remove(const std::string &failureDomain)
{
    const std::lock_guard lock(m_mutex);
    m_domains.erase(failureDomain);
}

RoleController::RoleController(const ControlSettings &settings,
                               const ControlHooks &hooks,
                               LeaseManager &leases,
                               PeerCall call,
                               BusyFailureDomains &busy,
                               std::string group)
    : m_settings(settings), m_hooks(hooks), m_leases(leases), m_call(std::move(call)), m_busy(busy), m_group(std::move(group)), m_scope(scopes::roles(m_group))
{
}

std::vector<Member> RoleController::engines() const
{
    std::vector<Member> engines;
    const MemberList list = m_hooks.members();
    for (const Member &member : *list) {
        if (member.role == "sidecar" && member.targetGroup == m_group && !member.leaving) {
            engines.push_back(member);
        }
    }
    return engines;
}

asio::awaitable<void> RoleController::step()
{
    const std::optional<Offset> epoch = m_leases.epoch(m_scope);
    if (epoch != m_epoch) {
        m_grants.clear();
        m_epoch = epoch;
    }
    if (epoch) {
        const std::vector<Member> members = engines();
        co_await renewGrants(members);
        if (!m_active) {
            co_await issueOrder(members);
        }
    }
    if (m_active) {
        co_await trackOrder();
    }
}

asio::awaitable<void> RoleController::renewGrants(std::vector<Member> engines)
{
    const bool mayRequest = m_leases.mayCall(m_scope, m_settings.callTimeout);
    std::vector<std::string> instances;
    std::vector<PeerRequest> requests;
    for (const Member &engine : engines) {
        const auto grant = m_grants.find(engine.instance);
        Json::Value params;
        if (grant != m_grants.end()) {
            params["grant"] = Json::UInt64(grant->second);
            requests.push_back({engine.link, "grant.renew", std::move(params)});
        } else if (mayRequest) {
            params["instance"] = m_settings.self.instance;
            params["incarnation"] = Json::UInt64(m_settings.self.number);
            params["fence"] = Json::Int64(*m_epoch);
            requests.push_back({engine.link, "grant.request", std::move(params)});
        } else {
            continue;
        }
        instances.push_back(engine.instance);
    }
    const std::vector<std::optional<Json::Value>> responses = co_await callPeers(m_call, std::move(requests), m_settings.grantDuration / 2);
    for (std::size_t i = 0; i < responses.size(); ++i) {
        if (responses[i] && responses[i]->isObject() && (*responses[i])["grant"].isUInt64()) {
            m_grants[instances[i]] = (*responses[i])["grant"].asUInt64();
        } else {
            m_grants.erase(instances[i]);
        }
    }
}

asio::awaitable<void> RoleController::issueOrder(std::vector<Member> engines)
{
    const TimePoint now = Clock::now();
    const auto planned = m_hooks.planRoles ? m_hooks.planRoles(m_group, m_busy.snapshot(), now) : std::nullopt;
    if (!planned) {
        co_return;
    }
    const auto grant = m_grants.find(planned->instance);
    const auto engine = std::find_if(engines.begin(), engines.end(), [&planned](const Member &member) {
        return member.instance == planned->instance;
    });
    if (grant == m_grants.end() || engine == engines.end() || !m_busy.add(engine->failureDomain)) {
        co_return;
    }
    ActiveOrder order;
    order.planned = *planned;
    order.orderId = randomRequestId();
    order.params = orderParams(*planned, order.orderId, grant->second);
    order.grant = grant->second;
    order.peer = engine->link;
    order.failureDomain = engine->failureDomain;
    order.started = now;
    m_active = std::move(order);
    if (m_hooks.onRoleOrderIssued) {
        m_hooks.onRoleOrderIssued(m_group, *planned, now);
    }
    logEvent(LogComponent::Roles, LogLevel::Info, "engine order issued", {{"instance", planned->instance}, {"role", toString(planned->role)}});
}

asio::awaitable<void> RoleController::trackOrder()
{
    // A repeated order.run returns the progress of the first one, so after a lost response the call is simply repeated.
    std::vector<PeerRequest> requests;
    requests.push_back({m_active->peer, m_active->accepted ? "order.state" : "order.run", m_active->params});
    const std::vector<std::optional<Json::Value>> responses = co_await callPeers(m_call, std::move(requests), m_settings.callTimeout);
    if (responses.front() && responses.front()->isObject() && (*responses.front())["state"].isString()) {
        m_active->accepted = true;
        const std::string state = (*responses.front())["state"].asString();
        if ((*responses.front())["final"].asBool()) {
            endOrder(state, (*responses.front())["detail"].asString());
        }
        co_return;
    }
    const auto grant = m_grants.find(m_active->planned.instance);
    const bool grantLost = grant == m_grants.end() || grant->second != m_active->grant;
    if (grantLost && (!m_active->accepted || Clock::now() - m_active->started > lostOrderTimeout)) {
        endOrder("lost", "the sidecar does not answer or does not know the order");
    }
}

void RoleController::endOrder(const std::string &state, const std::string &detail)
{
    logEvent(LogComponent::Roles, LogLevel::Info, "engine order ended", {{"instance", m_active->planned.instance}, {"state", state}, {"detail", detail}});
    if (m_active->planned.kind == EngineOrder::Kind::Role) {
        processMetrics().count(Counter::RoleChanges, {toString(m_active->planned.role), state});
    }
    m_busy.remove(m_active->failureDomain);
    m_active.reset();
}

} // namespace snipehill
