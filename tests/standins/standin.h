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
 * What reached a stand-in, one JSON object an event. Kept in memory and, where a file is named, also written
 * there line by line, so that it outlives a crash of the process. Used by the program's one thread.
 */
class Journal
{
public:
    Journal(std::string standIn, std::string file);
    /** Adds the time ("t", milliseconds of the machine's monotonic clock) and the stand-in's name. */
    void add(std::string_view event, Json::Value fields);
    /** All events, one JSON text a line. */
    const std::string &lines() const noexcept;

private:
    std::string m_standIn;
    std::string m_file;
    std::string m_lines;
};

/**
 * Switches set over the control port, by name. A switch may be narrowed to a scope, such as a stream or an
 * interface, by writing "scope.name"; the narrower one goes first.
 */
class Faults
{
public:
    /** Merges the members of an object; null removes a switch. */
    void merge(const Json::Value &changes);
    bool flag(const std::string &scope, const std::string &name) const;
    milliseconds delay(const std::string &scope, const std::string &name) const;
    std::int64_t number(const std::string &scope, const std::string &name, std::int64_t defaultValue) const;
    std::string text(const std::string &name, std::string defaultValue) const;
    /** Counts a switch of the kind "the next N" down by one; false at zero. */
    bool consume(const std::string &scope, const std::string &name);
    const Json::Value &all() const noexcept;

private:
    const Json::Value *find(const std::string &scope, const std::string &name) const;
    Json::Value m_values{Json::objectValue};
};

/** One stand-in: serves its interface, journals, obeys its faults. All run on the program's one thread. */
class StandIn
{
public:
    StandIn(std::string name, std::string journalFile);
    virtual ~StandIn();
    StandIn(const StandIn &) = delete;
    StandIn &operator=(const StandIn &) = delete;

    virtual boost::asio::awaitable<void> handle(HttpExchange &exchange) = 0;
    /** A control request beyond /journal and /faults; false if there is none of this path. */
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

/** Serves /journal and /faults of a stand-in. */
boost::asio::awaitable<void> handleControl(StandIn &standIn, HttpExchange &exchange);

/** Text split into path and query. */
struct Target
{
    std::string path;
    std::string query;
};
Target splitTarget(std::string_view target);
/** Number of a query parameter. */
std::int64_t queryNumber(const Target &target, std::string_view name, std::int64_t defaultValue);

std::optional<Json::Value> parseJson(const std::string &text);
std::string writeJson(const Json::Value &value);
std::uint64_t fnv1a64(std::string_view text) noexcept;
std::string hex(std::uint64_t value, int digits);

/** Header fields by lower-case name. */
Json::Value headersOf(const HttpExchange &exchange);
std::string header(const HttpExchange &exchange, std::string_view name);

boost::asio::awaitable<void> respondJson(HttpExchange &exchange, unsigned status, Json::Value value);
boost::asio::awaitable<void> pause(milliseconds delay);

} // namespace snipehill::standins
