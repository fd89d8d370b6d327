#pragma once

#include <core/time.h>

#include <boost/asio/awaitable.hpp>

namespace snipehill
{

/** Suspends the coroutine for a time on its executor's timer. */
boost::asio::awaitable<void> pauseFor(milliseconds time);

} // namespace snipehill
