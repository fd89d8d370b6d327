#pragma once

#include "client.h"
#include "journal.h"

#include <core/ids.h>
#include <core/time.h>

#include <map>
#include <string>
#include <vector>

namespace snipehill::support
{

/** Violations of an invariant, one sentence each; empty if it holds. */
using Violations = std::vector<std::string>;

/** Result of a checker whose invariant holds. Tests compare with it, so that a failing test prints the violations. */
inline const Violations noViolations;

/** A request and its response as seen by the caller. */
struct CallerRecord
{
    std::string workspace; //!< of the API key sent; empty on routes without authentication
    std::string entry; //!< address that the request was sent to; set by ClosedLoopCallers only
    Call call;
    Response response;
    bool mayBeLost = false; //!< the entry was killed or the caller disconnected, so that the response may be incomplete
    bool keyWithdrawn = false; //!< sent with a key that had been withdrawn for longer than the change may take to apply
};

/** Outcome in the body of a refusal ("not_run", "outcome_unknown", "rejected"); empty for other responses. */
std::string outcomeOf(const Response &response);

/** Milliseconds of the monotonic clock, as the "t" of journal events. */
double journalTime(TimePoint time);

/** POST requests under a path prefix ran at most once per workspace and Idempotency-Key, or per request id without a key. */
Violations noRequestRunTwice(const Journal &targets, const std::string &pathPrefix);

/** No request refused as not run was run by a service or accepted by an engine, before or after the refusal. */
Violations refusedRequestsDidNotRun(const std::vector<CallerRecord> &callers, const Journal &targets);

/**
 * Every caller got the complete response to its own request or a refusal. Generated text is compared with
 * expectedText(), the response of a service with the body and path that were sent.
 */
Violations responsesComplete(const std::vector<CallerRecord> &callers);

/**
 * For each engine, the fencing tokens of accepted orders never decrease, their ids are unique, and no order
 * arrived during a role or model change.
 */
Violations noConflictingEngineOrders(const Journal &engines);

/** No order was accepted while requests were running, and no order interrupted a generation. */
Violations ordersInterruptNoRequest(const Journal &engines);

/**
 * In each failure domain, the epochs of target orders never decrease and each epoch belongs to one lease holder.
 * A stop order without a failure domain counts for that of its instance.
 */
Violations platformOrdersFromOneHolder(const Journal &platform, const std::map<std::string, std::string> &domainOfInstance);

/** All reports of a workspace and window have the same totals; epochs never decrease and each belongs to one lease holder. */
Violations usageOncePerWindow(const Journal &platform);

/** No API key reached a target, requests ran under the workspace of their key, and none ran with a withdrawn key. */
Violations keysIsolated(const std::vector<CallerRecord> &callers, const Journal &targets, const std::vector<std::string> &secrets);

/** The stand-in received no request later than the timeout after its target started to drain. */
Violations drainingTargetGetsNoNewWork(const Journal &targets, const std::string &standIn, TimePoint drainStarted, milliseconds timeout);

/** Config version that a process reported at a point in time. */
struct ConfigObservation
{
    std::string process; //!< name and incarnation: a restarted process may start at a lower offset
    TimePoint time;
    Offset offset = noOffset;
};

/** The offset of a process never decreases. */
Violations configNeverReverts(const std::vector<ConfigObservation> &observations);

/** Each process reported the offset or a later one within the timeout after publication. */
Violations configAppliedWithin(const std::vector<ConfigObservation> &observations, Offset offset, TimePoint published, milliseconds timeout);

/** Text that the engine stand-in generates for a chat completion request. */
std::string expectedText(const Json::Value &body);

} // namespace snipehill::support
