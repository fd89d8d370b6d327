#pragma once

#include "peercalls.h"
#include "platformcall.h"

#include <process/controlplane.h>

#include <set>
#include <vector>

namespace snipehill
{

/**
 * Closes and reports usage windows while the process holds the lease "usage".
 *
 * A step reads the stream, reports windows that are closed and not acknowledged, and closes the next ones. A window is
 * reported only after its closed record was read back, because the first record for a window in the stream is the one
 * that counts. Used by a single coroutine.
 */
class UsageReporter
{
public:
    UsageReporter(const ControlSettings &settings, const ControlHooks &hooks, LeaseManager &leases, EntryUsage &copies, PeerCall call);

    /** Runs one round; does nothing without the lease. */
    boost::asio::awaitable<void> step();

private:
    /** Rows that one process returned; it is told to remove them once a closed record includes them. */
    struct PeerRows
    {
        Endpoint peer;
        std::vector<UsageSource> sources;
    };
    /** Responses of all processes to usage.read. */
    struct Collection
    {
        CollectedUsage usage;
        std::vector<PeerRows> peerRows;
        bool complete = true; //!< every member sent a valid response
    };

    boost::asio::awaitable<bool> readStream();
    boost::asio::awaitable<void> report();
    boost::asio::awaitable<void> reportWindow(WindowNumber window, UsageByWorkspace totals);
    boost::asio::awaitable<void> closeEndedWindows();
    boost::asio::awaitable<Collection> collect(WindowNumber through);
    boost::asio::awaitable<void> removeClosed();
    void addResponse(Collection &collection, const Member &member, const Json::Value &response) const;

    const ControlSettings &m_settings;
    const ControlHooks &m_hooks;
    LeaseManager &m_leases;
    EntryUsage &m_copies;
    PeerCall m_call;
    UsageLedger m_ledger;
    LogReader m_reader;
    std::optional<WindowNumber> m_collectedThrough; //!< all members have answered for windows up to this one
    std::vector<PeerRows> m_collectedRows; //!< of the last collection
};

} // namespace snipehill
