#pragma once

#include <process/grant.h>

#include <memory>
#include <string>

namespace snipehill
{

/** What the runner of an order does next. */
enum class OrderStep {
    Drain, //!< stop accepting, wait until idle
    Send, //!< check the grant and send the order
    QueryState, //!< read the engine's state
    Finish, //!< accept work again
};

/**
 * Course of one order towards the engine, as a Boost.MSM machine: draining, sending, confirming, ended.
 * Holds no clock and does no I/O. Not thread-safe.
 */
class EngineOrderMachine
{
public:
    explicit EngineOrderMachine(std::string orderId);
    ~EngineOrderMachine();
    EngineOrderMachine(const EngineOrderMachine &) = delete;
    EngineOrderMachine &operator=(const EngineOrderMachine &) = delete;

    void onIdle(); //!< no stream runs any more
    void onDrainTimeout(); //!< streams still run at the bound: nothing was sent, nothing is cut
    void onGrantLapsed(); //!< before the order was sent
    void onAccepted(); //!< the engine answered 200
    void onRefused(std::string detail); //!< the engine answered that it does not take the order
    void onNoResponse(); //!< it may have got it
    void onEngineState(const EngineState &state, bool noCopyInFlight); //!< settled: no copy can be under way any more
    void onConfirmTimeout(); //!< the engine can't be asked

    OrderStep step() const noexcept;
    OrderState state() const noexcept;
    const std::string &detail() const noexcept;

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace snipehill
