#include "sidecarcontext.h"
#include "targetexchange.h"
#include "wireconvert.h"

#include <process/log.h>
#include <process/metrics.h>
#include <process/tracing.h>
#include <request/estimate.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <variant>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned queueFullStatus = 429;
constexpr std::size_t maxSuspectUpdates = 16; //!< limit for one load report

Refusal notRun(Step step, std::string peer, std::string detail, unsigned status = 503)
{
    return {Outcome::NotRun, status, {step, std::move(peer), std::move(detail)}, seconds(1)};
}

Refusal blockedRefusal()
{
    return {Outcome::Rejected, 422, {Step::Queue, {}, "this request crashed the targets that ran it"}, std::nullopt};
}

wire::RefusalMessage toWire(const Refusal &refusal)
{
    wire::RefusalMessage message;
    fillRefusal(message, refusal);
    return message;
}

/** Sends a refusal together with the current load, by which the entry chooses another target, and ends the attempt. */
void sendRefusalWithLoad(SidecarContext &context, SidecarAttempt &attempt, const wire::RefusalMessage &refusal)
{
    wire::Frame frame;
    *frame.mutable_refusal() = refusal;
    *frame.mutable_load() = context.load();
    attempt.advance(AttemptEvent::Finish);
    attempt.emit(std::move(frame));
}

/** State of the coroutine that runs one attempt on a target slot. */
class AttemptRunner
{
public:
    AttemptRunner(SidecarContext &context, DispatchedAttempt dispatched)
        : m_context(context), m_dispatched(std::move(dispatched)), m_attempt(m_dispatched.attempt), m_run(m_attempt->run())
    {
    }

    asio::awaitable<void> run()
    {
        // The request may have become a crash suspect while it waited in the queue.
        const RunPermission permission = recheckPermission();
        if (permission != RunPermission::Clear && !m_dispatched.request.isolated) {
            m_context.queue.release(m_dispatched, 0);
            permission == RunPermission::Blocked ? refuseBlocked() : requeueIsolated();
            dispatchQueued(m_context);
            co_return;
        }
        processMetrics().observe(Timing::QueueWait, {m_run.workspace()}, m_attempt->endQueueWait(Clock::now()));
        if (m_run.idempotent()) {
            co_await runIdempotent();
        } else {
            co_await runAtMostOnce();
        }
        m_context.queue.release(m_dispatched, m_costTokens);
        dispatchQueued(m_context);
    }

private:
    RunPermission recheckPermission()
    {
        const std::lock_guard lock(m_context.suspects.lock);
        return runPermissionFor(m_context.suspects.suspects, m_run.fingerprint(), m_context.suspects.settings, Clock::now());
    }

    void refuseBlocked()
    {
        refuseWaiting(m_context, m_attempt, blockedRefusal());
    }

    void requeueIsolated()
    {
        if (!m_context.queue.add(m_attempt, true)) {
            refuseWaiting(m_context, m_attempt, notRun(Step::Queue, m_context.settings.instance, "the queue is full", queueFullStatus));
        }
    }

    ExchangeTarget target(const Span &span) const
    {
        return {m_context.settings.target.address, m_context.settings.target.kind == TargetKind::Engine, m_dispatched.priority, span.traceparent()};
    }

    /** Sends the request to the target, and registers it as in flight with the health watch until the exchange ends. */
    asio::awaitable<ExchangeResult> exchange(ResponseSink sink)
    {
        m_context.health.addInFlight(m_attempt->id(), m_run.fingerprint());
        const TimePoint start = Clock::now();
        Span span = startSpan(spans::target, m_run.traceparent());
        ExchangeResult result = co_await exchangeWithTarget(*m_dispatched.slot, m_attempt, target(span), std::move(sink));
        if (result.end == ExchangeEnd::NotSent || result.end == ExchangeEnd::Failed) {
            span.setError(result.reason);
            m_diagnosis = co_await m_context.health.diagnoseFailure(m_attempt->id());
        }
        m_context.health.removeInFlight(m_attempt->id());
        if (result.end == ExchangeEnd::Complete) {
            const Duration decode = Clock::now() - result.firstByte;
            m_context.queue.recordRates(m_run.prompt_tokens(), result.firstByte - start, result.progress.outputTokens, decode);
        }
        co_return result;
    }

