#include "targetexchange.h"

#include "wireconvert.h"

#include <core/jsontext.h>

#include <boost/asio/this_coro.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace snipehill
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr milliseconds connectTimeout{1000};
constexpr milliseconds streamGapTimeout{5000}; //!< far longer than the time between two tokens; after it the connection is considered dead
constexpr std::size_t maxUsageBodyBytes = 4U << 20U;
constexpr std::array<std::string_view, 7>
    hopByHopFields{"connection", "keep-alive", "proxy-connection", "transfer-encoding", "content-length", "upgrade", "trailer"};

milliseconds remaining(const SidecarAttempt &attempt)
{
    return std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(attempt.deadline() - Clock::now()));
}

/** Returns the timeout for the head of the response. An idempotent request keeps half of its remaining time for another attempt. */
milliseconds headTimeout(const SidecarAttempt &attempt)
{
    return attempt.run().idempotent() ? remaining(attempt) / 2 + milliseconds(1) : remaining(attempt);
}

/** Returns the timeout for the next piece of the body. */
milliseconds pieceTimeout(const SidecarAttempt &attempt, bool stream)
{
    return stream ? std::min(remaining(attempt), streamGapTimeout) : remaining(attempt);
}

HttpRequest buildRequest(const wire::Run &run, const ExchangeTarget &target)
{
    HttpRequest request;
    request.method_string(run.method());
    request.target(run.path());
    request.version(11);
    request.set(http::field::host, toString(target.endpoint));
    for (const wire::Header &header : run.headers()) {
        request.insert(header.name(), header.value());
    }
    request.set("X-Request-Id", run.request_id());
    if (!run.workspace().empty()) {
        request.set("X-Workspace", run.workspace());
    }
    if (!run.idempotent()) {
        request.set("Idempotency-Key", run.idempotency_key());
    }
    if (!target.traceparent.empty()) {
        request.set("traceparent", target.traceparent);
    }
    request.body() = target.engine ? engineBody(run, target.priority) : run.body();
    if (target.engine && request.body().empty()) {
        request.body() = run.body();
    }
    request.keep_alive(run.idempotent());
    request.prepare_payload();
    return request;
}

HeaderList responseHeaders(const http::response_header<> &head)
{
    HeaderList headers;
    for (const auto &field : head) {
        const boost::beast::string_view name = field.name_string();
        const bool dropped = boost::beast::iequals(name, "X-Request-Id")
            || std::any_of(hopByHopFields.begin(), hopByHopFields.end(), [name](std::string_view other) {
                                 return boost::beast::iequals(name, {other.data(), other.size()});
                             });
        if (!dropped) {
            headers.emplace_back(std::string(name), std::string(field.value()));
        }
    }
    return headers;
}

/** State of the coroutine that runs one exchange. */
class Exchange
{
public:
    Exchange(TargetSlot &slot, AttemptPointer attempt, ExchangeTarget target, ResponseSink sink)
        : m_slot(slot), m_attempt(std::move(attempt)), m_target(std::move(target)), m_sink(std::move(sink))
    {
    }

    asio::awaitable<ExchangeResult> run()
    {
        // Unread data on an idle connection would be read as the response to this request.
        const bool reused = m_slot.connection != nullptr && m_attempt->run().idempotent() && m_slot.connection->isIdle();
        co_await sendOnce(reused);
        if (reused && m_result.end == ExchangeEnd::Failed && !m_headReceived) {
            // The target may have closed the reused connection while it was idle, which is no failure of the target: retry on a new one.
            m_result = {};
            co_await sendOnce(false);
        }
        if (m_slot.connection && !m_slot.connection->isReusable()) {
            m_slot.connection->abort();
            m_slot.connection.reset();
        }
        co_return std::move(m_result);
    }

private:
    asio::awaitable<void> sendOnce(bool reuse)
    {
        if (!reuse) {
            m_slot.connection = std::make_unique<HttpConnection>(m_slot.strand);
            const bool connected = co_await m_slot.connection->connect(m_target.endpoint, connectTimeout, m_result.reason);
            if (!connected) {
                m_result.end = ExchangeEnd::NotSent;
                co_return;
            }
        }
        m_attempt->onCancel([this, strand = m_slot.strand] {
            asio::post(strand, [this, alive = std::weak_ptr<bool>(m_alive)] {
                if (alive.lock() && m_slot.connection) {
                    m_slot.connection->abort();
                }
            });
        });
        co_await sendAndRead();
        m_attempt->onCancel(nullptr);
        if (m_result.end == ExchangeEnd::Failed && m_attempt->isCancelled()) {
            m_result.end = ExchangeEnd::Cancelled;
        }
    }

