#pragma once

#include "platformcall.h"

#include <process/controlplane.h>
#include <process/targetordertable.h>

#include <atomic>
#include <memory>

namespace snipehill
{

/**
 * Starts and stops targets of one failure domain while the process holds the lease for it.
 *
 * Each order is recorded in the stream "orders" and read back before it is sent; one whose answer was lost is
 * sent again under the same id, also by the next holder. While the log is out no order can be recorded or
 * renewed, so none goes out once the lease has lapsed. One coroutine uses the object.
 */
class TargetController
{
public:
    TargetController(const ControlSettings &settings, const ControlHooks &hooks, LeaseManager &leases, std::string failureDomain);

    /** One round: sends what is pending, else plans the next order. */
    boost::asio::awaitable<void> step();

private:
    boost::asio::awaitable<void> sendPending();
    boost::asio::awaitable<void> recordNextOrder();
    void logFailure(const char *message, const Reason &reason) const;

    const ControlSettings &m_settings;
    const ControlHooks &m_hooks;
    LeaseManager &m_leases;
    std::string m_scope;
    TargetOrderTable m_orders;
    LogReader m_reader;
};

} // namespace snipehill
