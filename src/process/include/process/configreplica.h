#pragma once

#include <core/ids.h>
#include <core/reason.h>
#include <core/time.h>
#include <process/freshness.h>
#include <process/logclient.h>
#include <version/configapply.h>

#include <json/value.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipehill
{

/** Called with the result of applying each record, for logs and metrics. */
using ApplyObserver = std::function<void(Offset offset, const ApplyResult &result)>;

/** A process's replica of the config stream. Plain value without I/O; ConfigFollower guards it with a lock. */
struct ConfigReplica
{
    ConfigFold fold;
    std::deque<LogRecord> recent; //!< last records applied, sent to peers that are slightly behind
    std::optional<TimePoint> contactAt; //!< see FreshnessInputs
    std::optional<TimePoint> partialReadAt; //!< see FreshnessInputs
    std::optional<TimePoint> snapshotSeenAt; //!< when the newest snapshot was read from the log; empty if it is older than the first contact of this process
    Offset highestKnownOffset = noOffset; //!< highest offset reported by the log or a peer
    std::map<std::string, MemberContact> memberContacts; //!< by instance
};

/** Applies a page of the log that was requested at sentAt; true if the configuration changed. */
bool applyPage(ConfigReplica &replica, const LogPage &page, TimePoint sentAt, TimePoint now, const ApplyObserver &observer);

/**
 * Makes the update for a peer whose configuration is at the given offset: the result of config.read and the parameters of
 * config.advance. Contains the records that the peer lacks, or a copy of the configuration if too many are missing.
 */
Json::Value makeConfigUpdate(const ConfigReplica &replica, const std::string &instance, Offset peerOffset, TimePoint now);

/**
 * Applies an update from a peer. For the response to a pull, sentAt is the time at which the pull was sent, and the peer's
 * contact with the log counts as contact of this process; a pushed update may have been delayed for any time, so it proves
 * nothing about freshness. True if the configuration changed; never goes back to a lower offset.
 */
bool applyConfigUpdate(ConfigReplica &replica, const Json::Value &update, std::optional<TimePoint> sentAt, const ApplyObserver &observer);

/** Offset to pull from a peer after; noOffset, which yields a copy, if the replica misses records. */
Offset pullOffset(const ConfigReplica &replica);

/** Inputs of evaluateFreshness() for the given last known members. */
FreshnessInputs freshnessInputs(const ConfigReplica &replica, const std::vector<std::string> &members);

} // namespace snipehill