    asio::awaitable<void> sendAndRead()
    {
        HttpConnection &connection = *m_slot.connection;
        m_result.end = ExchangeEnd::Failed;
        const HttpRequest request = buildRequest(m_attempt->run(), m_target);
        const bool sent = co_await connection.send(request, remaining(*m_attempt), m_result.reason);
        if (!sent) {
            co_return;
        }
        const bool headReceived = co_await connection.readHead(headTimeout(*m_attempt), m_result.reason);
        if (!headReceived || !belongsToRequest(connection.head())) {
            co_return;
        }
        m_headReceived = true;
        m_result.firstByte = Clock::now();
        const std::string_view type = connection.head()[http::field::content_type];
        m_stream = m_target.engine && type.starts_with("text/event-stream");
        m_sink.head(connection.head().result_int(), responseHeaders(connection.head()), m_stream);
        co_await readBody(connection);
    }

    /** A response with another request id, or with none from a target that sends them, is a late response to an earlier request. */
    bool belongsToRequest(const http::response_header<> &head)
    {
        const auto id = head.find("X-Request-Id");
        const bool own = id != head.end() && id->value() == m_attempt->run().request_id();
        m_slot.echoesIds = m_slot.echoesIds || own;
        if (own || (id == head.end() && !m_slot.echoesIds)) {
            return true;
        }
        m_result.reason = {Step::RunOnTarget, toString(m_target.endpoint), "the answer is that of another request"};
        return false;
    }

    asio::awaitable<void> readBody(HttpConnection &connection)
    {
        std::string body;
        while (true) {
            const bool open = co_await m_attempt->waitForWindow();
            if (!open) {
                m_result.reason = {Step::Response, {}, "cancelled, or the deadline has passed"};
                co_return;
            }
            auto piece = co_await connection.readSome(pieceTimeout(*m_attempt, m_stream), m_result.reason);
            if (!piece) {
                co_return;
            }
            if (piece->empty()) {
                break;
            }
            if (m_stream) {
                forward(m_splitter.append(*piece));
                if (m_splitter.isOverlong()) {
                    m_result.reason = {Step::RunOnTarget, toString(m_target.endpoint), "an event of the stream has no end"};
                    co_return;
                }
            } else {
                if (m_target.engine && body.size() < maxUsageBodyBytes) {
                    body += *piece;
                }
                forward(std::move(*piece));
            }
        }
        m_result.progress = m_splitter.progress();
        if (m_target.engine && !m_stream) {
            parseUsage(body, m_result.progress);
        }
        if (m_stream && !m_result.progress.done) {
            m_result.reason = {Step::RunOnTarget, toString(m_target.endpoint), "the stream ended without its last event"};
            co_return;
        }
        m_result.end = ExchangeEnd::Complete;
    }

    void forward(std::string data)
    {
        if (!data.empty()) {
            m_sink.data(std::move(data));
        }
        m_result.progress = m_splitter.progress();
    }

    TargetSlot &m_slot;
    AttemptPointer m_attempt;
    ExchangeTarget m_target;
    ResponseSink m_sink;
    ExchangeResult m_result;
    EventSplitter m_splitter;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    bool m_headReceived = false;
    bool m_stream = false;
};

} // namespace

std::string engineBody(const wire::Run &run, int priority)
{
    auto parsed = parseJsonText(run.body());
    if (!parsed || !parsed->isObject()) {
        return {};
    }
    Json::Value &body = *parsed;
    body["priority"] = priority;
    if (run.resume_tokens() > 0) {
        body["resume_text"] = run.resume_text();
        body["resume_tokens"] = run.resume_tokens();
    }
    return writeJsonText(body);
}

asio::awaitable<ExchangeResult> exchangeWithTarget(TargetSlot &slot, AttemptPointer attempt, ExchangeTarget target, ResponseSink sink)
{
    Exchange exchange(slot, std::move(attempt), std::move(target), std::move(sink));
    ExchangeResult result = co_await exchange.run();
    co_return result;
}

} // namespace snipehill
