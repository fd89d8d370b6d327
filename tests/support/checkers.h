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

/** What was found wrong, one sentence each; empty where the checked statement holds. */
using Violations = std::vector<std::string>;

/** What a checker returns where its statement holds; compared with, so that a failing test prints what was found. */
inline const Violations noViolations;

/** One request as its caller knows it. */
struct CallerRecord
{
    std::string workspace; //!< of the key sent; empty on open routes
    Call call;
    Response response;
    bool mayBeLost = false; //!< its entry was killed, or the caller itself went away
    bool keyWithdrawn = false; //!< sent with a key that had been withdrawn for longer than the bound
};

/** Outcome in the body of a refusal ("not_run", "outcome_unknown", "rejected"), empty for other answers. */
std::string outcomeOf(const Response &response);

/** Time as in journals. */
double journalTime(TimePoint time);

/** Postings under a path prefix ran at most once for each workspace and Idempotency-Key, or else request id. */
Violations noRequestRunTwice(const Journal &targets, const std::string &pathPrefix);

/** No request refused as not run was run by a service or taken up by an engine, before or after the refusal. */
Violations refusedRequestsDidNotRun(const std::vector<CallerRecord> &callers, const Journal &targets);

/**
 * Every caller got the whole answer to its own request or a refusal: generated text token by token, and the
 * echo of its own body from a service.
 */
Violations responsesComplete(const std::vector<CallerRecord> &callers);

/**
 * Of each engine's orders: accepted ones have fences that never fall and ids that differ, and none came
 * while a change was under way.
 */
Violations noConflictingEngineOrders(const Journal &engines);

/** No accepted order met a running request, and no generation was cut by an order. */
Violations ordersInterruptNoRequest(const Journal &engines);

/**
 * Target orders of one failure domain come with epochs that never fall, each epoch from one holder. The
 * failure domain of a stop that names none is that of its instance.
 */
Violations platformOrdersFromOneHolder(const Journal &platform, const std::map<std::string, std::string> &domainOfInstance);

/** Figures of a workspace and window never differ; epochs never fall, each is of one holder. */
Violations usageOncePerWindow(const Journal &platform);

/** No target saw a caller's key; requests ran under the workspace of their key; those with a withdrawn key did not run. */
Violations keysIsolated(const std::vector<CallerRecord> &callers, const Journal &targets, const std::vector<std::string> &secrets);

/** A stand-in received nothing later than the bound after its leaving. */
Violations drainingTargetGetsNoNewWork(const Journal &targets, const std::string &standIn, TimePoint left, milliseconds timeout);

/** A process's config version as seen at an instant. */
struct ConfigObservation
{
    std::string process; //!< name and incarnation: a restarted process begins anew
    TimePoint time;
    Offset offset = noOffset;
};

/** No process went back to a lower offset. */
Violations configNeverReverts(const std::vector<ConfigObservation> &observations);

/** Each process was seen at the offset or beyond no later than the bound after it was published. */
Violations configAppliedWithin(const std::vector<ConfigObservation> &observations, Offset offset, TimePoint published, milliseconds timeout);

/** Text an engine generates for a chat-completions body. */
std::string expectedText(const Json::Value &body);

} // namespace snipehill::support
