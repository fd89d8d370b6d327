#pragma once

#include "peercalls.h"

#include <process/controlplane.h>

#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace snipehill
{

/** Failure domains in which an engine is changing, across all target groups of this process. Thread-safe. */
class BusyFailureDomains
{
public:
    std::set<std::string> snapshot() const;
    /** False if the failure domain is already in the set. */
    bool add(const std::string &failureDomain);
    void remove(const std::string &failureDomain);

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_domains;
};

/**
 * Sends orders to the engines of one target group.
 *
 * New grants are requested only under the lease "roles/<group>". Existing grants are renewed for as long as their
 * sidecars agree, even if the log is unavailable and the lease has expired: a grant alone is sufficient for orders.
 * Used by one coroutine only.
 */
class RoleController
{
public:
    RoleController(const ControlSettings &settings,
                   const ControlHooks &hooks,
                   LeaseManager &leases,
                   PeerCall call,
                   BusyFailureDomains &busy,
                   std::string group);

    /** One iteration: renews grants, issues the next planned order and tracks the active one. */
    boost::asio::awaitable<void> step();

private:
    struct ActiveOrder
    {
        PlannedEngineOrder planned;
        Json::Value params; //!< parameters of order.run
        std::string orderId;
        std::uint64_t grant = 0;
        Endpoint peer;
        std::string failureDomain;
        TimePoint started{};
        bool accepted = false;
    };

    std::vector<Member> engines() const;
    boost::asio::awaitable<void> renewGrants(std::vector<Member> engines);
    boost::asio::awaitable<void> trackOrder();
    boost::asio::awaitable<void> issueOrder(std::vector<Member> engines);
    void endOrder(const std::string &state, const std::string &detail);

    const ControlSettings &m_settings;
    const ControlHooks &m_hooks;
    LeaseManager &m_leases;
    PeerCall m_call;
    BusyFailureDomains &m_busy;
    std::string m_group;
    std::string m_scope;
    std::optional<Offset> m_epoch; //!< fencing token under which m_grants were requested
    std::map<std::string, std::uint64_t> m_grants; //!< grant ids by engine instance
    std::optional<ActiveOrder> m_active;
};

} // namespace snipehill
