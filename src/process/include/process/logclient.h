#pragma once

#include <connection/endpoint.h>
#include <core/ids.h>
#include <core/reason.h>
#include <core/time.h>

#include <boost/asio/awaitable.hpp>
#include <json/value.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace snipehill
{

/** Streams of the platform's log that the system uses. */
namespace streams
{
constexpr const char *config = "config";
constexpr const char *leases = "leases";
constexpr const char *intents = "intents";
constexpr const char *usage = "usage";
constexpr const char *orders = "orders";
} // namespace streams

/** One record of a stream. */
struct LogRecord
{
    Offset offset = noOffset;
    Json::Value value;
};

/** Result of a read. */
struct LogPage
{
    LogEra era = 0; //!< era of the log in which this page was read
    Offset firstRetained = 0; //!< lowest offset still retained; older records have been removed
    Offset next = 0; //!< offset from which to continue reading; at the end of the stream, that of the next record appended
    std::vector<LogRecord> records;
};

/**
 * Reads records of a stream from an offset on; waits up to the given time if there are none. Returns nothing and sets a
 * reason on failure.
 */
boost::asio::awaitable<std::optional<LogPage>> readLog(Endpoint log, std::string stream, Offset from, milliseconds wait, Reason &reason);

/**
 * Appends records in one call; they get consecutive offsets, of which the first is returned. Returns nothing and sets a
 * reason if no valid response came: the records may still have been appended, so read the stream to find out.
 */
boost::asio::awaitable<std::optional<Offset>> appendLog(Endpoint log, std::string stream, std::vector<Json::Value> records, Reason &reason);

/** Functions with which the control plane reads and appends records; allows for other log services than the project's own. */
struct LogAccess
{
    std::function<boost::asio::awaitable<std::optional<LogPage>>(std::string stream, Offset from, milliseconds wait, Reason &reason)> read;
    std::function<boost::asio::awaitable<std::optional<Offset>>(std::string stream, std::vector<Json::Value> records, Reason &reason)> append;
    std::function<LogEra()> era; //!< highest era in any response so far; not set for logs that never lose records
};

/** Access to the log service at the given address. */
LogAccess makeLogAccess(Endpoint log);

} // namespace snipehill
