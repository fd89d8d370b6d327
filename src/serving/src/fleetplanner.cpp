#include "fleetplanner.h"

#include <algorithm>

namespace snipehill
{

namespace
{

constexpr milliseconds demandInterval{1000}; //!< minimum time between two measurements of demand
constexpr seconds startTimeout{120}; //!< for a started target to appear in the instance list
constexpr seconds freshReport{10};

/** Returns running and queued requests as a number of fully used targets; empty while reports are missing or too old. */
std::optional<double> loadOf(const std::vector<TargetView> &views)
{
    double load = 0;
    for (const TargetView &view : views) {
        if (!view.reported || view.reportAge > freshReport) {
            return std::nullopt;
        }
        load += static_cast<double>(view.report.running + view.report.queued) / std::max(1U, view.report.slots);
    }
    return load;
}

} // namespace

FleetPlanner::FleetPlanner(const TargetTable &targets, const ConfigFollower &config) : m_targets(targets), m_config(config) { }

std::vector<std::string> FleetPlanner::roleGroups() const
{
    std::vector<std::string> groups;
    const ConfigPointer config = m_config.current();
    for (const auto &[name, group] : config->targetGroups) {
        if (group.value.kind == TargetKind::Engine && group.value.planRoles) {
            groups.push_back(name);
        }
    }
    return groups;
}

void FleetPlanner::measureDemand(Group &group, const std::vector<TargetView> &views, TimePoint now) const
{
    if (group.measuredAt && now - *group.measuredAt < demandInterval) {
        return;
    }
    TokenDemand added;
    for (const TargetView &view : views) {
        if (!view.reported) {
            continue;
        }
        Admitted &last = group.admitted[view.instance];
        const bool same = last.incarnation == view.report.incarnation;
        if (same) {
            added.prefill += static_cast<double>(view.report.admittedPrefillTokens - last.prefill);
            added.decode += static_cast<double>(view.report.admittedDecodeTokens - last.decode);
        }
        last = {view.report.incarnation, view.report.admittedPrefillTokens, view.report.admittedDecodeTokens};
    }
    if (group.measuredAt) {
        const double elapsed = std::chrono::duration<double>(now - *group.measuredAt).count();
        addDemand(group.pool.demand, {added.prefill / elapsed, added.decode / elapsed}, m_roleSettings, now);
    }
    group.measuredAt = now;
}

std::optional<PlannedEngineOrder> FleetPlanner::planRoles(const std::string &name, const std::set<std::string> &busy, TimePoint now)
{
    const std::vector<TargetView> views = m_targets.views(name, {}, now);
    const std::lock_guard lock(m_lock);
    Group &group = m_groups[name];
    measureDemand(group, views, now);
    std::vector<EngineView> engines;
    engines.reserve(views.size());
    for (const TargetView &view : views) {
        const Engine &known = group.engines[view.instance];
        EngineView engine;
        engine.instance = view.instance;
        engine.failureDomain = view.failureDomain;
        engine.role = view.report.role;
        engine.live = view.reported && !view.unreachable && !view.leaving;
        engine.changing = busy.contains(view.failureDomain) && !view.report.accepting;
        engine.reportAge = view.reported ? std::optional(view.reportAge) : std::nullopt;
        engine.prefillTokensPerSecond = view.report.prefillTokensPerSecond;
        engine.decodeTokensPerSecond = view.report.decodeTokensPerSecond;
        engine.lastChange = known.lastChange;
        engine.everChanged = known.everChanged;
        engines.push_back(std::move(engine));
    }
    const std::vector<std::string> busyDomains(busy.begin(), busy.end());
    const auto change = snipehill::planRoles(engines, group.pool, busyDomains, m_roleSettings, now);
    if (!change) {
        return std::nullopt;
    }
    return PlannedEngineOrder{.instance = change->instance, .kind = EngineOrder::Kind::Role, .role = change->role};
}

void FleetPlanner::recordRoleOrder(const std::string &name, const PlannedEngineOrder &order, TimePoint now)
{
    const std::lock_guard lock(m_lock);
    Group &group = m_groups[name];
    recordRoleChange(group.pool, now);
    group.engines[order.instance] = {now, true};
}

std::vector<ScaleTarget> FleetPlanner::scaleTargets(Group &group, const std::vector<TargetView> &views, TimePoint now) const
{
    std::vector<ScaleTarget> targets;
    targets.reserve(views.size());
    for (const TargetView &view : views) {
        targets.push_back({view.instance, view.failureDomain, view.reported && !view.unreachable, !view.reported, view.leaving});
    }
    if (views.size() > group.targetsAtStart) {
        group.starting.clear(); // the started target has appeared in the instance list
    }
    std::erase_if(group.starting, [now](const auto &start) {
        return now - start.second > startTimeout;
    });
    for (const auto &[domain, since] : group.starting) {
        targets.push_back({"", domain, false, true, false});
    }
    return targets;
}

std::optional<PlannedTargetOrder> FleetPlanner::planTargets(const std::string &failureDomain, TimePoint now)
{
    const ConfigPointer config = m_config.current();
    const std::vector<std::string> domains = m_targets.failureDomains();
    for (const auto &[name, targetGroup] : config->targetGroups) {
        const std::vector<TargetView> views = m_targets.views(name, {}, now);
        const std::lock_guard lock(m_lock);
        Group &group = m_groups[name];
        const auto targets = scaleTargets(group, views, now);
        const auto order = planScale(group.scale[failureDomain], targets, domains, loadOf(views), targetGroup.value, m_scaleSettings, now);
        if (!order || order->failureDomain != failureDomain) {
            continue; // the holder of that domain's lease makes the same plan and carries it out
        }
        const bool start = order->kind == ScaleOrder::Kind::Start;
        if (start) {
            group.starting[failureDomain] = now;
            group.targetsAtStart = views.size();
        }
        return PlannedTargetOrder{start, name, failureDomain, order->instance};
    }
    return std::nullopt;
}

} // namespace snipehill
