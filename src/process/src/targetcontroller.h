#pragma once

#include "platformcall.h"

#include <process/controlplane.h>
#include <process/targetordertable.h>

#include <atomic>
#include <memory>

namespace snipehill
{

/**
 * Starts and stops targets of one failure domain while this process holds the domain's lease.
 *
 * Each order is recorded in the stream "orders" and read back before it is sent. If the response is lost, the order is sent
 * again under the same id, if need be by the next lease holder. While the log is unavailable, orders can't be recorded and
 * the lease can't be renewed, so no order is sent once the lease has expired. Used by one coroutine only.
 */
class TargetController
{
public:
    TargetController(const ControlSettings &settings, const ControlHooks &hooks, LeaseManager &leases, std::string failureDomain);

    /** One iteration: records the next planned order if none is pending, then sends the pending ones. */
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
