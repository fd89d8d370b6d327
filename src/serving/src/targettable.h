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
 * What an entry knows of the sidecars that it works with: membership, load and cached prefixes.
 * Sharded by target group, each shard under its own lock; all functions from any thread.
 */
class TargetTable
{
public:
    explicit TargetTable(std::string entryInstance);

    /** Takes a new instance list; picks this entry's subset of each group. */
    void setMembers(const std::vector<Member> &members);
    /** Link endpoints of the sidecars of all subsets. */
    std::vector<Endpoint> subsetLinks() const;
    std::uint32_t liveEntries() const;
    /** Failure domains of all members. */
    std::vector<std::string> failureDomains() const;

    void recordLoad(const LoadReport &report, TimePoint now);
    void recordSent(const std::string &group, const std::string &instance, const CostEstimate &cost);
    void recordCrash(const std::string &group, const std::string &instance, TimePoint now);
    /** The sidecar can't be reached; holds until it reports again. */
    void markUnreachable(const std::string &group, const std::string &instance);

    /** Views of the group's subset for a request with these prefix hashes. */
    std::vector<TargetView> views(const std::string &group, const std::vector<std::uint64_t> &prefixHashes, TimePoint now) const;
    /** Link endpoint of a target. */
    std::optional<Endpoint> linkOf(const std::string &group, const std::string &instance) const;
    /** Groups and their members, for status pages. */
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
        std::unordered_map<std::string, Target> targets; //!< of the subset
        PrefixIndex prefixes;
    };
    /** Runs the action on a target of the subset and its group's prefixes, under the group's lock. */
    template<typename Action> void withTarget(const std::string &group, const std::string &instance, Action action);
    Group *find(const std::string &group) const;
    static TargetView viewOf(const Target &target, TimePoint now);

    std::string m_entry;
    mutable std::mutex m_lock; //!< guards the map, not the groups in it
    std::unordered_map<std::string, std::unique_ptr<Group>> m_groups; //!< never shrinks, so pointers stay valid
    std::uint32_t m_liveEntries = 1;
    std::vector<std::string> m_failureDomains;
};

} // namespace snipehill
