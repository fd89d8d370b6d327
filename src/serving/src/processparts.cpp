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
