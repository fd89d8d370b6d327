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
constexpr std::size_t maxSuspectNews = 16; //!< in one load report

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

/** Frame of a refusal with the load that explains it. */
void emitRefusalWithLoad(SidecarContext &context, SidecarAttempt &attempt, const wire::RefusalMessage &refusal)
{
    wire::Frame frame;
    *frame.mutable_refusal() = refusal;
    *frame.mutable_load() = context.load();
    attempt.advance(AttemptEvent::Finish);
    attempt.emit(std::move(frame));
}

/** The coroutine's state of one attempt on a lane. */
class Runner
{
public:
    Runner(SidecarContext &context, DispatchedAttempt dispatched)
        : m_context(context), m_dispatched(std::move(dispatched)), m_attempt(m_dispatched.attempt), m_run(m_attempt->run())
    {
    }

    asio::awaitable<void> run()
    {
        // A request may have become a suspect while it waited.
        const RunPermission judgement = judgeAgain();
        if (judgement != RunPermission::Clear && !m_dispatched.request.isolated) {
            m_context.queue.done(m_dispatched, 0);
            judgement == RunPermission::Blocked ? refuseBlocked() : queueAlone();
            pump(m_context);
            co_return;
        }
        processMetrics().observe(Timing::QueueWait, {m_run.workspace()}, m_attempt->endWait(Clock::now()));
        if (m_run.idempotent()) {
            co_await runIdempotent();
        } else {
            co_await runOnce();
        }
        m_context.queue.done(m_dispatched, m_costTokens);
        pump(m_context);
    }

private:
    RunPermission judgeAgain()
    {
        const std::lock_guard lock(m_context.suspects.lock);
        return runPermissionFor(m_context.suspects.suspects, m_run.fingerprint(), m_context.suspects.settings, Clock::now());
    }

    void refuseBlocked()
    {
        refuseWaiting(m_context, m_attempt, blockedRefusal());
    }

    void queueAlone()
    {
        if (!m_context.queue.add(m_attempt, true)) {
            refuseWaiting(m_context, m_attempt, notRun(Step::Queue, m_context.settings.instance, "the queue is full", queueFullStatus));
        }
    }

    ExchangeTarget target(const Span &span) const
    {
        return {m_context.settings.target.address, m_context.settings.target.kind == TargetKind::Engine, m_dispatched.priority, span.traceparent()};
    }

    /** Exchange with the target, known to the health watch while it lasts. */
    asio::awaitable<ExchangeResult> exchange(AnswerSink sink)
    {
        m_context.health.enter(m_attempt->id(), m_run.fingerprint());
        const TimePoint start = Clock::now();
        Span span = startSpan(spans::target, m_run.traceparent());
        ExchangeResult result = co_await exchangeWithTarget(*m_dispatched.lane, m_attempt, target(span), std::move(sink));
        if (result.end == ExchangeEnd::NotSent || result.end == ExchangeEnd::Failed) {
            span.setError(result.reason);
            m_finding = co_await m_context.health.judgeFailure(m_attempt->id());
        }
        m_context.health.leave(m_attempt->id());
        if (result.end == ExchangeEnd::Complete) {
            const Duration decode = Clock::now() - result.firstByte;
            m_context.queue.noteRates(m_run.prompt_tokens(), result.firstByte - start, result.progress.outputTokens, decode);
        }
        co_return result;
    }

    void takeUsage(const EventProgress &progress)
    {
        const bool engine = m_context.settings.target.kind == TargetKind::Engine;
        m_costTokens = queueCost(m_run.prompt_tokens(), engine ? progress.outputTokens : m_run.output_tokens());
        if (engine) {
            takeTokens(progress);
        }
        if (m_context.bookUsage) {
            m_usage.set_window(m_context.bookUsage(m_run.workspace(), m_usage));
        }
    }

    void takeTokens(const EventProgress &progress)
    {
        m_usage.set_prompt_tokens(progress.usageSeen ? progress.promptTokens : m_run.prompt_tokens());
        // The sidecar that ends a resumed answer books all of it, the others none.
        m_usage.set_output_tokens(progress.usageSeen ? progress.outputTokens : m_run.resume_tokens() + progress.dataEvents);
    }

    void noteCrashHere()
    {
        logEvent(
            Part::Sidecar, Level::Warning, "target died", {{"inFlight", m_finding.inFlight.size()}, {"alone", m_dispatched.request.isolated ? "yes" : "no"}});
        const std::lock_guard lock(m_context.suspects.lock);
        recordCrash(m_context.suspects.suspects, m_finding.inFlight, m_dispatched.request.isolated, m_context.suspects.settings, Clock::now());
    }

