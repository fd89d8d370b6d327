#pragma once

#include "peercalls.h"

#include <process/controlplane.h>

#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace snipehill
{

/** Failure domains with an engine in change, over all groups of this process. Thread-safe. */
class BusyFailureDomains
{
public:
    std::set<std::string> snapshot() const;
    bool add(const std::string &failureDomain);
    void remove(const std::string &failureDomain);

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_domains;
};

/**
 * Gives orders to the engines of one target group while the process has authority over them.
 *
 * The lease "roles/<group>" lets it ask for new grants. Grants that it has are renewed for as long as their
 * sidecars agree, also while the log is out and the lease has lapsed: then they are the authority.
 * One coroutine uses the object.
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

    boost::asio::awaitable<void> step();

private:
    struct ActiveOrder
    {
        PlannedEngineOrder planned;
        Json::Value params; //!< of order.run
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
    std::optional<Offset> m_epoch; //!< of the grants
    std::map<std::string, std::uint64_t> m_grants; //!< by instance
    std::optional<ActiveOrder> m_active;
};

} // namespace snipehill
