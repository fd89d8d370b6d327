#pragma once

#include "entrycontext.h"

#include <connection/httpserver.h>

#include <boost/asio/awaitable.hpp>

namespace snipehill
{

/**
 * Serves one caller's request from its head to the end of its response: authentication, admission, attempts,
 * response. Runs on the strand of the caller's connection.
 */
boost::asio::awaitable<void> serveCaller(EntryContext &context, HttpExchange &exchange);

} // namespace snipehill
