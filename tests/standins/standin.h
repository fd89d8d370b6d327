#pragma once

#include <connection/httpserver.h>
#include <core/time.h>

#include <json/value.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace snipehill::standins
{

/**
 * Event log of a stand-in, one JSON object per event. Kept in memory and, if a file is given, also appended to it line
 * by line, so that it survives a crash of the process. Not thread-safe.
 */
class Journal
{
public:
    Journal(std::string standIn, std::string file);
    /** Appends an event, adding the time ("t", milliseconds of the monotonic clock) and the name of the stand-in. */
    void add(std::string_view event, Json::Value fields);
    /** All events, one JSON object per line. */
    const std::string &lines() const noexcept;

private:
    std::string m_standIn;
    std::string m_file;
    std::string m_lines;
};

/**
 * Faults and rates by name, set over the control port. "scope.name" limits a fault to a scope, such as a stream or an
 * interface, and takes precedence over the plain name.
 */
class Faults
{
public:
    /** Sets the members of an object; null removes a fault. */
    void merge(const Json::Value &changes);
    bool flag(const std::string &scope, const std::string &name) const;
    milliseconds delay(const std::string &scope, const std::string &name) const;
    std::int64_t number(const std::string &scope, const std::string &name, std::int64_t defaultValue) const;
    std::string text(const std::string &name, std::string defaultValue) const;
    /** For faults that apply to the next N calls: decrements the count; false if it is zero. */
    bool consume(const std::string &scope, const std::string &name);
    const Json::Value &all() const noexcept;

private:
    const Json::Value *find(const std::string &scope, const std::string &name) const;
    Json::Value m_values{Json::objectValue};
};

/** Base of the stand-ins: serves an interface, journals what it receives and applies its faults. All run on one thread. */
class StandIn
{
public:
    StandIn(std::string name, std::string journalFile);
    virtual ~StandIn();
    StandIn(const StandIn &) = delete;
    StandIn &operator=(const StandIn &) = delete;

    virtual boost::asio::awaitable<void> handle(HttpExchange &exchange) = 0;
    /** Handles a control request other than /journal and /faults; false for an unknown path. */
    virtual bool control(const std::string &path, const Json::Value &body);

    Journal journal;
    Faults faults;
    const std::string name;
};

std::unique_ptr<StandIn> makeLog(std::string name, std::string journalFile);
std::unique_ptr<StandIn> makeEngine(std::string name, std::string journalFile);
std::unique_ptr<StandIn> makeService(std::string name, std::string journalFile);
std::unique_ptr<StandIn> makePlatformStore(std::string name, std::string journalFile);
std::unique_ptr<StandIn> makePlatformServer(std::string name, std::string journalFile);
std::unique_ptr<StandIn> makePlatform(std::string name, std::string journalFile);

/** Serves /journal and /faults of a stand-in and passes other control requests to StandIn::control(). */
boost::asio::awaitable<void> handleControl(StandIn &standIn, HttpExchange &exchange);

/** A request target split into path and query. */
struct Target
{
    std::string path;
    std::string query;
};
Target splitTarget(std::string_view target);
/** Integer value of a query parameter. */
std::int64_t queryNumber(const Target &target, std::string_view name, std::int64_t defaultValue);

std::optional<Json::Value> parseJson(const std::string &text);
std::string writeJson(const Json::Value &value);
std::uint64_t fnv1a64(std::string_view text) noexcept;
std::string hex(std::uint64_t value, int digits);

/** Header fields of a request by lower-case name. */
Json::Value headersOf(const HttpExchange &exchange);
std::string header(const HttpExchange &exchange, std::string_view name);

boost::asio::awaitable<void> respondJson(HttpExchange &exchange, unsigned status, Json::Value value);
boost::asio::awaitable<void> pause(milliseconds delay);

} // namespace snipehill::standins
