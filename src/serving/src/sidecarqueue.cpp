#include "sidecarqueue.h"

namespace snipehill
{

namespace
{

constexpr double rateSmoothing = 0.2; //!< weight of the newest request in the averages

void smooth(double &average, std::uint64_t tokens, Duration time)
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
        m_lanes.push_back(std::make_unique<Lane>(executor));
        m_freeLanes.push_back(m_lanes.back().get());
    }
}

bool SidecarQueue::add(const AttemptPointer &attempt, bool alone)
{
    const wire::Run &run = attempt->run();
    QueuedRequest request;
    request.attempt = attempt->id();
    request.workspace = run.workspace();
    request.weight = run.weight();
    request.costTokens = queueCost(run.prompt_tokens(), run.output_tokens());
    request.deadline = attempt->deadline();
    request.alone = alone;
    const std::lock_guard lock(m_lock);
    if (!enqueue(m_queue, std::move(request), m_settings)) {
        return false;
    }
    m_waiting[attempt->id()] = attempt;
    return true;
}

std::optional<DispatchedAttempt> SidecarQueue::next()
{
    const std::lock_guard lock(m_lock);
    if (m_freeLanes.empty()) {
        return std::nullopt;
    }
    auto request = dequeue(m_queue, m_settings);
    if (!request) {
        return std::nullopt;
    }
    DispatchedAttempt dispatched;
    dispatched.attempt = m_waiting.at(request->attempt);
    m_waiting.erase(request->attempt);
    m_running[request->attempt] = dispatched.attempt;
    dispatched.priority = enginePriority(m_queue, *request, m_settings);
    dispatched.request = std::move(*request);
    dispatched.lane = m_freeLanes.back();
    m_freeLanes.pop_back();
    return dispatched;
}

void SidecarQueue::done(const DispatchedAttempt &dispatched, std::uint64_t promptTokens, std::uint64_t outputTokens)
{
    const std::lock_guard lock(m_lock);
    finish(m_queue, dispatched.request, queueCost(promptTokens, outputTokens));
    m_running.erase(dispatched.request.attempt);
    m_freeLanes.push_back(dispatched.lane);
}

std::vector<AttemptPointer> SidecarQueue::takeExpired(TimePoint now)
{
    std::vector<AttemptPointer> expired;
    const std::lock_guard lock(m_lock);
    for (const QueuedRequest &request : snipehill::takeExpired(m_queue, now)) {
        const auto waiting = m_waiting.find(request.attempt);
        expired.push_back(waiting->second);
        m_waiting.erase(waiting);
    }
    return expired;
}

bool SidecarQueue::cancelWaiting(AttemptId attempt)
{
    const std::lock_guard lock(m_lock);
    m_waiting.erase(attempt);
    return snipehill::cancelWaiting(m_queue, attempt).has_value();
}

std::vector<AttemptPointer> SidecarQueue::takeAll()
{
    std::vector<AttemptPointer> taken;
    const std::lock_guard lock(m_lock);
    for (const auto &[id, attempt] : m_waiting) {
        snipehill::cancelWaiting(m_queue, id);
        taken.push_back(attempt);
    }
    m_waiting.clear();
    return taken;
}

void SidecarQueue::noteRates(std::uint64_t promptTokens, Duration prefill, std::uint64_t outputTokens, Duration decode)
{
    const std::lock_guard lock(m_lock);
    smooth(m_rates.prefillTokensPerSecond, promptTokens, prefill);
    // One stream's speed times the streams side by side is the speed of the target.
    smooth(m_rates.decodeTokensPerSecond, outputTokens * std::max<std::size_t>(1, m_running.size()), decode);
}

void SidecarQueue::describe(LoadReport &report) const
{
    const std::lock_guard lock(m_lock);
    report.slots = m_settings.slots;
    report.running = static_cast<std::uint32_t>(m_running.size());
    report.queued = static_cast<std::uint32_t>(m_waiting.size());
    for (const auto &[id, attempt] : m_waiting) {
        report.queuedPrefillTokens += attempt->run().prompt_tokens();
        report.queuedDecodeTokens += attempt->run().output_tokens();
    }
    for (const auto &[id, attempt] : m_running) {
        report.queuedDecodeTokens += attempt->run().output_tokens() / 2; // half done on average
    }
    report.prefillTokensPerSecond = m_rates.prefillTokensPerSecond;
    report.decodeTokensPerSecond = m_rates.decodeTokensPerSecond;
}

std::size_t SidecarQueue::busy() const
{
    const std::lock_guard lock(m_lock);
    return m_waiting.size() + m_running.size();
}

} // namespace snipehill
