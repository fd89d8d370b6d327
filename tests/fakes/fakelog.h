#pragma once

#include <connection/httpserver.h>
#include <core/ids.h>
#include <version/jsonfields.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace snipehill::fakes
{

/** In-process log of the platform for unit tests, served on a free loopback port, with a few faults. */
class FakeLog
{
public:
    explicit FakeLog(boost::asio::io_context &context)
        : m_server(context.get_executor(), {}, [this](HttpExchange &exchange) {
            return handle(exchange);
        })
    {
        Reason reason;
        m_server.start({"127.0.0.1", 0}, reason);
    }

    Endpoint endpoint() const
    {
        return {"127.0.0.1", m_server.port()};
    }
    Offset append(const std::string &stream, Json::Value record)
    {
        const std::lock_guard lock(m_mutex);
        m_streams[stream].push_back(std::move(record));
        return static_cast<Offset>(m_streams[stream].size()) - 1;
    }
    std::vector<Json::Value> records(const std::string &stream)
    {
        const std::lock_guard lock(m_mutex);
        return m_streams[stream];
    }
    /** Hides the records below the offset, as retention does. */
    void retain(const std::string &stream, Offset from)
    {
        const std::lock_guard lock(m_mutex);
        m_first[stream] = from;
    }

    std::atomic<bool> down{false}; //!< responds with 503
    std::atomic<int> loseResponses{0}; //!< the next N appends take effect without a response
    std::atomic<int> loseAppends{0}; //!< the next N appends neither take effect nor get a response
    std::atomic<int> reads{0};

private:
    static std::int64_t number(const std::string &target, const std::string &name)
    {
        const std::size_t at = target.find(name + "=");
        return at == std::string::npos ? 0 : std::stoll(target.substr(at + name.size() + 1));
    }

    boost::asio::awaitable<void> handle(HttpExchange &exchange)
    {
        const std::string target(exchange.request().target());
        const std::size_t start = std::string("/streams/").size();
        const std::string stream = target.substr(start, target.find("/records") - start);
        if (down) {
            co_await exchange.respond(503, {}, "{}");
        } else if (exchange.request().method() == boost::beast::http::verb::post) {
            co_await appendAll(exchange, stream);
        } else {
            co_await read(exchange, stream, target);
        }
    }

    boost::asio::awaitable<void> appendAll(HttpExchange &exchange, std::string stream)
    {
        if (loseAppends.fetch_sub(1) > 0) {
            exchange.abort();
            co_return;
        }
        Reason reason;
        const auto body = parseJson(exchange.request().body(), reason);
        Offset last = noOffset;
        for (const Json::Value &record : *body) {
            last = append(stream, record);
        }
        if (loseResponses.fetch_sub(1) > 0) {
            exchange.abort();
            co_return;
        }
        Json::Value response;
        response["first"] = Json::Int64(last - static_cast<Offset>(body->size()) + 1);
        response["last"] = Json::Int64(last);
        co_await exchange.respond(200, {}, writeJson(response));
    }

    Json::Value page(const std::string &stream, Offset from)
    {
        const std::lock_guard lock(m_mutex);
        const std::vector<Json::Value> &records = m_streams[stream];
        Json::Value response;
        response["first"] = Json::Int64(m_first[stream]);
        response["records"] = Json::Value(Json::arrayValue);
        for (Offset offset = std::max(from, m_first[stream]); offset < static_cast<Offset>(records.size()); ++offset) {
            Json::Value entry;
            entry["offset"] = Json::Int64(offset);
            entry["record"] = records[static_cast<std::size_t>(offset)];
            response["records"].append(std::move(entry));
        }
        response["next"] = Json::Int64(static_cast<Offset>(records.size()));
        return response;
    }

    boost::asio::awaitable<void> read(HttpExchange &exchange, std::string stream, std::string target)
    {
        ++reads;
        const Offset from = number(target, "from");
        const TimePoint until = Clock::now() + milliseconds(number(target, "waitMs"));
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
        Json::Value response = page(stream, from);
        while (response["records"].empty() && Clock::now() < until && !down) {
            timer.expires_after(milliseconds(5));
            co_await timer.async_wait(boost::asio::use_awaitable);
            response = page(stream, from);
        }
        co_await exchange.respond(down ? 503 : 200, {}, writeJson(response));
    }

    std::mutex m_mutex;
    std::map<std::string, std::vector<Json::Value>> m_streams;
    std::map<std::string, Offset> m_first;
    HttpServer m_server;
};

/** Runs an io_context on two threads until it goes out of scope. */
class RunningContext
{
public:
    RunningContext() : m_work(boost::asio::make_work_guard(context))
    {
        for (std::thread &thread : m_threads) {
            thread = std::thread([this] {
                context.run();
            });
        }
    }
    ~RunningContext()
    {
        end();
    }
    RunningContext(const RunningContext &) = delete;
    RunningContext &operator=(const RunningContext &) = delete;

    void end()
    {
        context.stop();
        for (std::thread &thread : m_threads) {
            if (thread.joinable()) {
                thread.join();
            }
        }
    }

    boost::asio::io_context context;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::array<std::thread, 2> m_threads;
};

/** Polls until the condition holds; false after the timeout, which is far longer than any passing test needs. */
template<typename Condition> bool eventually(Condition condition, milliseconds timeout = milliseconds(10000))
{
    const TimePoint until = Clock::now() + timeout;
    while (Clock::now() < until) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
    return condition();
}

} // namespace snipehill::fakes
