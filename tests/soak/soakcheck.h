#pragma once

#include "soakplan.h"

#include "support/checkers.h"

#include <set>
#include <string>
#include <vector>

namespace snipehill::soak
{

/** A request as its caller saw it. */
using support::CallerRecord;
using support::Journal;
using support::Violations;

/** Requests that must not be repeated ran at most once, over all targets and their restarts. */
Violations ranAtMostOnce(const Journal &journal);

/** No request whose answer promises that it was not run has run. */
Violations refusedRequestsDidNotRun(const std::vector<CallerRecord> &records, const Journal &journal);

/** A whole answer with success is that of a target that ran this very request; a broken one does not look whole. */
Violations responsesMatchRequests(const std::vector<CallerRecord> &records, const Journal &journal);

/** Targets see the workspace of the caller's key, and never the key. */
Violations keysAreNotForwarded(const std::vector<CallerRecord> &records, const Journal &journal);

/** Every request has its end within the bound. */
Violations requestsEndInTime(const std::vector<CallerRecord> &records, milliseconds timeout);

/** No window is reported with two sets of figures, nor by holders that take turns. */
Violations usageReportedOnce(const Journal &journal);

/** Orders to one engine come with fencing numbers that never fall, each from one holder. */
Violations ordersFromOneHolder(const Journal &journal);

/** Versions that one run of an entry puts in force only grow. */
Violations versionsIncrease(const std::string &entryLog);

/** A span in which a promise with a bound must hold: nothing else was out of order in it. */
struct CheckInterval
{
    std::string subject; //!< target that leaves, or key that was withdrawn
    double start = 0; //!< ms of the journal's clock, bound included
    double end = 0;
};

/** A leaving target gets no new work after its bound. */
Violations drainingTargetsGetNoWork(const std::vector<CheckInterval> &intervals, const Journal &journal);

/** A withdrawn key starts nothing after its bound. */
Violations withdrawnKeysRunNothing(const std::vector<CheckInterval> &intervals, const std::vector<CallerRecord> &records, const Journal &journal);

} // namespace snipehill::soak
