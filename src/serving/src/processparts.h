#pragma once

#include <process/configfollower.h>
#include <process/controlplane.h>
#include <process/leasekeeper.h>
#include <process/membershipwatcher.h>
#include <process/metrics.h>
#include <process/settings.h>
#include <process/sidecarauthority.h>
#include <request/targetchoice.h>

#include <json/value.h>

#include <string>
#include <vector>

namespace snipehill
{

/** Options of the config follower, from the settings. */
ConfigFollowerOptions followerOptions(const Settings &settings);

/** Settings of the control work of an entry. */
ControlSettings controlSettings(const Settings &settings, const Incarnation &self);

/** Settings of a sidecar's authority over its target. */
SidecarAuthoritySettings authoritySettings(const Settings &settings, const Incarnation &self);

/** Version and age of the configuration. */
void setConfigGauges(Metrics &metrics, const ConfigFollower &config);

/** Counts configuration records without effect and logs why. */
void noteApplied(Offset offset, const ApplyResult &result);

/** Leases as /status shows them. */
Json::Value leasesStatus(const std::vector<LeaseStatus> &leases);

/** Targets as /status shows them. */
Json::Value targetsStatus(const std::vector<TargetView> &views);

/** All other members, as the config follower knows them. */
std::vector<ConfigPeer> configPeers(const std::vector<Member> &members, const std::string &self);

} // namespace snipehill
