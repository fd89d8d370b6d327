#include "entryattempt.h"

#include "wireconvert.h"

#include <process/log.h>
#include <process/metrics.h>
#include <process/tracing.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds connectTimeout{1000};
constexpr milliseconds resolveTimeout{4000}; //!< for reaching a sidecar again after contact was lost
constexpr milliseconds resolveRetryDelay{100};
constexpr int maxOpenFailures = 6; //!< consecutive failures; ends the wait for a sidecar early if its address refuses connections
constexpr std::uint32_t framesPerAck = 32; //!< acknowledgements are batched because each costs as much as a frame
constexpr std::size_t bytesPerAck = 64U << 10U; //!< a quarter of the sidecar's send window
constexpr std::size_t maxSuspectUpdates = 8; //!< limit for one message
constexpr milliseconds deadlineMargin{100}; //!< time for the sidecar's own refusal to arrive before the caller's deadline

milliseconds untilDeadline(const CallerRequest &request)
{
    return std::chrono::duration_cast<milliseconds>(request.deadline - Clock::now());
}

wire::LinkMessage buildRun(EntryContext &context,
                           const CallerRequest &request,
                           AttemptId attempt,
                           const AttemptTarget &target,
                           const CallerResponse &response,
                           const std::string &traceparent)
{
    wire::LinkMessage message;
    wire::Run &run = *message.mutable_run();
    run.set_attempt_id(attempt);
    run.set_request_id(request.id);
    run.set_workspace(request.workspace.name);
    run.set_weight(request.workspace.weight);
    run.set_route(request.route.name);
    run.set_target_group(request.route.targetGroup);
    run.set_method(request.method);
    run.set_path(request.path);
    fillHeaders(*run.mutable_headers(), request.headers);
    run.set_body(request.body);
    run.set_config_offset(request.config->offset);
    run.set_deadline_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, (untilDeadline(request) - deadlineMargin).count())));
    run.set_idempotent(request.route.idempotent);
    run.set_idempotency_key(request.idempotencyKey);
    run.set_prompt_tokens(request.cost.promptTokens);
    run.set_output_tokens(request.cost.outputTokens);
    run.set_fingerprint(request.fingerprint);
    run.set_alone(target.isolated);
    run.set_traceparent(traceparent);
    {
        const std::lock_guard lock(context.suspects.lock);
        fillSuspects(*run.mutable_suspects(), suspectUpdates(context.suspects.suspects, maxSuspectUpdates, context.suspects.settings, Clock::now()));
    }
    if (response.isStreaming()) {
        DeliveredOutput delivered = response.deliveredOutput();
        run.set_resume_text(std::move(delivered.text));
        run.set_resume_tokens(delivered.tokens);
    }
    return message;
}

AttemptResult lostContactResult(Reason reason)
{
    AttemptResult result;
    result.end = AttemptEnd::LostContact;
    result.refusal = {Outcome::OutcomeUnknown, 502, std::move(reason), std::nullopt};
    return result;
}

/** State of the coroutine that runs one attempt. */
class Attempt
{
public:
    Attempt(EntryContext &context, const CallerRequest &request, AttemptTarget target, CallerResponse &response, asio::any_io_executor strand)
        : m_context(context)
        , m_request(request)
        , m_target(std::move(target))
        , m_response(response)
        , m_id(randomId())
        , m_inbox(std::make_shared<AttemptInbox>(std::move(strand)))
        , m_span(startSpan(spans::attempt, request.traceparent))
    {
    }

