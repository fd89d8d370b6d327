#include "targettable.h"

#include <algorithm>
#include <map>
#include <set>

namespace snipehill
{

namespace
{

constexpr std::size_t subsetSize = 32;
constexpr seconds crashSuspicionTime{3};

} // namespace

TargetTable::TargetTable(std::string entryInstance) : m_entry(std::move(entryInstance)) { }

TargetTable::Group *TargetTable::find(const std::string &group) const
{
    const std::lock_guard lock(m_lock);
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? nullptr : found->second.get();
}

void TargetTable::setMembers(const std::vector<Member> &members)
{
    std::map<std::string, std::vector<Member>> groups;
    std::uint32_t entries = 0;
    std::set<std::string> domains;
    for (const Member &member : members) {
        domains.insert(member.failureDomain);
        if (member.role == "sidecar") {
            groups[member.targetGroup].push_back(member);
        } else if (!member.leaving) {
            ++entries;
        }
    }
    {
        const std::lock_guard lock(m_lock);
        m_liveEntries = std::max(entries, 1U);
        m_failureDomains.assign(domains.begin(), domains.end());
        for (const auto &[name, list] : groups) {
            auto &slot = m_groups[name];
            if (!slot) {
                slot = std::make_unique<Group>();
            }
        }
        for (const auto &[name, group] : m_groups) {
            groups.try_emplace(name);
        }
    }
    for (const auto &[name, list] : groups) {
        std::vector<TargetMember> candidates;
        for (const Member &member : list) {
            candidates.push_back({member.instance, member.failureDomain});
        }
        Group &group = *find(name);
        const std::lock_guard lock(group.lock);
        std::unordered_map<std::string, Target> subset;
        for (const std::size_t position : targetSubset(m_entry, candidates, subsetSize)) {
            const Member &member = list[position];
            const auto known = group.targets.find(member.instance);
            Target target = known == group.targets.end() ? Target() : known->second;
            target.member = member;
            subset[member.instance] = std::move(target);
        }
        for (const auto &[instance, target] : group.targets) {
            if (!subset.contains(instance)) {
                removeTarget(group.prefixes, instance);
            }
        }
        group.targets = std::move(subset);
    }
}

std::vector<Endpoint> TargetTable::subsetLinks() const
{
    std::vector<Endpoint> links;
    const std::lock_guard lock(m_lock);
    for (const auto &[name, group] : m_groups) {
        const std::lock_guard groupLock(group->lock);
        for (const auto &[instance, target] : group->targets) {
            links.push_back(target.member.link);
        }
    }
    return links;
}

std::uint32_t TargetTable::liveEntries() const
{
    const std::lock_guard lock(m_lock);
    return m_liveEntries;
}

std::vector<std::string> TargetTable::failureDomains() const
{
    const std::lock_guard lock(m_lock);
    return m_failureDomains;
}

template<typename Action> void TargetTable::withTarget(const std::string &groupName, const std::string &instance, Action action)
{
    Group *group = find(groupName);
    if (!group) {
        return;
    }
    const std::lock_guard lock(group->lock);
    const auto found = group->targets.find(instance);
    if (found != group->targets.end()) {
        action(found->second, group->prefixes);
    }
}

void TargetTable::recordLoad(const LoadReport &report, TimePoint now)
{
    withTarget(report.targetGroup, report.instance, [&report, now](Target &target, PrefixIndex &prefixes) {
        target.report = report;
        target.reported = true;
        target.reportedAt = now;
        target.outstanding = {};
        target.unreachable = false;
        applyCacheEpoch(prefixes, report.instance, report.incarnation, report.cacheEpoch);
    });
}

void TargetTable::recordSent(const std::string &group, const std::string &instance, const CostEstimate &cost)
{
    withTarget(group, instance, [&instance, &cost](Target &target, PrefixIndex &prefixes) {
        ++target.outstanding.requests;
        target.outstanding.prefillTokens += cost.promptTokens;
        target.outstanding.decodeTokens += cost.outputTokens;
        recordRoutedPrefix(prefixes, instance, cost.prefixHashes);
    });
}

void TargetTable::recordCrash(const std::string &group, const std::string &instance, TimePoint now)
{
    withTarget(group, instance, [&instance, now](Target &target, PrefixIndex &prefixes) {
        target.suspectUntil = now + crashSuspicionTime;
        removeTarget(prefixes, instance);
    });
}

void TargetTable::markUnreachable(const std::string &group, const std::string &instance)
{
    withTarget(group, instance, [](Target &target, PrefixIndex &) {
        target.unreachable = true;
    });
}

TargetView TargetTable::viewOf(const Target &target, TimePoint now)
{
    TargetView view;
    view.instance = target.member.instance;
    view.failureDomain = target.member.failureDomain;
    view.report = target.report;
    view.reported = target.reported;
    view.reportAge = target.reported ? now - target.reportedAt : Duration();
    view.outstanding = target.outstanding;
    view.leaving = target.member.leaving;
    view.unreachable = target.unreachable;
    view.suspect = now < target.suspectUntil;
    return view;
}

std::vector<TargetView> TargetTable::views(const std::string &groupName, const std::vector<std::uint64_t> &prefixHashes, TimePoint now) const
{
    std::vector<TargetView> views;
    const Group *group = find(groupName);
    if (!group) {
        return views;
    }
    const std::lock_guard lock(group->lock);
    views.reserve(group->targets.size());
    for (const auto &[instance, target] : group->targets) {
        views.push_back(viewOf(target, now));
        views.back().cachedPromptTokens = cachedBlocks(group->prefixes, instance, prefixHashes) * tokensPerPrefixBlock();
    }
    return views;
}

std::optional<Endpoint> TargetTable::linkOf(const std::string &groupName, const std::string &instance) const
{
    const Group *group = find(groupName);
    if (!group) {
        return std::nullopt;
    }
    const std::lock_guard lock(group->lock);
    const auto found = group->targets.find(instance);
    if (found == group->targets.end()) {
        return std::nullopt;
    }
    return found->second.member.link;
}

std::vector<TargetView> TargetTable::allViews(TimePoint now) const
{
    std::vector<TargetView> views;
    const std::lock_guard lock(m_lock);
    for (const auto &[name, group] : m_groups) {
        const std::lock_guard groupLock(group->lock);
        for (const auto &[instance, target] : group->targets) {
            views.push_back(viewOf(target, now));
        }
    }
    return views;
}

} // namespace snipehill
