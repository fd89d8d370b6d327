#pragma once

#include <connection/endpoint.h>
#include <connection/rpc.h>
#include <process/engineordermachine.h>
#include <process/usage.h>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipehill
{

/** Callbacks into the data path of a sidecar for running an order. All are thread-safe and do not block. */
struct DrainHooks
{
    std::function<void()> stopAccepting; //!< refuses new requests with "not run"
    std::function<std::size_t()> running; //!< number of requests running on the target or queued
    std::function<void()> resumeAccepting; //!< accepts requests again after the order has ended
    std::function<void(EngineRole role)> onEngineRole; //!< called when the engine reported its role
};

/** Settings of a sidecar's control of its target. */
struct SidecarControlSettings
{
    Incarnation self;
    Endpoint log;
    Endpoint target;
    std::string targetGroup;
    bool engine = true; //!< false: a plain service, for which no grants are issued
    GrantSettings grant;
    milliseconds drainTimeout{30000}; //!< an order fails if draining takes longer
    milliseconds confirmTimeout{60000}; //!< longest wait for the engine to complete its change
    milliseconds pollInterval{100}; //!< between checks of the drain or the engine's state during an order
    milliseconds watchInterval{1000}; //!< between checks of the engine's state outside of orders
    milliseconds usageWindow{60000};
};

/**
 * Control side of a sidecar: grants, orders to the engine, and usage counts.
 *
 * Usage: construct it, add methods() to the link's RpcMethods, then call start(). The data path calls
 * usage().count() for each completed response and puts the window into the end frame.
 * Provides the methods grant.request, grant.renew, order.run, order.state, lease.epoch, usage.read and usage.settled.
 * Thread-safe. The hooks must stay valid while the executor runs.
 */
class SidecarControl
{
public:
    SidecarControl(boost::asio::any_io_executor executor,
                   SidecarControlSettings settings,
                   DrainHooks hooks,
                   PeerCall call,
                   std::function<std::vector<Endpoint>()> peers);
    ~SidecarControl();
    SidecarControl(const SidecarControl &) = delete;
    SidecarControl &operator=(const SidecarControl &) = delete;

    RpcMethods methods();
    void start();
    void stop();
    SidecarUsage &usage() noexcept;

    struct State;

private:
    std::shared_ptr<State> m_state;
};

} // namespace snipehill
