#include "keyedruns.h"

#include "wireconvert.h"

namespace snipehill
{

namespace
{

constexpr std::size_t maxEndedRuns = 4096; //!< results kept for repeats
constexpr std::size_t maxStoredBodyBytes = 64U << 10U;

wire::RefusalMessage responseTooLarge()
{
    wire::RefusalMessage refusal;
    fillRefusal(refusal, {Outcome::OutcomeUnknown, 504, {Step::Response, {}, "the request ran, its answer was too large to keep"}, std::nullopt});
    return refusal;
}

} // namespace

IntentKey intentKeyOf(const wire::Run &run)
{
    return {run.workspace(), run.route(), run.idempotency_key()};
}

void sendResponse(SidecarAttempt &attempt, const KeyedResponse &response, const wire::Usage &usage)
{
    wire::Frame head;
    head.mutable_head()->set_status(response.status);
    fillHeaders(*head.mutable_head()->mutable_headers(), response.headers);
    attempt.emit(std::move(head));
    wire::Frame data;
    data.set_data(response.body);
    attempt.emit(std::move(data));
    wire::Frame end;
    *end.mutable_end() = usage;
    attempt.advance(AttemptEvent::Finish);
    attempt.emit(std::move(end));
}

void sendRefusal(SidecarAttempt &attempt, const wire::RefusalMessage &refusal)
{
    wire::Frame frame;
    *frame.mutable_refusal() = refusal;
    attempt.advance(AttemptEvent::Finish);
    attempt.emit(std::move(frame));
}

AttachResult KeyedRuns::attach(const AttemptPointer &attempt)
{
    const std::lock_guard lock(m_lock);
    const auto [found, first] = m_runs.try_emplace(intentKeyOf(attempt->run()));
    KeyedRun &run = found->second;
    if (first) {
        run.fingerprint = attempt->run().fingerprint();
    } else if (run.fingerprint != attempt->run().fingerprint()) {
        return AttachResult::Mismatch;
    }
    if (run.response) {
        // A repeat runs nothing on the target, so it carries no usage.
        sendResponse(*attempt, *run.response, wire::Usage());
        return AttachResult::Attached;
    }
    if (run.unknownOutcome) {
        sendRefusal(*attempt, *run.unknownOutcome);
        return AttachResult::Attached;
    }
    run.attempts.push_back(attempt);
    return first ? AttachResult::Run : AttachResult::Attached;
}

void KeyedRuns::addEnded(const IntentKey &key)
{
    m_ended.push_back(key);
    if (m_ended.size() > maxEndedRuns) {
        m_runs.erase(m_ended.front());
        m_ended.pop_front();
    }
}

void KeyedRuns::finish(const IntentKey &key, KeyedResponse response, const wire::Usage &usage)
{
    const std::lock_guard lock(m_lock);
    KeyedRun &run = m_runs[key];
    wire::Usage unsentUsage = usage;
    for (const AttemptPointer &attempt : run.attempts) {
        sendResponse(*attempt, response, unsentUsage);
        unsentUsage.Clear();
    }
    run.attempts.clear();
    if (response.body.size() > maxStoredBodyBytes) {
        run.unknownOutcome = responseTooLarge();
    } else {
        run.response = std::move(response);
    }
    addEnded(key);
}

void KeyedRuns::fail(const IntentKey &key, const wire::RefusalMessage &refusal, bool mayHaveRun)
{
    const std::lock_guard lock(m_lock);
    const auto found = m_runs.find(key);
    if (found == m_runs.end()) {
        return;
    }
    for (const AttemptPointer &attempt : found->second.attempts) {
        sendRefusal(*attempt, refusal);
    }
    found->second.attempts.clear();
    if (mayHaveRun) {
        found->second.unknownOutcome = refusal;
        addEnded(key);
    } else {
        m_runs.erase(found);
    }
}

} // namespace snipehill
