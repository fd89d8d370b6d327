#include "generation.h"
#include "standin.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <unistd.h>

#include <algorithm>
#include <map>

namespace snipehill::standins
{

namespace asio = boost::asio;

namespace
{

constexpr int crashStatus = 70;
constexpr std::int64_t defaultPrefillRate = 20000; // prompt tokens per second, all requests together
constexpr std::int64_t defaultDecodeRate = 200; // output tokens per second and request
constexpr std::int64_t defaultSlots = 8;
constexpr std::int64_t defaultChangeMs = 500;
constexpr std::int64_t defaultCacheBlocks = 4096;

/**
 * Model engine. Rates, set like faults: prefillRate, decodeRate, slots, changeMs, cacheBlocks. Faults:
 * ignoreFences (accepts orders with an old fencing token), slowMs (delay before a response begins), orders.lateMs (delay
 * of the response after an order took effect), cutAnswers (the next N generations are aborted halfway), orders.answerLost
 * (the next N orders take effect without a response), resumeErrors (the next N requests to resume a response get an error with the status
 * resumeStatus, or 500, as a plain body or, with errorStream, as an event stream), eventGap (the next N cache events are never listed).
 * A prompt with CRASH-ME ends the process once it is prefilled, one with CRASH-MID halfway through a response
 * that is not resumed. An order that changes role or model interrupts running requests; the engine then refuses
 * all requests and orders for changeMs.
 */
class Engine : public StandIn
{
public:
    using StandIn::StandIn;

    asio::awaitable<void> handle(HttpExchange &exchange) override
    {
        const Target target = splitTarget(std::string(exchange.request().target()));
        const bool posted = exchange.request().method() == boost::beast::http::verb::post;
        const auto body = parseJson(exchange.request().body());
        const std::string cancelPrefix = "/requests/";
        if (posted && body && body->isObject() && target.path == "/v1/chat/completions") {
            co_await complete(exchange, *body);
        } else if (posted && body && body->isObject() && target.path == "/orders") {
            co_await order(exchange, *body);
        } else if (posted && target.path.starts_with(cancelPrefix) && target.path.ends_with("/cancel")) {
            const std::size_t end = target.path.rfind('/');
            co_await cancel(exchange, target.path.substr(cancelPrefix.size(), end - cancelPrefix.size()));
        } else if (posted && (target.path == "/kv/export" || target.path == "/kv/import")) {
            co_await transfer(exchange, target.path, body.value_or(Json::Value(Json::objectValue)));
        } else if (target.path == "/load") {
            co_await respondJson(exchange, 200, load());
        } else if (target.path == "/state") {
            co_await respondJson(exchange, 200, state());
        } else if (target.path == "/cache-events") {
            co_await respondJson(exchange, 200, cacheEvents(queryNumber(target, "from", 0)));
        } else {
            co_await respondJson(exchange, 404, Json::Value(Json::objectValue));
        }
    }

private:
    using GenerationPointer = std::shared_ptr<Generation>;

    bool changing() const
    {
        return Clock::now() < m_changingUntil;
    }

    asio::awaitable<void> complete(HttpExchange &exchange, Json::Value body)
    {
        const auto generation = std::make_shared<Generation>(parseGeneration(body, header(exchange, "X-Request-Id")));
        Json::Value entry;
        entry["requestId"] = generation->requestId;
        entry["headers"] = headersOf(exchange);
        entry["body"] = body;
        entry["resumeTokens"] = Json::UInt64(generation->resumeTokens);
        entry["refused"] = changing();
        journal.add("received", std::move(entry));
        if (changing()) {
            Json::Value refusal;
            refusal["error"] = "changing";
            co_await respondJson(exchange, 503, std::move(refusal));
            co_return;
        }
        if (generation->resumeTokens > 0 && faults.consume("", "resumeErrors")) {
            co_await refuseToResume(exchange, generation->requestId);
            co_return;
        }
        const auto tracked = m_generations.emplace(generation->requestId, generation);
        co_await acquireSlot(generation->priority);
        const std::string end = co_await generate(exchange, generation);
        releaseSlot();
        m_generations.erase(tracked);
        Json::Value ended;
        ended["requestId"] = generation->requestId;
        ended["how"] = end;
        journal.add("ended", std::move(ended));
    }