    void applyUsage(const EventProgress &progress)
    {
        const bool engine = m_context.settings.target.kind == TargetKind::Engine;
        m_costTokens = queueCost(m_run.prompt_tokens(), engine ? progress.outputTokens : m_run.output_tokens());
        if (engine) {
            applyTokenCounts(progress);
        }
        if (m_context.recordUsage) {
            m_usage.set_window(m_context.recordUsage(m_run.workspace(), m_usage));
        }
    }

    void applyTokenCounts(const EventProgress &progress)
    {
        m_usage.set_prompt_tokens(progress.hasUsage ? progress.promptTokens : m_run.prompt_tokens());
        // The sidecar that completes a resumed response counts all of its output; the others count none.
        m_usage.set_output_tokens(progress.hasUsage ? progress.outputTokens : m_run.resume_tokens() + progress.dataEvents);
    }

    void recordLocalCrash()
    {
        logEvent(LogComponent::Sidecar,
                 LogLevel::Warning,
                 "target died",
                 {{"inFlight", m_diagnosis.inFlight.size()}, {"alone", m_dispatched.request.isolated ? "yes" : "no"}});
        const std::lock_guard lock(m_context.suspects.lock);
        recordCrash(m_context.suspects.suspects, m_diagnosis.inFlight, m_dispatched.request.isolated, m_context.suspects.settings, Clock::now());
    }

    void recordSuccessIfIsolated()
    {
        // A resumed run does not count, because it skipped the part that may have caused the crash.
        if (m_dispatched.request.isolated && m_run.resume_tokens() == 0) {
            const std::lock_guard lock(m_context.suspects.lock);
            recordIsolatedSuccess(m_context.suspects.suspects, m_run.fingerprint(), Clock::now());
        }
    }

    wire::RefusalMessage failureRefusal(const ExchangeResult &result)
    {
        Refusal refusal{Outcome::OutcomeUnknown, 502, result.reason, std::nullopt};
        refusal.reason.peer = m_context.settings.instance;
        if (result.end == ExchangeEnd::NotSent) {
            refusal.outcome = Outcome::NotRun;
            refusal.status = 503;
            refusal.retryAfter = seconds(1);
        }
        wire::RefusalMessage message = toWire(refusal);
        if (m_diagnosis.crashed && result.end == ExchangeEnd::Failed) {
            message.set_target_crashed(true);
            message.mutable_in_flight()->Add(m_diagnosis.inFlight.begin(), m_diagnosis.inFlight.end());
            recordLocalCrash();
        }
        return message;
    }

    asio::awaitable<void> runIdempotent()
    {
        if (!m_attempt->advance(AttemptEvent::Start)) {
            co_return; // cancelled while it waited in the queue
        }
        bool first = true;
        ResponseSink sink;
        sink.head = [this, &first](unsigned status, HeaderList headers, bool stream) {
            wire::Frame frame;
            frame.mutable_head()->set_status(status);
            frame.mutable_head()->set_stream(stream);
            fillHeaders(*frame.mutable_head()->mutable_headers(), headers);
            if (std::exchange(first, false)) {
                *frame.mutable_load() = m_context.load();
            }
            m_attempt->emit(std::move(frame));
        };
        sink.data = [this](std::string data) {
            wire::Frame frame;
            frame.set_data(std::move(data));
            m_attempt->emit(std::move(frame));
        };
        ExchangeResult result = co_await exchange(std::move(sink));
        if (result.end == ExchangeEnd::Cancelled) {
            m_attempt->advance(AttemptEvent::Finish);
            co_return;
        }
        if (result.end != ExchangeEnd::Complete) {
            sendRefusalWithLoad(m_context, *m_attempt, failureRefusal(result));
            co_return;
        }
        recordSuccessIfIsolated();
        applyUsage(result.progress);
        wire::Frame end;
        *end.mutable_end() = m_usage;
        *end.mutable_load() = m_context.load();
        m_attempt->advance(AttemptEvent::Finish);
        m_attempt->emit(std::move(end));
    }

