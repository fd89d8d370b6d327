#pragma once

#include <core/time.h>

#include <boost/asio/awaitable.hpp>

namespace snipehill
{

/** Suspends the calling coroutine for the given time. */
boost::asio::awaitable<void> pauseFor(milliseconds time);

} // namespace snipehill