    asio::awaitable<void> refuseToResume(HttpExchange &exchange, std::string requestId)
    {
        const auto status = static_cast<unsigned>(faults.number("", "resumeStatus", 500));
        const std::string text = "data: {\"error\": \"cannot resume\"}\n\n";
        HeaderList headers{{"X-Request-Id", requestId}};
        journal.add("resume-refused", Json::Value(Json::objectValue));
        if (!faults.flag("", "errorStream")) {
            headers.emplace_back("Content-Type", "application/json");
            co_await exchange.respond(status, std::move(headers), text);
            co_return;
        }
        headers.emplace_back("Content-Type", "text/event-stream");
        co_await exchange.beginStream(status, std::move(headers));
        const std::string events = text + "data: [DONE]\n\n";
        co_await exchange.write(events);
        co_await exchange.finish();
    }

    /** Runs a generation in a slot and returns how it ended. */
    asio::awaitable<std::string> generate(HttpExchange &exchange, GenerationPointer generation)
    {
        co_await prefill(*generation);
        if (generation->prompt.find("CRASH-ME") != std::string::npos) {
            _exit(crashStatus);
        }
        co_await pause(faults.delay("", "slowMs"));
        const std::uint64_t cutAt = faults.consume("", "cutAnswers") ? midpoint(*generation) : generation->maxTokens + 1;
        HeaderList headers{{"Content-Type", "text/event-stream"}, {"X-Request-Id", generation->requestId}};
        if (generation->stream) {
            co_await exchange.beginStream(200, std::move(headers));
        }
        const TimePoint start = Clock::now();
        for (std::uint64_t position = generation->resumeTokens; position < generation->maxTokens; ++position) {
            const std::uint64_t produced = position - generation->resumeTokens + 1;
            co_await waitUntil(start + std::chrono::microseconds(1000000 * produced / faults.number("", "decodeRate", defaultDecodeRate)));
            crashMidway(*generation, position);
            if (position == cutAt || generation->interrupted || generation->cancelled) {
                exchange.abort();
                co_return generation->cancelled ? "cancelled" : "cut";
            }
            const std::string chunk = generation->stream ? tokenChunk(*generation, position) : std::string();
            const bool alive = co_await exchange.write(chunk);
            if (!alive) {
                co_return "caller-gone";
            }
        }
        const bool whole = co_await finish(exchange, generation);
        co_return whole ? "complete" : "caller-gone";
    }

    asio::awaitable<bool> finish(HttpExchange &exchange, GenerationPointer generation)
    {
        if (!generation->stream) {
            HeaderList headers{{"Content-Type", "application/json"}, {"X-Request-Id", generation->requestId}};
            co_return co_await exchange.respond(200, std::move(headers), writeJson(completionResponse(*generation)));
        }
        const std::string end = lastChunk(*generation, std::max(generation->maxTokens, generation->resumeTokens)) + "data: [DONE]\n\n";
        const bool alive = co_await exchange.write(end);
        const bool ended = co_await exchange.finish();
        co_return alive &&ended;
    }

    static std::uint64_t midpoint(const Generation &generation)
    {
        return generation.resumeTokens + (generation.maxTokens - generation.resumeTokens) / 2;
    }

    static void crashMidway(const Generation &generation, std::uint64_t position)
    {
        if (generation.resumeTokens == 0 && position == midpoint(generation) && generation.prompt.find("CRASH-MID") != std::string::npos) {
            _exit(crashStatus);
        }
    }

    /** Prompts are prefilled one after another. Cached blocks and the text of a resumed response cost no time. */
    asio::awaitable<void> prefill(const Generation &generation)
    {
        const std::int64_t capacity = faults.number("", "cacheBlocks", defaultCacheBlocks);
        const std::size_t cached = m_cache.use(generation.model, generation.cacheText, static_cast<std::size_t>(capacity));
        const std::uint64_t tokens = countWords(std::string_view(generation.cacheText).substr(cached));
        const auto cost = std::chrono::microseconds(1000000 * tokens / faults.number("", "prefillRate", defaultPrefillRate));
        m_prefillFree = std::max(m_prefillFree, Clock::now()) + cost;
        const TimePoint done = m_prefillFree;
        co_await waitUntil(done);
    }

    static asio::awaitable<void> waitUntil(TimePoint time)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, time);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }

    asio::awaitable<void> acquireSlot(std::int64_t priority)
    {
        while (m_running >= faults.number("", "slots", defaultSlots)) {
            asio::steady_timer timer(co_await asio::this_coro::executor, TimePoint::max());
            m_waiting.emplace(priority, &timer);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        ++m_running;
    }

    void releaseSlot()
    {
        --m_running;
        if (!m_waiting.empty()) {
            asio::steady_timer *const first = m_waiting.begin()->second;
            m_waiting.erase(m_waiting.begin());
            first->cancel();
        }
    }

    asio::awaitable<void> cancel(HttpExchange &exchange, std::string requestId)
    {
        const auto [first, last] = m_generations.equal_range(requestId);
        std::for_each(first, last, [](const auto &entry) {
            entry.second->cancelled = true;
        });
        Json::Value entry;
        entry["requestId"] = requestId;
        journal.add("cancel", std::move(entry));
        co_await respondJson(exchange, 200, Json::Value(Json::objectValue));
    }

    asio::awaitable<void> order(HttpExchange &exchange, Json::Value body)
    {
        const std::int64_t fencingToken = body["fence"].asInt64();
        std::string error;
        if (changing()) {
            error = "changing";
        } else if (fencingToken < m_lastFencingToken && !faults.flag("", "ignoreFences")) {
            error = "old fence";
        }
        Json::Value entry = body;
        entry["accepted"] = error.empty();
        entry["error"] = error;
        entry["running"] = Json::UInt64(m_generations.size());
        journal.add("order", std::move(entry));
        if (error.empty()) {
            apply(body, fencingToken);
        }
        co_await pause(faults.delay("orders", "lateMs"));
        if (faults.consume("orders", "answerLost")) {
            exchange.abort();
            co_return;
        }
        Json::Value response = state();
        response["error"] = error;
        co_await respondJson(exchange, error.empty() ? 200 : 409, std::move(response));
    }

    void apply(const Json::Value &body, std::int64_t fencingToken)
    {
        m_lastFencingToken = std::max(m_lastFencingToken, fencingToken);
        m_lastOrderId = body["orderId"].asString();
        m_role = body.get("role", m_role).asString();
        m_model = body.get("model", m_model).asString();
        m_modelVersion = body.get("modelVersion", m_modelVersion).asString();
        m_changingUntil = Clock::now() + milliseconds(faults.number("", "changeMs", defaultChangeMs));
        m_cache.clear();
        for (const auto &[requestId, generation] : m_generations) {
            generation->interrupted = true;
        }
    }

    asio::awaitable<void> transfer(HttpExchange &exchange, std::string path, Json::Value body)
    {
        journal.add(path == "/kv/export" ? "kv-export" : "kv-import", body);
        Json::Value response;
        response["handle"] = body.get("handle", name + "/" + body["requestId"].asString());
        co_await respondJson(exchange, 200, std::move(response));
    }

    Json::Value load() const
    {
        const std::int64_t tracked = static_cast<std::int64_t>(m_generations.size());
        Json::Value value;
        value["slots"] = Json::Int64(faults.number("", "slots", defaultSlots));
        value["running"] = Json::Int64(m_running);
        value["queued"] = Json::Int64(std::max<std::int64_t>(0, tracked - m_running));
        value["role"] = m_role;
        return value;
    }

    Json::Value state() const
    {
        Json::Value value;
        value["role"] = m_role;
        value["changing"] = changing();
        value["model"] = m_model;
        value["modelVersion"] = m_modelVersion;
        value["lastFence"] = Json::Int64(m_lastFencingToken);
        value["lastOrderId"] = m_lastOrderId;
        return value;
    }

    Json::Value cacheEvents(std::int64_t from)
    {
        Json::Value response;
        response["first"] = 0;
        response["events"] = Json::Value(Json::arrayValue);
        for (const CacheEvent &event : m_cache.events()) {
            if (event.sequence < from || faults.consume("", "eventGap")) {
                continue;
            }
            Json::Value item;
            item["sequence"] = Json::Int64(event.sequence);
            item["hash"] = event.hash;
            item["kind"] = event.stored ? "stored" : "removed";
            response["events"].append(std::move(item));
        }
        response["next"] = Json::Int64(static_cast<std::int64_t>(m_cache.events().size()));
        return response;
    }

    std::string m_role = "mixed";
    std::string m_model = "assistant";
    std::string m_modelVersion = "1";
    std::int64_t m_lastFencingToken = 0;
    std::string m_lastOrderId;
    TimePoint m_changingUntil;
    TimePoint m_prefillFree;
    std::int64_t m_running = 0;
    std::multimap<std::int64_t, asio::steady_timer *> m_waiting; //!< requests waiting for a slot, by priority
    std::multimap<std::string, GenerationPointer> m_generations; //!< waiting and running, by request id
    PrefixCache m_cache;
};

} // namespace

std::unique_ptr<StandIn> makeEngine(std::string name, std::string journalFile)
{
    return std::make_unique<Engine>(std::move(name), std::move(journalFile));
}

} // namespace snipehill::standins
