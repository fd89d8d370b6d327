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

/** One record as the log keeps it. */
struct LogRecord
{
    Offset offset = noOffset;
    Json::Value value;
};

/** Answer to a read. */
struct LogPage
{
    Offset firstRetained = 0; //!< older records have aged out
    Offset next = 0; //!< offset that the next record will get, or at which to read on
    std::vector<LogRecord> records;
};

/** Records of a stream from an offset on; waits up to the given time for one when there is none. */
boost::asio::awaitable<std::optional<LogPage>> readLog(Endpoint log, std::string stream, Offset from, milliseconds wait, Reason &reason);

/**
 * Appends records in one call; they get consecutive offsets, of which the first is returned.
 * Empty with a reason when no answer came: the records may still have been appended, read back to know.
 */
boost::asio::awaitable<std::optional<Offset>> appendLog(Endpoint log, std::string stream, std::vector<Json::Value> records, Reason &reason);

/** How control work reads and appends records; the log service may be another one than the project's own. */
struct LogAccess
{
    std::function<boost::asio::awaitable<std::optional<LogPage>>(std::string stream, Offset from, milliseconds wait, Reason &reason)> read;
    std::function<boost::asio::awaitable<std::optional<Offset>>(std::string stream, std::vector<Json::Value> records, Reason &reason)> append;
};

/** Access to the log service at an address. */
LogAccess makeLogAccess(Endpoint log);

} // namespace snipehill