    void noteSuccessAlone()
    {
        // A resumed run skipped the part that may have been the cause.
        if (m_dispatched.request.isolated && m_run.resume_tokens() == 0) {
            const std::lock_guard lock(m_context.suspects.lock);
            recordIsolatedSuccess(m_context.suspects.suspects, m_run.fingerprint(), Clock::now());
        }
    }

    wire::RefusalMessage failure(const ExchangeResult &result)
    {
        Refusal refusal{Outcome::OutcomeUnknown, 502, result.reason, std::nullopt};
        refusal.reason.peer = m_context.settings.instance;
        if (result.end == ExchangeEnd::NotSent) {
            refusal.outcome = Outcome::NotRun;
            refusal.status = 503;
            refusal.retryAfter = seconds(1);
        }
        wire::RefusalMessage message = toWire(refusal);
        if (m_finding.crashed && result.end == ExchangeEnd::Failed) {
            message.set_target_crashed(true);
            message.mutable_in_flight()->Add(m_finding.inFlight.begin(), m_finding.inFlight.end());
            noteCrashHere();
        }
        return message;
    }

    asio::awaitable<void> runIdempotent()
    {
        if (!m_attempt->advance(AttemptEvent::Start)) {
            co_return; // cancelled while it waited
        }
        bool first = true;
        AnswerSink sink;
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
            emitRefusalWithLoad(m_context, *m_attempt, failure(result));
            co_return;
        }
        noteSuccessAlone();
        takeUsage(result.progress);
        wire::Frame end;
        *end.mutable_end() = m_usage;
        *end.mutable_load() = m_context.load();
        m_attempt->advance(AttemptEvent::Finish);
        m_attempt->emit(std::move(end));
    }

    asio::awaitable<void> runOnce()
    {
        const IntentKey key = keyOf(m_run);
        m_attempt->advance(AttemptEvent::Claim);
        const auto remaining = std::chrono::duration_cast<milliseconds>(m_attempt->deadline() - Clock::now());
        const std::string bodyHash = std::to_string(m_run.fingerprint());
        Span span = startSpan(spans::logAppend, m_run.traceparent());
        const TimePoint start = Clock::now();
        const IntentClaim claim = co_await m_context.intents.claim(key, bodyHash, remaining);
        span.finish();
        processMetrics().observe(Timing::LogAppend, {"intents"}, Clock::now() - start);
        if (const auto *other = std::get_if<IntentOwnedByOther>(&claim)) {
            answerForOther(key, *other);
            co_return;
        }
        if (const auto *down = std::get_if<IntentLogDown>(&claim)) {
            m_context.keyed.fail(key, toWire(notRun(Step::RecordIntent, down->reason.peer, down->reason.detail)), false);
            co_return;
        }
        co_await runOwned(key, std::get<IntentOwned>(claim).claim);
    }

    void answerForOther(const IntentKey &key, const IntentOwnedByOther &other)
    {
        if (!other.sameRequest) {
            const Refusal mismatch{Outcome::Rejected, 422, {Step::RecordIntent, {}, "the key was used for another request"}, std::nullopt};
            m_context.keyed.fail(key, toWire(mismatch), false);
            return;
        }
        if (other.finished && other.finished->hasBody) {
            KeyedAnswer answer{other.finished->status, {{"Content-Type", other.finished->contentType}}, other.finished->body};
            m_context.keyed.finish(key, std::move(answer), wire::Usage());
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
        KeyedAnswer answer;
        AnswerSink sink;
        sink.head = [&answer](unsigned status, HeaderList headers, bool) {
            answer.status = status;
            answer.headers = std::move(headers);
        };
        sink.data = [&answer](std::string data) {
            answer.body += data;
        };
        ExchangeResult result = co_await exchange(std::move(sink));
        if (result.end == ExchangeEnd::Complete) {
            noteSuccessAlone();
            takeUsage(result.progress);
            m_context.intents.finished(key, claim, finishedAnswer(answer));
            m_context.keyed.finish(key, std::move(answer), m_usage);
            co_return;
        }
        const bool mayHaveRun = result.end != ExchangeEnd::NotSent;
        if (!mayHaveRun) {
            m_context.intents.notRun(key, claim);
        }
        m_context.keyed.fail(key, failure(result), mayHaveRun);
    }

    static RecordedResponse finishedAnswer(const KeyedAnswer &answer)
    {
        RecordedResponse finished;
        finished.status = answer.status;
        for (const auto &[name, value] : answer.headers) {
            if (name == "Content-Type") {
                finished.contentType = value;
            }
        }
        finished.hasBody = answer.body.size() <= recordedBodyLimit;
        if (finished.hasBody) {
            finished.body = answer.body;
        }
        return finished;
    }

    SidecarContext &m_context;
    DispatchedAttempt m_dispatched;
    AttemptPointer m_attempt;
    const wire::Run &m_run;
    wire::Usage m_usage;
    std::uint64_t m_costTokens = 0; //!< real cost; 0 for an attempt that the target did not answer
    FailureFinding m_finding;
};

