#pragma once

#include <process/grant.h>

#include <memory>
#include <string>

namespace snipehill
{

/** Next action for the coroutine that runs an order. */
enum class OrderStep {
    Drain, //!< refuse new requests and wait until none is running
    Send, //!< check the grant, then send the order
    QueryState, //!< poll the engine's state
    Finish, //!< the order has ended; accept requests again
};

/**
 * State machine of one engine order: draining, sending, confirming, ended.
 * Has no clock and does no I/O; the caller reports events. Not thread-safe.
 */
class EngineOrderMachine
{
public:
    explicit EngineOrderMachine(std::string orderId);
    ~EngineOrderMachine();
    EngineOrderMachine(const EngineOrderMachine &) = delete;
    EngineOrderMachine &operator=(const EngineOrderMachine &) = delete;

    void onIdle(); //!< no request is running any more
    void onDrainTimeout(); //!< streams still run at the drain timeout: the order is not sent and no stream is aborted
    void onGrantExpired(); //!< the grant expired before the order was sent
    void onAccepted(); //!< the engine answered with status 200
    void onRefused(std::string detail); //!< the engine answered with an error status
    void onNoResponse(); //!< no response: the engine may or may not have received the order
    void onEngineState(const EngineState &state, bool noCopyInFlight); //!< noCopyInFlight: the order can't arrive any more
    void onConfirmTimeout(); //!< the engine's state could not be confirmed in time

    OrderStep step() const noexcept;
    OrderState state() const noexcept;
    const std::string &detail() const noexcept;

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace snipehill
