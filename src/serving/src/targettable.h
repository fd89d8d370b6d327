#pragma once

#include <core/loadreport.h>
#include <core/time.h>
#include <process/membershipwatcher.h>
#include <request/estimate.h>
#include <request/prefixindex.h>
#include <request/targetchoice.h>

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipehill
{

/**
 * State of the sidecars that an entry sends requests to: membership, load and cached prompt prefixes. Sharded by
 * target group, with one lock per shard. Thread-safe.
 */
class TargetTable
{
public:
    explicit TargetTable(std::string entryInstance);

    /** Applies a new instance list and selects this entry's subset of each target group. */
    void setMembers(const std::vector<Member> &members);
    /** Returns the link endpoints of the sidecars in all subsets. */
    std::vector<Endpoint> subsetLinks() const;
    /** Returns the number of entries that are not shutting down, at least 1. */
    std::uint32_t liveEntries() const;
    /** Returns the failure domains of all members. */
    std::vector<std::string> failureDomains() const;

    void recordLoad(const LoadReport &report, TimePoint now);
    void recordSent(const std::string &group, const std::string &instance, const CostEstimate &cost);
    void recordCrash(const std::string &group, const std::string &instance, TimePoint now);
    /** Marks a sidecar as unreachable until it reports again. */
    void markUnreachable(const std::string &group, const std::string &instance);

    /** Returns the targets of the group's subset, as seen by a request with these prefix hashes. */
    std::vector<TargetView> views(const std::string &group, const std::vector<std::uint64_t> &prefixHashes, TimePoint now) const;
    /** Returns the link endpoint of a target's sidecar, or empty if it is not in the subset. */
    std::optional<Endpoint> linkOf(const std::string &group, const std::string &instance) const;
    /** Returns the targets of all groups, for status pages. */
    std::vector<TargetView> allViews(TimePoint now) const;

private:
    struct Target
    {
        Member member;
        LoadReport report;
        bool reported = false;
        TimePoint reportedAt{};
        OutstandingWork outstanding;
        TimePoint suspectUntil{};
        bool unreachable = false;
    };
    struct Group
    {
        mutable std::mutex lock;
        std::unordered_map<std::string, Target> targets; //!< targets in this entry's subset
        PrefixIndex prefixes;
    };
    /** Runs the action on a target of the subset and its group's prefix index, under the group's lock. */
    template<typename Action> void withTarget(const std::string &group, const std::string &instance, Action action);
    Group *find(const std::string &group) const;
    static TargetView viewOf(const Target &target, TimePoint now);

    std::string m_entry;
    mutable std::mutex m_lock; //!< guards the map, but not the groups in it
    std::unordered_map<std::string, std::unique_ptr<Group>> m_groups; //!< groups are never removed, so pointers to them stay valid
    std::uint32_t m_liveEntries = 1;
    std::vector<std::string> m_failureDomains;
};

} // namespace snipehill
