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

/** Called with the fate of each record, for logs and metrics. */
using ApplyObserver = std::function<void(Offset offset, const ApplyResult &result)>;

/** What a process holds of the config stream. Plain value without I/O; the follower guards it by a lock. */
struct ConfigReplica
{
    ConfigFold fold;
    std::deque<LogRecord> recent; //!< last records applied, for peers that are a little behind
    std::optional<TimePoint> contactAt; //!< see FreshnessView
    std::optional<TimePoint> partialReadAt; //!< see FreshnessView
    std::optional<TimePoint> snapshotSeenAt; //!< when the last snapshot was seen being appended
    Offset highestKnownOffset = noOffset; //!< highest offset that the log or any peer told of
    std::map<std::string, MemberContact> memberContacts; //!< by instance
};

/** Takes a page that was asked for at the given time; true if the configuration moved. */
bool applyPage(ConfigReplica &replica, const LogPage &page, TimePoint sentAt, TimePoint now, const ApplyObserver &observer);

/**
 * What a process tells a peer that holds the given offset: result of config.read and parameters of
 * config.advance. Carries the records in between, or a copy where too many are missing.
 */
Json::Value makeConfigUpdate(const ConfigReplica &replica, const std::string &instance, Offset peerOffset, TimePoint now);

/**
 * Takes what a peer told. If it answered a question, sentAt is when that was sent, and its contact with the log counts;
 * unasked news may have been delayed without bound, so that it proves nothing about freshness.
 * True if the configuration moved; never moves it to a lower offset.
 */
bool applyConfigUpdate(ConfigReplica &replica, const Json::Value &told, std::optional<TimePoint> sentAt, const ApplyObserver &observer);

/** The offset to ask a peer for news after; a process that misses records needs a copy. */
Offset pullOffset(const ConfigReplica &replica);

/** What judgeFreshness needs, for the given members last known. */
FreshnessInputs freshnessInputs(const ConfigReplica &replica, const std::vector<std::string> &members);

} // namespace snipehill
