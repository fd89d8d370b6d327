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

/** What the data path of a sidecar offers to an order. All functions are thread-safe and do not block. */
struct DrainHooks
{
    std::function<void()> stopAccepting; //!< new work is answered "not run"
    std::function<std::size_t()> running; //!< requests on the target and in the queue
    std::function<void()> resumeAccepting; //!< end of the order
    std::function<void(EngineRole role)> onEngineRole; //!< the engine told its role
};

/** Settings of a sidecar's authority over its target. */
struct SidecarControlSettings
{
    Incarnation self;
    Endpoint log;
    Endpoint target;
    std::string targetGroup;
    bool engine = true; //!< false: a plain service, no grants are given
    GrantSettings grant;
    milliseconds drainTimeout{30000}; //!< an order that can't drain within it fails
    milliseconds confirmTimeout{60000}; //!< for the engine to end its change
    milliseconds pollInterval{100}; //!< between two looks at the drain or the engine's state
    milliseconds watchInterval{1000}; //!< between two looks at the engine's state without an order
    milliseconds usageWindow{60000};
};

/**
 * Everything that a sidecar decides about orders to its engine and about usage.
 *
 * Wiring: construct, add methods() to the link's RpcMethods, start(). The data path calls
 * usage().count() when an answer has ended and puts the window into the end frame.
 * Offers grant.request, grant.renew, order.run, order.state, lease.epoch, usage.read and usage.settled.
 * Thread-safe. The hooks must outlive the executor's run.
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
