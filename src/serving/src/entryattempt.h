#pragma once

#include "callerrequest.h"
#include "callerresponse.h"
#include "entrycontext.h"

#include <core/ids.h>
#include <core/refusal.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace snipehill
{

/** How an attempt ended at its entry. */
enum class AttemptEnd {
    Complete, //!< the caller has the whole answer
    Refused, //!< the sidecar refused or its target failed, see the refusal
    LostContact, //!< the sidecar can't be asked what became of the attempt
    Expired, //!< the caller's deadline has passed
    CallerGone,
};

/** Result of one attempt. */
struct AttemptResult
{
    AttemptEnd end = AttemptEnd::Complete;
    Refusal refusal; //!< of Refused, LostContact and Expired
    Incarnation owner; //!< of the idempotency key, where that is why the attempt was refused
    bool targetCrashed = false; //!< the target died while it ran the attempt
    std::vector<std::uint64_t> inFlight; //!< fingerprints on the target when it died
};

/** Where an attempt runs. */
struct AttemptTarget
{
    std::string instance;
    Endpoint link;
    bool isolated = false; //!< with nothing else on the target
};

/**
 * Runs one attempt on one sidecar: sends it, passes the answer on, and resolves it over a new connection
 * when the connection is lost. On the strand of the caller's connection.
 */
boost::asio::awaitable<AttemptResult> runAttempt(EntryContext &context, const CallerRequest &request, AttemptTarget target, CallerResponse &response);

} // namespace snipehill