    asio::awaitable<void> runAtMostOnce()
    {
        const IntentKey key = intentKeyOf(m_run);
        m_attempt->advance(AttemptEvent::Claim);
        const auto remaining = std::chrono::duration_cast<milliseconds>(m_attempt->deadline() - Clock::now());
        const std::string bodyHash = std::to_string(m_run.fingerprint());
        Span span = startSpan(spans::logAppend, m_run.traceparent());
        const TimePoint start = Clock::now();
        const IntentClaim claim = co_await m_context.intents.claim(key, bodyHash, remaining);
        span.finish();
        processMetrics().observe(Timing::LogAppend, {"intents"}, Clock::now() - start);
        if (const auto *other = std::get_if<IntentOwnedByOther>(&claim)) {
            respondForOtherOwner(key, *other);
            co_return;
        }
        if (const auto *unavailable = std::get_if<IntentLogUnavailable>(&claim)) {
            m_context.keyed.fail(key, toWire(notRun(Step::RecordIntent, unavailable->reason.peer, unavailable->reason.detail)), false);
            co_return;
        }
        co_await runOwned(key, std::get<IntentOwned>(claim).claim);
    }

    void respondForOtherOwner(const IntentKey &key, const IntentOwnedByOther &other)
    {
        if (!other.sameRequest) {
            const Refusal mismatch{Outcome::Rejected, 422, {Step::RecordIntent, {}, "the key was used for another request"}, std::nullopt};
            m_context.keyed.fail(key, toWire(mismatch), false);
            return;
        }
        if (other.finished && other.finished->hasBody) {
            KeyedResponse response{other.finished->status, {{"Content-Type", other.finished->contentType}}, other.finished->body};
            m_context.keyed.finish(key, std::move(response), wire::Usage());
            return;
        }
        wire::RefusalMessage refusal = toWire(
            {Outcome::OutcomeUnknown, 504, {Step::RecordIntent, other.owner.instance, "another instance has the request under this key"}, std::nullopt});
        refusal.set_owner(other.owner.instance);
        refusal.set_owner_incarnation(other.owner.number);
        m_context.keyed.fail(key, refusal, false);
    }

    asio::awaitable<void> runOwned(IntentKey key, std::uint64_t claim)
    {
        m_attempt->advance(AttemptEvent::Start);
        KeyedResponse response;
        ResponseSink sink;
        sink.head = [&response](unsigned status, HeaderList headers, bool) {
            response.status = status;
            response.headers = std::move(headers);
        };
        sink.data = [&response](std::string data) {
            response.body += data;
        };
        ExchangeResult result = co_await exchange(std::move(sink));
        if (result.end == ExchangeEnd::Complete) {
            recordSuccessIfIsolated();
            applyUsage(result.progress);
            m_context.intents.finished(key, claim, recordedResponse(response));
            m_context.keyed.finish(key, std::move(response), m_usage);
            co_return;
        }
        const bool mayHaveRun = result.end != ExchangeEnd::NotSent;
        if (!mayHaveRun) {
            m_context.intents.notRun(key, claim);
        }
        m_context.keyed.fail(key, failureRefusal(result), mayHaveRun);
    }

    static RecordedResponse recordedResponse(const KeyedResponse &response)
    {
        RecordedResponse finished;
        finished.status = response.status;
        for (const auto &[name, value] : response.headers) {
            if (name == "Content-Type") {
                finished.contentType = value;
            }
        }
        finished.hasBody = response.body.size() <= recordedBodyLimit;
        if (finished.hasBody) {
            finished.body = response.body;
        }
        return finished;
    }

    SidecarContext &m_context;
    DispatchedAttempt m_dispatched;
    AttemptPointer m_attempt;
    const wire::Run &m_run;
    wire::Usage m_usage;
    std::uint64_t m_costTokens = 0; //!< actual cost; 0 for an attempt without a response from the target
    FailureDiagnosis m_diagnosis;
};

/** Fails an attempt that the target may have run. */
void failRun(SidecarContext &context, const AttemptPointer &attempt, const Refusal &refusal)
{
    if (attempt->run().idempotent()) {
        sendRefusalWithLoad(context, *attempt, toWire(refusal));
    } else {
        context.keyed.fail(intentKeyOf(attempt->run()), toWire(refusal), true);
    }
}

