#include "processparts.h"

#include <process/log.h>

namespace snipehill
{

ConfigFollowerOptions followerOptions(const Settings &settings)
{
    ConfigFollowerOptions options;
    options.instance = settings.instance;
    options.region = settings.region;
    options.keyed = settings.role == ProcessRole::Entry;
    options.log = settings.platform.log;
    options.seeds = settings.peers;
    options.freshness = settings.timings.freshness;
    return options;
}

ControlSettings controlSettings(const Settings &settings, const Incarnation &self)
{
    ControlSettings control;
    control.self = self;
    control.log = settings.platform.log;
    control.targets = settings.platform.targets;
    control.usage = settings.platform.usage;
    control.lease.duration = settings.timings.lease;
    control.lease.margin = settings.timings.leaseMargin;
    control.grantDuration = settings.timings.grant;
    control.usageWindow = settings.timings.usageWindow;
    control.failureDomains = {settings.failureDomain};
    return control;
}

SidecarControlSettings authoritySettings(const Settings &settings, const Incarnation &self)
{
    SidecarControlSettings authority;
    authority.self = self;
    authority.log = settings.platform.log;
    authority.target = settings.target.address;
    authority.targetGroup = settings.target.group;
    authority.engine = settings.target.kind == TargetKind::Engine;
    authority.grant.duration = settings.timings.grant;
    authority.drainTimeout = settings.drain.timeout;
    authority.usageWindow = settings.timings.usageWindow;
    return authority;
}

void setConfigGauges(Metrics &metrics, const ConfigFollower &config)
{
    metrics.set(Gauge::ConfigVersion, {}, static_cast<double>(config.current()->offset));
    if (const auto contact = config.lastContact()) {
        metrics.set(Gauge::ConfigAgeSeconds, {}, std::chrono::duration<double>(Clock::now() - *contact).count());
    }
}

void reportRejectedRecord(Offset offset, const ApplyResult &result)
{
    if (result.outcome == ApplyOutcome::Rejected) {
        processMetrics().count(Counter::ConfigRecordsRejected);
        logEvent(LogComponent::Config, LogLevel::Warning, "configuration record rejected", result.reason, {{"offset", offset}});
    }
}

Json::Value leasesStatus(const std::vector<LeaseStatus> &leases)
{
    Json::Value list(Json::arrayValue);
    for (const LeaseStatus &lease : leases) {
        Json::Value entry;
        entry["scope"] = lease.scope;
        entry["held"] = lease.valid;
        entry["holder"] = lease.holder;
        entry["epoch"] = Json::Int64(lease.epoch);
        entry["era"] = Json::UInt64(lease.era);
        entry["validForMs"] = Json::Int64(lease.validFor.count());
        list.append(std::move(entry));
    }
    return list;
}

Json::Value targetsStatus(const std::vector<TargetView> &views)
{
    Json::Value list(Json::arrayValue);
    for (const TargetView &view : views) {
        Json::Value target;
        target["instance"] = view.instance;
        target["failureDomain"] = view.failureDomain;
        target["group"] = view.report.targetGroup;
        target["role"] = toString(view.report.role);
        target["accepting"] = view.reported && view.report.accepting;
        target["leaving"] = view.leaving;
        target["silent"] = view.unreachable;
        target["running"] = view.report.running;
        target["queued"] = view.report.queued;
        list.append(std::move(target));
    }
    return list;
}

std::vector<ConfigPeer> configPeers(const std::vector<Member> &members, const std::string &self)
{
    std::vector<ConfigPeer> peers;
    for (const Member &member : members) {
        if (member.instance != self && !member.leaving) {
            peers.push_back({member.instance, member.region, member.link, member.role == "entry"});
        }
    }
    return peers;
}

} // namespace snipehill
