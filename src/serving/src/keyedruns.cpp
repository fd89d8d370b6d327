#include "keyedruns.h"

#include "wireconvert.h"

namespace snipehill
{

namespace
{

constexpr std::size_t maxEndedRuns = 4096; //!< answers kept for repeats
constexpr std::size_t maxKeptBodyBytes = 64U << 10U;

wire::RefusalMessage tooLarge()
{
    wire::RefusalMessage refusal;
    fillRefusal(refusal, {Outcome::OutcomeUnknown, 504, {Step::Answer, {}, "the request ran, its answer was too large to keep"}, std::nullopt});
    return refusal;
}

} // namespace

IntentKey keyOf(const wire::Run &run)
{
    return {run.workspace(), run.route(), run.idempotency_key()};
}

void emitAnswer(SidecarAttempt &attempt, const KeyedAnswer &answer, const wire::Usage &usage)
{
    wire::Frame head;
    head.mutable_head()->set_status(answer.status);
    fillHeaders(*head.mutable_head()->mutable_headers(), answer.headers);
    attempt.emit(std::move(head));
    wire::Frame data;
    data.set_data(answer.body);
    attempt.emit(std::move(data));
    wire::Frame end;
    *end.mutable_end() = usage;
    attempt.advance(AttemptEvent::Finish);
    attempt.emit(std::move(end));
}

void emitRefusal(SidecarAttempt &attempt, const wire::RefusalMessage &refusal)
{
    wire::Frame frame;
    *frame.mutable_refusal() = refusal;
    attempt.advance(AttemptEvent::Finish);
    attempt.emit(std::move(frame));
}

KeyedStart KeyedRuns::attach(const AttemptPointer &attempt)
{
    const std::lock_guard lock(m_lock);
    const auto [found, first] = m_runs.try_emplace(keyOf(attempt->run()));
    KeyedRun &run = found->second;
    if (first) {
        run.fingerprint = attempt->run().fingerprint();
    } else if (run.fingerprint != attempt->run().fingerprint()) {
        return KeyedStart::Mismatch;
    }
    if (run.answer) {
        // A repeat is no new use, so it carries no usage.
        emitAnswer(*attempt, *run.answer, wire::Usage());
        return KeyedStart::Attached;
    }
    if (run.unknown) {
        emitRefusal(*attempt, *run.unknown);
        return KeyedStart::Attached;
    }
    run.attempts.push_back(attempt);
    return first ? KeyedStart::Run : KeyedStart::Attached;
}

void KeyedRuns::remember(const IntentKey &key)
{
    m_ended.push_back(key);
    if (m_ended.size() > maxEndedRuns) {
        m_runs.erase(m_ended.front());
        m_ended.pop_front();
    }
}

void KeyedRuns::finish(const IntentKey &key, KeyedAnswer answer, const wire::Usage &usage)
{
    const std::lock_guard lock(m_lock);
    KeyedRun &run = m_runs[key];
    wire::Usage once = usage;
    for (const AttemptPointer &attempt : run.attempts) {
        emitAnswer(*attempt, answer, once);
        once.Clear();
    }
    run.attempts.clear();
    if (answer.body.size() > maxKeptBodyBytes) {
        run.unknown = tooLarge();
    } else {
        run.answer = std::move(answer);
    }
    remember(key);
}

void KeyedRuns::fail(const IntentKey &key, const wire::RefusalMessage &refusal, bool mayHaveRun)
{
    const std::lock_guard lock(m_lock);
    const auto found = m_runs.find(key);
    if (found == m_runs.end()) {
        return;
    }
    for (const AttemptPointer &attempt : found->second.attempts) {
        emitRefusal(*attempt, refusal);
    }
    found->second.attempts.clear();
    if (mayHaveRun) {
        found->second.unknown = refusal;
        remember(key);
    } else {
        m_runs.erase(found);
    }
}

} // namespace snipehill