asio::awaitable<void> runDispatched(SidecarContext &context, DispatchedAttempt dispatched)
{
    const DispatchedAttempt dispatchedCopy = dispatched;
    std::string failure;
    try {
        AttemptRunner runner(context, std::move(dispatched));
        co_await runner.run();
    } catch (const std::exception &error) {
        failure = error.what();
    }
    if (!failure.empty()) {
        // The slot must be freed even if the attempt fails with an exception.
        const Reason reason{Step::RunOnTarget, context.settings.instance, failure};
        logEvent(LogComponent::Sidecar, LogLevel::Error, "attempt failed with an exception", reason);
        context.queue.release(dispatchedCopy, 0);
        failRun(context, dispatchedCopy.attempt, {Outcome::OutcomeUnknown, 500, reason, std::nullopt});
        dispatchQueued(context);
    }
}

/** Decides how the attempt may run, from the crash suspects of this process and of the attempt's entry. */
RunPermission attemptPermission(SidecarContext &context, const wire::Run &run)
{
    const TimePoint now = Clock::now();
    const std::lock_guard lock(context.suspects.lock);
    mergeSuspectUpdates(context.suspects.suspects, readSuspects(run.suspects()), context.suspects.settings, now);
    const RunPermission own = runPermissionFor(context.suspects.suspects, run.fingerprint(), context.suspects.settings, now);
    return own == RunPermission::Clear && run.alone() ? RunPermission::Isolated : own;
}

} // namespace

wire::Load SidecarContext::load() const
{
    LoadReport report;
    report.instance = settings.instance;
    report.incarnation = self.number;
    report.targetGroup = settings.target.group;
    report.role = role;
    report.accepting = accepting();
    report.cacheEpoch = health.epoch();
    queue.fillLoadReport(report);
    wire::Load message;
    fillLoad(message, report);
    const std::lock_guard lock(suspects.lock);
    fillSuspects(*message.mutable_suspects(), suspectUpdates(suspects.suspects, maxSuspectUpdates, suspects.settings, Clock::now()));
    return message;
}

void acceptRun(SidecarContext &context, const wire::Run &run, const LinkPointer &link)
{
    const auto attempt = std::make_shared<SidecarAttempt>(run, link, Clock::now());
    if (!context.attempts.add(attempt)) {
        return;
    }
    const RunPermission permission = attemptPermission(context, run);
    if (permission == RunPermission::Blocked) {
        sendRefusalWithLoad(context, *attempt, toWire(blockedRefusal()));
        return;
    }
    // A repeat with a known key gets its response even while no new work is accepted.
    if (!run.idempotent()) {
        switch (context.keyed.attach(attempt)) {
        case AttachResult::Attached:
            return;
        case AttachResult::Mismatch:
            sendRefusalWithLoad(context, *attempt, toWire({Outcome::Rejected, 422, {Step::Queue, {}, "the key was used for another request"}, std::nullopt}));
            return;
        case AttachResult::Run:
            break;
        }
    }
    if (!context.accepting()) {
        refuseWaiting(context, attempt, notRun(Step::Queue, context.settings.instance, "the target takes no new work"));
        return;
    }
    if (!context.queue.add(attempt, permission == RunPermission::Isolated)) {
        refuseWaiting(context, attempt, notRun(Step::Queue, context.settings.instance, "the queue is full", queueFullStatus));
        return;
    }
    dispatchQueued(context);
}

void dispatchQueued(SidecarContext &context)
{
    while (auto dispatched = context.queue.next()) {
        const auto strand = dispatched->slot->strand;
        asio::co_spawn(strand, runDispatched(context, std::move(*dispatched)), asio::detached);
    }
}

void refuseWaiting(SidecarContext &context, const AttemptPointer &attempt, Refusal refusal)
{
    if (attempt->run().idempotent()) {
        sendRefusalWithLoad(context, *attempt, toWire(refusal));
    } else {
        context.keyed.fail(intentKeyOf(attempt->run()), toWire(refusal), false);
    }
}

void cancelAttempt(SidecarContext &context, const AttemptPointer &attempt)
{
    if (!attempt->run().idempotent()) {
        return; // the record of its key must say how the attempt ended
    }
    context.queue.cancelWaiting(attempt->id());
    attempt->cancel();
}

} // namespace snipehill
