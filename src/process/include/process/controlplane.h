#pragma once

#include <connection/endpoint.h>
#include <connection/rpc.h>
#include <process/grant.h>
#include <process/leasekeeper.h>
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

/** Which engine to change to which role. */
struct PlannedOrder
{
    std::string instance;
    EngineOrder::Kind kind = EngineOrder::Kind::Role;
    EngineRole role = EngineRole::Mixed;
    std::string model;
    std::string modelVersion;
};

/** A start or stop of a target that the scale plan wants. */
struct PlannedTarget
{
    bool start = true;
    std::string targetGroup;
    std::string failureDomain;
    std::string instance; //!< of a stop
};

/** Decisions and views that the control plane asks for; called on I/O threads, must not block. */
struct ControlHooks
{
    std::function<MemberList()> members;
    std::function<std::vector<std::string>()> roleGroups; //!< target groups whose roles are planned
    /** Next order for a group, or none; busy names the failure domains with an engine in change. */
    std::function<std::optional<PlannedOrder>(const std::string &group, const std::set<std::string> &busy, TimePoint now)> planRoles;
    std::function<void(const std::string &group, const PlannedOrder &order, TimePoint now)> noteRoleOrder; //!< the order was given
    /** Next start or stop in a failure domain, or none. */
    std::function<std::optional<PlannedTarget>(const std::string &failureDomain, TimePoint now)> planTargets;
};

/** Settings of an entry's control work. */
struct ControlSettings
{
    Incarnation self;
    Endpoint log;
    Endpoint targets;
    Endpoint usage;
    LeaseSettings lease;
    milliseconds grantDuration{2000};
    milliseconds usageWindow{60000};
    milliseconds usageGrace{5000}; //!< after a window's end, before it is closed
    milliseconds usageWait{30000}; //!< longest wait for a live sidecar that does not answer; its bookings then go into a later window
    milliseconds callBound{2000}; //!< for one call to the platform; lowered where the lease is too short for it
    milliseconds planInterval{1000};
    std::vector<std::string> failureDomains; //!< that targets can be started in; those of the members are added
};

/**
 * The control work of an entry: leases, usage reports, orders to the target interface and to engines.
 *
 * Wiring: construct, add methods() to the link's RpcMethods, start(); the data path calls
 * usageCopies().count() for each answer that ended. stop() releases the leases.
 * Offers usage.read, usage.settled and lease.epoch. Thread-safe. The hooks must outlive the executor's run.
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
    EntryUsage &usageCopies() noexcept;
    LeaseKeeper &leases() noexcept;

    struct State;

private:
    std::shared_ptr<State> m_state;
};

} // namespace snipehill
