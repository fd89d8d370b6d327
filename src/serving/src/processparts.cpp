#include "processparts.h"

namespace snipehill
{

ConfigFollowerOptions followerOptions(const Settings &settings)
{
    ConfigFollowerOptions options;
    options.instance = settings.instance;
    options.region = settings.region;
    options.log = settings.platform.log;
    options.seeds = settings.peers;
    options.freshness = settings.timings.freshness;
    return options;
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
        target["silent"] = view.silent;
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
        if (member.instance != self) {
            peers.push_back({member.instance, member.region, member.link});
        }
    }
    return peers;
}

} // namespace snipehill