    ~Attempt()
    {
        m_context.router.remove(m_id);
    }
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    asio::awaitable<AttemptResult> run()
    {
        m_span.setTag("instance", m_target.instance);
        Reason reason;
        m_link = co_await m_context.links.open(m_target.link, std::min(connectTimeout, untilDeadline(m_request)), reason);
        if (!m_link) {
            m_context.targets.markUnreachable(m_request.route.targetGroup, m_target.instance);
            AttemptResult result;
            result.end = AttemptEnd::Refused;
            result.refusal = {Outcome::NotRun, 503, reason, seconds(1)};
            co_return result;
        }
        m_sidecarIncarnation = m_link->peer();
        m_context.router.add(m_id, m_inbox, m_link.get());
        m_link->send(buildRun(m_context, m_request, m_id, m_target, m_response, m_span.traceparent()));
        m_context.targets.recordSent(m_request.route.targetGroup, m_target.instance, m_request.cost);
        // If the link closed before the inbox was registered, the inbox did not get the closed message.
        if (!m_link->isOpen()) {
            postClosed();
        }
        AttemptResult result = co_await readResponse();
        if (result.end != AttemptEnd::Complete) {
            m_span.setError(result.refusal.reason);
        }
        co_return result;
    }

private:
    void postClosed()
    {
        AttemptMessage closed;
        closed.linkClosed = true;
        m_inbox->post(std::move(closed));
    }

    asio::awaitable<AttemptResult> readResponse()
    {
        while (true) {
            auto message = co_await m_inbox->next(m_request.deadline);
            if (!message) {
                AttemptResult expired = expire();
                co_return expired;
            }
            std::optional<AttemptResult> result;
            if (message->linkClosed) {
                result = co_await resolve();
            } else if (message->frame) {
                result = co_await handleFrame(*message->frame);
            }
            if (result) {
                co_return std::move(*result);
            }
        }
    }

    asio::awaitable<std::optional<AttemptResult>> handleFrame(const wire::Frame &frame)
    {
        if (frame.sequence() <= m_lastSequence) {
            co_return std::nullopt; // duplicate, sent again after a resolve
        }
        if (frame.sequence() != m_lastSequence + 1) {
            m_link->close(); // a frame is missing: closing the link makes the attempt resume after the last frame received in order
            co_return std::nullopt;
        }
        m_lastSequence = frame.sequence();
        if (frame.has_refusal()) {
            acknowledge();
            co_return refusedResult(frame.refusal());
        }
        if (frame.has_head() && !m_response.accepts(frame.head())) {
            acknowledge();
            cancel();
            co_return unusableHead(frame.head());
        }
        const bool sent = co_await m_response.forwardFrame(frame);
        if (!sent) {
            cancel();
            AttemptResult callerGone;
            callerGone.end = AttemptEnd::CallerGone;
            co_return callerGone;
        }
        m_unacknowledgedBytes += frame.data().size();
        if (m_lastSequence - m_acknowledged >= framesPerAck || m_unacknowledgedBytes >= bytesPerAck || frame.has_end()) {
            acknowledge();
        }
        if (!frame.has_end()) {
            co_return std::nullopt;
        }
        if (m_context.recordUsage) {
            m_context.recordUsage(m_request.workspace.name, m_link->peer(), frame.end());
        }
        co_return AttemptResult();
    }

    AttemptResult unusableHead(const wire::Head &head) const
    {
        AttemptResult result;
        result.end = AttemptEnd::Refused;
        const std::string detail = "the target answered " + std::to_string(head.status())
            + (m_response.isStreaming() ? " instead of the rest of the stream" : ", which is no status");
        result.refusal = {Outcome::OutcomeUnknown, 502, {Step::RunOnTarget, m_target.instance, detail}, std::nullopt};
        return result;
    }

    static AttemptResult refusedResult(const wire::RefusalMessage &message)
    {
        AttemptResult result;
        result.end = AttemptEnd::Refused;
        result.refusal = readRefusal(message);
        result.owner = {message.owner(), message.owner_incarnation()};
        result.targetCrashed = message.target_crashed();
        result.inFlight.assign(message.in_flight().begin(), message.in_flight().end());
        return result;
    }

