#include "sidecarqueue.h"

namespace snipehill
{

namespace
{

constexpr double rateSmoothing = 0.2; //!< weight of the newest request in the moving averages

void updateAverage(double &average, std::uint64_t tokens, Duration time)
{
    const double elapsed = std::chrono::duration<double>(time).count();
    if (tokens == 0 || elapsed <= 0) {
        return;
    }
    const double rate = static_cast<double>(tokens) / elapsed;
    average = average == 0 ? rate : average + rateSmoothing * (rate - average);
}

} // namespace

SidecarQueue::SidecarQueue(boost::asio::any_io_executor executor, std::uint32_t slots)
{
    m_settings.slots = slots;
    m_settings.reservedSlots = slots > 1 ? m_settings.reservedSlots : 0;
    for (std::uint32_t i = 0; i < slots; ++i) {
        m_slots.push_back(std::make_unique<TargetSlot>(executor));
        m_freeSlots.push_back(m_slots.back().get());
    }
}

bool SidecarQueue::add(const AttemptPointer &attempt, bool isolated)
{
    const wire::Run &run = attempt->run();
    QueuedRequest request;
    request.attempt = attempt->id();
    request.workspace = run.workspace();
    request.weight = run.weight();
    request.costTokens = queueCost(run.prompt_tokens(), run.output_tokens());
    request.deadline = attempt->deadline();
    request.isolated = isolated;
    const std::lock_guard lock(m_lock);
    if (!enqueue(m_queue, std::move(request), m_settings)) {
        return false;
    }
    m_waiting[attempt->id()] = attempt;
    m_totals.queuedPrefillTokens += run.prompt_tokens();
    m_totals.queuedDecodeTokens += run.output_tokens();
    m_totals.admittedPrefillTokens += run.prompt_tokens();
    m_totals.admittedDecodeTokens += run.output_tokens();
    return true;
}

AttemptPointer SidecarQueue::removeWaiting(AttemptId attempt)
{
    const auto waiting = m_waiting.find(attempt);
    if (waiting == m_waiting.end()) {
        return nullptr;
    }
    AttemptPointer taken = std::move(waiting->second);
    m_waiting.erase(waiting);
    m_totals.queuedPrefillTokens -= taken->run().prompt_tokens();
    m_totals.queuedDecodeTokens -= taken->run().output_tokens();
    return taken;
}

std::optional<DispatchedAttempt> SidecarQueue::next()
{
    const std::lock_guard lock(m_lock);
    if (m_freeSlots.empty()) {
        return std::nullopt;
    }
    auto request = dequeue(m_queue, m_settings);
    if (!request) {
        return std::nullopt;
    }
    DispatchedAttempt dispatched;
    dispatched.attempt = removeWaiting(request->attempt);
    m_runningDecodeTokens += dispatched.attempt->run().output_tokens();
    m_running[request->attempt] = dispatched.attempt;
    dispatched.priority = enginePriority(m_queue, *request, m_settings);
    dispatched.request = std::move(*request);
    dispatched.slot = m_freeSlots.back();
    m_freeSlots.pop_back();
    return dispatched;
}

void SidecarQueue::release(const DispatchedAttempt &dispatched, std::uint64_t costTokens)
{
    const std::lock_guard lock(m_lock);
    finish(m_queue, dispatched.request, costTokens);
    m_running.erase(dispatched.request.attempt);
    m_runningDecodeTokens -= dispatched.attempt->run().output_tokens();
    m_freeSlots.push_back(dispatched.slot);
}

std::vector<AttemptPointer> SidecarQueue::takeExpired(TimePoint now)
{
    std::vector<AttemptPointer> expired;
    const std::lock_guard lock(m_lock);
    for (const QueuedRequest &request : snipehill::takeExpired(m_queue, now)) {
        expired.push_back(removeWaiting(request.attempt));
    }
    return expired;
}

bool SidecarQueue::cancelWaiting(AttemptId attempt)
{
    const std::lock_guard lock(m_lock);
    removeWaiting(attempt);
    return snipehill::cancelWaiting(m_queue, attempt).has_value();
}

std::vector<AttemptPointer> SidecarQueue::takeAll()
{
    std::vector<AttemptPointer> taken;
    const std::lock_guard lock(m_lock);
    while (!m_waiting.empty()) {
        const AttemptId attempt = m_waiting.begin()->first;
        snipehill::cancelWaiting(m_queue, attempt);
        taken.push_back(removeWaiting(attempt));
    }
    return taken;
}

void SidecarQueue::recordRates(std::uint64_t promptTokens, Duration prefill, std::uint64_t outputTokens, Duration decode)
{
    const std::lock_guard lock(m_lock);
    updateAverage(m_rates.prefillTokensPerSecond, promptTokens, prefill);
    // The rate of the target is the rate of one stream times the number of concurrent streams.
    updateAverage(m_rates.decodeTokensPerSecond, outputTokens * std::max<std::size_t>(1, m_running.size()), decode);
}

void SidecarQueue::fillLoadReport(LoadReport &report) const
{
    const std::lock_guard lock(m_lock);
    report.slots = m_settings.slots;
    report.running = static_cast<std::uint32_t>(m_running.size());
    report.queued = static_cast<std::uint32_t>(m_waiting.size());
    report.queuedPrefillTokens = m_totals.queuedPrefillTokens;
    report.queuedDecodeTokens = m_totals.queuedDecodeTokens + m_runningDecodeTokens / 2; // running attempts are half done on average
    report.admittedPrefillTokens = m_totals.admittedPrefillTokens;
    report.admittedDecodeTokens = m_totals.admittedDecodeTokens;
    report.prefillTokensPerSecond = m_rates.prefillTokensPerSecond;
    report.decodeTokensPerSecond = m_rates.decodeTokensPerSecond;
}

std::size_t SidecarQueue::attemptCount() const
{
    const std::lock_guard lock(m_lock);
    return m_waiting.size() + m_running.size();
}

} // namespace snipehill
