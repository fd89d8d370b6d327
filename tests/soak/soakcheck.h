#pragma once

#include "soakplan.h"

#include "support/checkers.h"

#include <set>
#include <string>
#include <vector>

namespace snipehill::soak
{

using support::CallerRecord;
using support::Journal;
using support::Violations;

/** In the body of each broken response of a target. */
constexpr const char *brokenResponseMark = "no part of any answer";

/** Finds non-idempotent requests that ran more than once, counted over all targets and their restarts. */
Violations ranAtMostOnce(const Journal &journal);

/** Finds requests that ran although their response status states that they did not and never will. */
Violations refusalsDidNotRun(const std::vector<CallerRecord> &records, const Journal &journal);

/**
 * Finds complete responses with status 200 that lack the signature of a target that ran the same request, or whose body
 * is that of another request or truncated.
 */
Violations responsesMatchRequests(const std::vector<CallerRecord> &records, const Journal &journal);

/** Finds responses with a status that no final response of HTTP has, and any part of a broken response of a target. */
Violations brokenResponsesReachNoCaller(const std::vector<CallerRecord> &records);

/** Finds runs of unknown requests, with the caller's API key, for another workspace, or for another target instance. */
Violations keysAreNotForwarded(const std::vector<CallerRecord> &records, const Journal &journal);

/** Finds requests that took longer than the timeout. */
Violations requestsEndInTime(const std::vector<CallerRecord> &records, milliseconds timeout);

/** Finds configuration versions that an entry process activated after an equal or higher one; a restart begins anew. */
Violations versionsIncrease(const std::string &entryLog);

/** Interval in which a time-limited guarantee is checked, as no fault that could delay it was active. */
struct CheckInterval
{
    std::string subject; //!< id of the draining target, or the withdrawn key
    double start = 0; //!< ms on the journal's clock; the time allowed for the change has passed
    double end = 0; //!< ms on the journal's clock
};

/** Finds work that a draining target received within its interval. */
Violations drainingTargetsGetNoWork(const std::vector<CheckInterval> &intervals, const Journal &journal);

/**
 * Finds requests that callers sent later than the drain time after their entry had passed on a response with which the target said
 * that it leaves, and that reached the target.
 *
 * @param runs from when a target says so until its next run, by id of the target
 * @param excuses by address of the entry: it was restarted or paused
 */
Violations leavingTargetsGetNoWork(const std::vector<CheckInterval> &runs,
                                   const std::vector<CallerRecord> &records,
                                   const Journal &journal,
                                   const std::vector<CheckInterval> &excuses,
                                   double drainMs);

/** The next run of the target has been registered, which ends what was to hold for the one before, also from later faults. */
void endLeavingRuns(std::vector<CheckInterval> &runs, const std::string &target, double now);

/**
 * Finds targets that got more than two requests from an entry between half a second after they had refused one of its requests
 * with a pause and the end of the pause.
 *
 * @param excuses by address of the entry, which was restarted or paused, or by id of the target, which was cut off
 */
Violations pausedTargetsGetNoWork(const std::vector<CallerRecord> &records, const Journal &journal, const std::vector<CheckInterval> &excuses);

/** Finds requests sent with a withdrawn key within its interval that ran. */
Violations withdrawnKeysRunNothing(const std::vector<CheckInterval> &intervals, const std::vector<CallerRecord> &records, const Journal &journal);

/** Intervals in which an injected fault may end requests, on the journal's clock. */
struct EndingFaults
{
    std::vector<CheckInterval> kills; //!< by address of the entry: it was killed
    std::vector<CheckInterval> absences; //!< by address of the entry: from its SIGTERM or kill until its next start
    std::vector<CheckInterval> brokenTargets; //!< by id of the target: it was killed or its connections were broken
};

/** Ids of the requests that the logs of entries name. */
std::set<std::string> requestsInLog(const std::string &entryLog);

/**
 * Finds requests that an entry received completely and that ended without a complete response, although their entry was not
 * killed, the target did not break off their stream and the timeout of their route had not passed; also connections that
 * were closed with a request on them by an entry that was not stopping.
 *
 * @param requestsInLogs requests known to have been received
 */
Violations receivedRequestsAreAnswered(const std::vector<CallerRecord> &records,
                                       const Journal &journal,
                                       const std::set<std::string> &requestsInLogs,
                                       const EndingFaults &faults,
                                       milliseconds routeTimeout);

/** Finds requests with other than one final line in the log of an entry, unless their process was killed or dropped lines. */
Violations requestsEndOnceInLog(const std::string &entryLog);

/** Finds a difference between the requests that an idle entry received and those that ended, in its metrics. */
Violations requestsAddUpInMetrics(const std::string &metrics);

} // namespace snipehill::soak