/** Ends an attempt that the target may have run. */
void failRun(SidecarContext &context, const AttemptPointer &attempt, const Refusal &refusal)
{
    if (attempt->run().idempotent()) {
        emitRefusalWithLoad(context, *attempt, toWire(refusal));
    } else {
        context.keyed.fail(keyOf(attempt->run()), toWire(refusal), true);
    }
}

asio::awaitable<void> runDispatched(SidecarContext &context, DispatchedAttempt dispatched)
{
    const DispatchedAttempt kept = dispatched;
    std::string failure;
    try {
        Runner runner(context, std::move(dispatched));
        co_await runner.run();
    } catch (const std::exception &error) {
        failure = error.what();
    }
    if (!failure.empty()) {
        // The lane must not be lost with the attempt.
        const Reason reason{Step::RunOnTarget, context.settings.instance, failure};
        logEvent(Part::Sidecar, Level::Error, "attempt failed inside", reason);
        context.queue.done(kept, 0);
        failRun(context, kept.attempt, {Outcome::OutcomeUnknown, 500, reason, std::nullopt});
        pump(context);
    }
}

/** How the attempt may run here; what this process knows and what its entry knew both count. */
RunPermission judgeRun(SidecarContext &context, const wire::Run &run)
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
    queue.describe(report);
    wire::Load message;
    fillLoad(message, report);
    const std::lock_guard lock(suspects.lock);
    fillSuspects(*message.mutable_suspects(), suspectUpdates(suspects.suspects, maxSuspectNews, suspects.settings, Clock::now()));
    return message;
}

void acceptRun(SidecarContext &context, const wire::Run &run, const LinkPointer &link)
{
    const auto attempt = std::make_shared<SidecarAttempt>(run, link, Clock::now());
    if (!context.attempts.add(attempt)) {
        return;
    }
    const RunPermission judgement = judgeRun(context, run);
    if (judgement == RunPermission::Blocked) {
        emitRefusalWithLoad(context, *attempt, toWire(blockedRefusal()));
        return;
    }
    // A repeat of a key that is known here gets its answer even while nothing new is taken.
    if (!run.idempotent()) {
        switch (context.keyed.attach(attempt)) {
        case KeyedStart::Attached:
            return;
        case KeyedStart::Mismatch:
            emitRefusalWithLoad(context, *attempt, toWire({Outcome::Rejected, 422, {Step::Queue, {}, "the key was used for another request"}, std::nullopt}));
            return;
        case KeyedStart::Run:
            break;
        }
    }
    if (!context.accepting()) {
        refuseWaiting(context, attempt, notRun(Step::Queue, context.settings.instance, "the target takes no new work"));
        return;
    }
    if (!context.queue.add(attempt, judgement == RunPermission::Isolated)) {
        refuseWaiting(context, attempt, notRun(Step::Queue, context.settings.instance, "the queue is full", queueFullStatus));
        return;
    }
    pump(context);
}

void pump(SidecarContext &context)
{
    while (auto dispatched = context.queue.next()) {
        const auto strand = dispatched->lane->strand;
        asio::co_spawn(strand, runDispatched(context, std::move(*dispatched)), asio::detached);
    }
}

void refuseWaiting(SidecarContext &context, const AttemptPointer &attempt, Refusal refusal)
{
    if (attempt->run().idempotent()) {
        emitRefusalWithLoad(context, *attempt, toWire(refusal));
    } else {
        context.keyed.fail(keyOf(attempt->run()), toWire(refusal), false);
    }
}

void cancelAttempt(SidecarContext &context, const AttemptPointer &attempt)
{
    if (!attempt->run().idempotent()) {
        return; // its key's record must tell how it ended
    }
    context.queue.cancelWaiting(attempt->id());
    attempt->cancel();
}

} // namespace snipehill
