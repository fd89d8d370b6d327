#pragma once

#include <process/configfollower.h>
#include <process/controlplane.h>
#include <process/leasemanager.h>
#include <process/membershipwatcher.h>
#include <process/metrics.h>
#include <process/settings.h>
#include <process/sidecarcontrol.h>
#include <request/targetchoice.h>

#include <json/value.h>

#include <string>
#include <vector>

namespace snipehill
{

/** Derives the options of the config follower from the process settings. */
ConfigFollowerOptions followerOptions(const Settings &settings);

/** Derives the control plane settings of an entry. */
ControlSettings controlSettings(const Settings &settings, const Incarnation &self);

/** Derives the settings of the sidecar's authority over its target. */
SidecarControlSettings authoritySettings(const Settings &settings, const Incarnation &self);

/** Updates the gauges for the version and age of the configuration. */
void setConfigGauges(Metrics &metrics, const ConfigFollower &config);

/** Counts and logs a configuration record that was rejected; does nothing for other outcomes. */
void reportRejectedRecord(Offset offset, const ApplyResult &result);

/** Leases in the JSON format of /status. */
Json::Value leasesStatus(const std::vector<LeaseStatus> &leases);

/** Targets in the JSON format of /status. */
Json::Value targetsStatus(const std::vector<TargetView> &views);

/** Members other than this instance that are not leaving, as peers of the config follower. */
std::vector<ConfigPeer> configPeers(const std::vector<Member> &members, const std::string &self);

} // namespace snipehill
