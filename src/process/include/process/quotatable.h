#pragma once

#include <core/time.h>
#include <process/peerupdate.h>
#include <request/workspacequota.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace snipehill
{

/** Whether a request is within the quota of its workspace, with what led to the decision. */
struct QuotaDecision
{
    bool admitted = true;
    double level = 0; //!< of the bucket, before the request
    double limit = 0; //!< rate per second
    std::size_t peers = 0; //!< other entries whose use is counted
    Duration oldestReport{}; //!< age of the oldest latest update of these
    milliseconds retryAfter{0}; //!< if not admitted
};

/** What an entry knows of the others that use the same quotas. */
struct QuotaPeers
{
    std::size_t counted = 0; //!< other entries whose use is counted
    bool partitioned = false; //!< all of them are silent; their use is counted at the last known rates
};

/**
 * Quotas of the workspaces, as one entry sees them: own use, and that of the other entries by their peer updates. Workspaces without a
 * quota have no state here and are in no update. See request/workspacequota.h for the decisions.
 *
 * Thread-safe: requests are admitted on the serving thread, updates arrive on the control thread.
 */
class QuotaTable
{
public:
    /** @param started start of the process, after which the entry has a small part of each limit until it hears another entry */
    explicit QuotaTable(TimePoint started);

    /** Sets the limits. The level of a bucket is kept, but capped by a lower burst. */
    void setRules(const RoutingVersion &version, TimePoint now);

    /** Decides on a request of a workspace with a quota and deducts its cost. @param draw random number in [0, 1), spreads refused callers */
    QuotaDecision admit(std::string_view workspace, std::uint64_t cost, double draw, TimePoint now);

    /** Returns the cost of an admitted request that has run nowhere. */
    void giveBack(std::string_view workspace, std::uint64_t cost, TimePoint now);

    /** Adds this entry's use to an update. */
    void fillPeerUpdate(PeerUpdate &update, TimePoint now);

    /** Counts the use that an update of another entry reports. */
    void applyPeerUpdate(const PeerUpdate &update, TimePoint now);

    /** Stops counting entries that have fallen silent, unless all have. Called at least as often as updates are sent. */
    QuotaPeers checkPeers(TimePoint now);

private:
    struct Bucket
    {
        std::optional<WorkspaceQuota> quota; //!< empty after the limit was removed; the state is kept so that counts never restart
        QuotaBucket state;
        std::uint64_t admitted = 0; //!< by this entry since its start, without returned requests
        TimePoint lastUse{}; //!< or time at which the limit was set
        TimePoint sharedAt{}; //!< when the limit was last shared, see shareLimit()
        TimePoint countFrom{}; //!< before it, reports of others are only compared with, as they may count in another unit
    };

    struct Peer
    {
        std::uint64_t incarnation = 0;
        TimePoint lastHeard{};
        bool counted = true; //!< false after it has fallen silent
        std::map<NameHash, PeerQuotaUse> use;
    };

    void advanceTo(Bucket &bucket, TimePoint now);
    void endStart(TimePoint now);
    void endSharing(TimePoint now);
    bool isSilent(const Peer &peer, TimePoint now) const;
    bool isPartitioned(TimePoint now) const;
    void applyUse(Bucket &bucket, Peer &peer, NameHash workspace, std::optional<std::uint64_t> admitted, TimePoint now);
    void dropPeer(Peer &peer, TimePoint now);

    std::mutex m_lock;
    TimePoint m_startEnd; //!< until then only a part of each limit is available
    std::map<NameHash, Bucket> m_buckets;
    std::map<std::string, Peer> m_peers; //!< by instance
    std::size_t m_countedPeers = 0;
    TimePoint m_oldestHeard{}; //!< of the counted peers, as of the last check
    TimePoint m_lastHeard{}; //!< of any peer
    TimePoint m_resumedAt{}; //!< when a peer was heard after all had been silent
    TimePoint m_reportAllUntil{}; //!< unused workspaces are reported until then too, because an entry has just started
};

} // namespace snipehill
