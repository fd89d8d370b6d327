#pragma once

#include "streamrun.h"

namespace snipehill
{

/**
 * Stops reading a stream until its caller has taken some of what is queued, a write fails, or the deadline of the request passes.
 * Counts and logs the pause, and records it in the exchange, whose target may abort a response that stays unread.
 */
boost::asio::awaitable<void> pauseForCaller(DirectRequest &request, DirectExchange &exchange, StreamProgress &progress);

/** Writes what is queued; false if a write failed, or if the caller has not taken it within the time for that. */
boost::asio::awaitable<bool> flushEvents(DirectRequest &request, StreamProgress &progress);

/** Writes what is queued, ends the response and records the outcome. A response that the caller doesn't take in time is cut. */
boost::asio::awaitable<void> finishDelivery(DirectRequest &request, StreamProgress &progress);

} // namespace snipehill
