#pragma once

#include <connection/endpoint.h>
#include <connection/rpc.h>
#include <process/grant.h>
#include <process/leasemanager.h>
#include <process/membershipwatcher.h>
#include <process/usage.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace snipehill
{

/** An order to an engine that the role planner wants. */
struct PlannedEngineOrder
{
    std::string instance;
    EngineOrder::Kind kind = EngineOrder::Kind::Role;
    EngineRole role = EngineRole::Mixed;
    std::string model;
    std::string modelVersion;
};

/** A start or stop of a target that the scaling planner wants. */
struct PlannedTargetOrder
{
    bool start = true;
    std::string targetGroup;
    std::string failureDomain;
    std::string instance; //!< target to stop; empty for a start
};

/** Callbacks through which the control plane gets its members and plans. Called on I/O threads; must not block. */
struct ControlHooks
{
    std::function<MemberList()> members;
    std::function<std::vector<std::string>()> roleGroups; //!< target groups whose roles are planned
    /** Next order for a target group, or none; busy holds the failure domains in which an engine is changing. */
    std::function<std::optional<PlannedEngineOrder>(const std::string &group, const std::set<std::string> &busy, TimePoint now)> planRoles;
    std::function<void(const std::string &group, const PlannedEngineOrder &order, TimePoint now)> onRoleOrderIssued; //!< called when an order was issued
    /** Next start or stop of a target in a failure domain, or none. */
    std::function<std::optional<PlannedTargetOrder>(const std::string &failureDomain, TimePoint now)> planTargets;
};

/** Settings of an entry's control plane. */
struct ControlSettings
{
    Incarnation self;
    Endpoint log;
    Endpoint targets;
    Endpoint usage;
    LeaseSettings lease;
    milliseconds grantDuration{2000};
    milliseconds usageWindow{60000};
    milliseconds usageGrace{5000}; //!< time between the end of a window and its closing
    milliseconds usageReadTimeout{30000}; //!< longest wait for a live sidecar that does not respond; its usage then counts in a later window
    milliseconds callTimeout{2000}; //!< of one call to the platform; reduced if the lease is too short for it
    milliseconds planInterval{1000};
    std::vector<std::string> failureDomains; //!< in which targets can be started; those of the members are added
};

/**
 * Control plane of an entry: leases, usage reports, and orders to the platform's target interface and to engines.
 *
 * Usage: construct it, add methods() to the link's RpcMethods, then call start(). The data path calls
 * entryUsage().count() for each completed response. stop() releases the leases.
 * Provides the methods usage.read, usage.settled and lease.epoch. Thread-safe. The hooks must stay valid while the executor runs.
 */
class ControlPlane
{
public:
    ControlPlane(boost::asio::any_io_executor executor, ControlSettings settings, ControlHooks hooks, PeerCall call);
    ~ControlPlane();
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    RpcMethods methods();
    void start();
    boost::asio::awaitable<void> stop();
    EntryUsage &entryUsage() noexcept;
    LeaseManager &leases() noexcept;

    struct State;

private:
    std::shared_ptr<State> m_state;
};

} // namespace snipehill
