#include "standin.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace snipehill::standins
{

namespace asio = boost::asio;

namespace
{

constexpr std::int64_t defaultPageRecords = 500;

struct Stream
{
    std::int64_t first = 0;
    std::deque<Json::Value> records;
    std::set<asio::steady_timer *> waiting; //!< long polls, cancelled by an append

    std::int64_t next() const
    {
        return first + static_cast<std::int64_t>(records.size());
    }
};

/**
 * The platform's log: append-only streams with offsets. Faults, each for all streams or as "stream.name": outage and
 * appendOutage (503), cut (closes the connection without a response), slowMs (delay), answerLost (the next N appends take effect
 * without a response). POST /retain {"stream": S, "from": N} on the control port removes older records.
 */
class Log : public StandIn
{
public:
    using StandIn::StandIn;

    asio::awaitable<void> handle(HttpExchange &exchange) override
    {
        const Target target = splitTarget(std::string(exchange.request().target()));
        const std::string prefix = "/streams/";
        const std::string suffix = "/records";
        if (!target.path.starts_with(prefix) || !target.path.ends_with(suffix)) {
            co_await respondJson(exchange, 404, Json::Value(Json::objectValue));
            co_return;
        }
        const std::string stream = target.path.substr(prefix.size(), target.path.size() - prefix.size() - suffix.size());
        co_await pause(faults.delay(stream, "slowMs"));
        if (faults.flag(stream, "cut")) {
            exchange.abort();
            co_return;
        }
        if (faults.flag(stream, "outage")) {
            co_await respondJson(exchange, 503, Json::Value(Json::objectValue));
            co_return;
        }
        if (exchange.request().method() == boost::beast::http::verb::post) {
            co_await append(exchange, stream);
        } else {
            co_await read(exchange, stream, target);
        }
    }

    bool control(const std::string &path, const Json::Value &body) override
    {
        if (path != "/retain") {
            return false;
        }
        Stream &stream = m_streams[body["stream"].asString()];
        while (stream.first < body["from"].asInt64() && !stream.records.empty()) {
            stream.records.pop_front();
            ++stream.first;
        }
        return true;
    }

private:
    asio::awaitable<void> append(HttpExchange &exchange, std::string name)
    {
        const auto body = parseJson(exchange.request().body());
        if (!body || !body->isArray() || body->empty()) {
            co_await respondJson(exchange, 400, Json::Value(Json::objectValue));
            co_return;
        }
        if (faults.flag(name, "appendOutage")) {
            co_await respondJson(exchange, 503, Json::Value(Json::objectValue));
            co_return;
        }
        Stream &stream = m_streams[name];
        Json::Value response;
        response["first"] = Json::Int64(stream.next());
        for (const Json::Value &record : *body) {
            stream.records.push_back(record);
        }
        response["last"] = Json::Int64(stream.next() - 1);
        for (asio::steady_timer *timer : stream.waiting) {
            timer->cancel();
        }
        const bool lost = faults.consume(name, "answerLost");
        Json::Value entry = response;
        entry["stream"] = name;
        entry["records"] = *body;
        entry["answerLost"] = lost;
        journal.add("append", std::move(entry));
        if (lost) {
            exchange.abort();
            co_return;
        }
        co_await respondJson(exchange, 200, std::move(response));
    }

    asio::awaitable<void> read(HttpExchange &exchange, std::string name, Target target)
    {
        const std::int64_t from = queryNumber(target, "from", 0);
        const TimePoint until = Clock::now() + milliseconds(queryNumber(target, "waitMs", 0));
        Stream &stream = m_streams[name];
        while (stream.next() <= from && Clock::now() < until && !down(name)) {
            asio::steady_timer timer(co_await asio::this_coro::executor, until);
            stream.waiting.insert(&timer);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            stream.waiting.erase(&timer);
        }
        if (down(name)) {
            exchange.abort();
            co_return;
        }
        const std::int64_t start = std::max(from, stream.first);
        const std::int64_t end = std::min(stream.next(), start + queryNumber(target, "max", defaultPageRecords));
        Json::Value response;
        response["first"] = Json::Int64(stream.first);
        response["records"] = Json::Value(Json::arrayValue);
        for (std::int64_t offset = start; offset < end; ++offset) {
            Json::Value entry;
            entry["offset"] = Json::Int64(offset);
            entry["record"] = stream.records[static_cast<std::size_t>(offset - stream.first)];
            response["records"].append(std::move(entry));
        }
        response["next"] = Json::Int64(std::max(end, start));
        co_await respondJson(exchange, 200, std::move(response));
    }

    bool down(const std::string &stream) const
    {
        return faults.flag(stream, "outage") || faults.flag(stream, "cut");
    }

    std::map<std::string, Stream> m_streams;
};

} // namespace

std::unique_ptr<StandIn> makeLog(std::string name, std::string journalFile)
{
    return std::make_unique<Log>(std::move(name), std::move(journalFile));
}

} // namespace snipehill::standins