    /** Queries the state of the attempt over a new connection; empty if its frames continue there. */
    asio::awaitable<std::optional<AttemptResult>> resolve()
    {
        Span span = startSpan(spans::resolve, m_span.traceparent());
        const TimePoint giveUp = std::min(m_request.deadline, Clock::now() + resolveTimeout);
        Reason reason{Step::Resolve, m_target.instance, "contact lost"};
        for (int failures = 0; failures < maxOpenFailures && Clock::now() < giveUp; ++failures) {
            const LinkPointer link = co_await m_context.links.open(m_target.link, connectTimeout, reason);
            if (link && link->peer() != m_sidecarIncarnation) {
                reason = {Step::Resolve, m_target.instance, "the sidecar was restarted"};
                break; // the restarted sidecar has never seen the attempt; it can't tell whether its predecessor ran it
            }
            if (link) {
                failures = 0;
                auto outcome = co_await resolveOver(link, giveUp);
                if (outcome) {
                    processMetrics().count(Counter::Resolves, {*outcome ? "never_seen" : "goes_on"});
                    co_return std::move(*outcome);
                }
            }
            asio::steady_timer timer(co_await asio::this_coro::executor, resolveRetryDelay);
            co_await timer.async_wait(asio::use_awaitable);
        }
        m_context.targets.markUnreachable(m_request.route.targetGroup, m_target.instance);
        reason.step = Step::Resolve;
        span.setError(reason);
        processMetrics().count(Counter::Resolves, {"no_contact"});
        logEvent(LogComponent::Entry, LogLevel::Warning, "lost contact with the sidecar, attempt not resolved", reason, {{"request", m_request.id}});
        if (Clock::now() >= m_request.deadline) {
            co_return expire();
        }
        co_return lostContactResult(reason);
    }

    /** Sends the query over the link. Outer empty: no reply, or the link closed again. Inner empty: the attempt continues over this link. */
    asio::awaitable<std::optional<std::optional<AttemptResult>>> resolveOver(LinkPointer link, TimePoint giveUp)
    {
        m_link = link;
        m_context.router.add(m_id, m_inbox, m_link.get());
        wire::LinkMessage query;
        query.mutable_resolve()->set_attempt_id(m_id);
        query.mutable_resolve()->set_last_sequence(m_lastSequence);
        m_link->send(query);
        if (!m_link->isOpen()) {
            postClosed();
        }
        while (true) {
            auto message = co_await m_inbox->next(giveUp);
            if (!message || message->linkClosed) {
                co_return std::nullopt;
            }
            if (message->frame) {
                continue; // frames before the reply are ignored; the sidecar sends them again after it
            }
            if (message->resolved && message->resolved->state() == wire::Resolved::NEVER_SEEN) {
                AttemptResult result;
                result.end = AttemptEnd::Refused;
                result.refusal = {Outcome::NotRun, 503, {Step::Resolve, m_target.instance, "the attempt was never seen"}, seconds(1)};
                co_return std::optional<AttemptResult>(std::move(result));
            }
            if (message->resolved) {
                co_return std::optional<AttemptResult>();
            }
        }
    }

    AttemptResult expire()
    {
        cancel();
        AttemptResult result;
        result.end = AttemptEnd::Expired;
        result.refusal = {Outcome::OutcomeUnknown, 504, {Step::Response, m_target.instance, "the deadline has passed"}, std::nullopt};
        return result;
    }

    void acknowledge()
    {
        m_acknowledged = m_lastSequence;
        m_unacknowledgedBytes = 0;
        wire::LinkMessage message;
        message.mutable_ack()->set_attempt_id(m_id);
        message.mutable_ack()->set_sequence(m_lastSequence);
        m_link->send(message);
    }

    void cancel()
    {
        wire::LinkMessage message;
        message.mutable_cancel()->set_attempt_id(m_id);
        if (m_link) {
            m_link->send(message);
        }
    }

    EntryContext &m_context;
    const CallerRequest &m_request;
    AttemptTarget m_target;
    CallerResponse &m_response;
    AttemptId m_id;
    std::shared_ptr<AttemptInbox> m_inbox;
    LinkPointer m_link;
    Incarnation m_sidecarIncarnation; //!< incarnation that received the attempt; no other one knows its state
    Span m_span;
    std::uint32_t m_lastSequence = 0;
    std::uint32_t m_acknowledged = 0;
    std::size_t m_unacknowledgedBytes = 0;
};

} // namespace

asio::awaitable<AttemptResult> runAttempt(EntryContext &context, const CallerRequest &request, AttemptTarget target, CallerResponse &response)
{
    Attempt attempt(context, request, std::move(target), response, co_await asio::this_coro::executor);
    AttemptResult result = co_await attempt.run();
    co_return result;
}

} // namespace snipehill
