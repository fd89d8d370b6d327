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
 * A round reads the stream, reports what is closed and not acknowledged, and closes the next windows; what was
 * closed is reported only after it was read back. One coroutine uses the object.
 */
class UsageReporter
{
public:
    UsageReporter(const ControlSettings &settings, const ControlHooks &hooks, LeaseKeeper &leases, EntryUsage &copies, PeerCall call);

    boost::asio::awaitable<void> step();

private:
    /** Rows that one process told, to be settled once they are in a closed record. */
    struct PeerRows
    {
        Endpoint peer;
        std::vector<UsageSource> sources;
    };
    struct Collection
    {
        CollectedUsage usage;
        std::vector<PeerRows> peerRows;
        bool complete = true; //!< every member answered
    };

    boost::asio::awaitable<bool> readStream();
    boost::asio::awaitable<void> report();
    boost::asio::awaitable<void> reportWindow(WindowNumber window, UsageByWorkspace totals);
    boost::asio::awaitable<void> closeEndedWindows();
    boost::asio::awaitable<Collection> collect(WindowNumber through);
    boost::asio::awaitable<void> removeClosed();
    void addAnswer(Collection &collection, const Member &member, const Json::Value &answer) const;

    const ControlSettings &m_settings;
    const ControlHooks &m_hooks;
    LeaseKeeper &m_leases;
    EntryUsage &m_copies;
    PeerCall m_call;
    UsageLedger m_ledger;
    LogReader m_reader;
    std::optional<WindowNumber> m_collectedThrough;
    std::vector<PeerRows> m_collectedRows;
};

} // namespace snipehill
