#pragma once

#include <process/configfollower.h>
#include <process/members.h>
#include <process/settings.h>
#include <request/targetchoice.h>

#include <json/value.h>

#include <string>
#include <vector>

namespace snipehill
{

/** Options of the config follower, from the settings. */
ConfigFollowerOptions followerOptions(const Settings &settings);

/** Targets as /status shows them. */
Json::Value targetsStatus(const std::vector<TargetView> &views);

/** All other members, as the config follower knows them. */
std::vector<ConfigPeer> configPeers(const std::vector<Member> &members, const std::string &self);

} // namespace snipehill
