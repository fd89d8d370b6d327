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
    Complete, //!< the caller has received the whole response
    Refused, //!< the sidecar refused the attempt or its target failed, see the refusal
    LostContact, //!< the sidecar can't be reached or was restarted, so the state of the attempt is unknown
    Expired, //!< the caller's deadline has passed
    CallerGone,
};

/** Result of one attempt. */
struct AttemptResult
{
    AttemptEnd end = AttemptEnd::Complete;
    Refusal refusal; //!< set for Refused, LostContact and Expired
    Incarnation owner; //!< sidecar that holds the idempotency key, if the attempt was refused for that reason
    bool targetCrashed = false; //!< the target crashed while it ran the attempt
    std::vector<std::uint64_t> inFlight; //!< fingerprints of the requests on the target when it crashed
};

/** Where an attempt runs. */
struct AttemptTarget
{
    std::string instance;
    Endpoint link;
    bool isolated = false; //!< with no other request on the target
};

/**
 * Runs one attempt on one sidecar: sends it, forwards the response and, if the connection is lost, queries the
 * state of the attempt over a new one. Runs on the strand of the caller's connection.
 */
boost::asio::awaitable<AttemptResult> runAttempt(EntryContext &context, const CallerRequest &request, AttemptTarget target, CallerResponse &response);

} // namespace snipehill
