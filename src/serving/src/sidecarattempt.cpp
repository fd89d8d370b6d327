#include "sidecarattempt.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t windowBytes = 256U << 10U; //!< send window: with more unacknowledged bytes, reading from the target pauses
constexpr seconds orphanTimeout{6}; //!< longer than an entry tries to resolve an attempt
constexpr seconds finishedRetention{30}; //!< after the deadline, for entries that resolve an attempt late

} // namespace

SidecarAttempt::SidecarAttempt(wire::Run run, LinkPointer link, TimePoint now)
    : m_run(std::move(run))
    , m_received(now)
    , m_deadline(now + milliseconds(m_run.deadline_ms()))
    , m_link(std::move(link))
    , m_waitSpan(startSpan(spans::queue, m_run.traceparent()))
{
}

const wire::Run &SidecarAttempt::run() const noexcept
{
    return m_run;
}

AttemptId SidecarAttempt::id() const noexcept
{
    return m_run.attempt_id();
}

TimePoint SidecarAttempt::deadline() const noexcept
{
    return m_deadline;
}

AttemptPhase SidecarAttempt::phase() const
{
    const std::lock_guard lock(m_lock);
    return m_machine.phase();
}

bool SidecarAttempt::advance(AttemptEvent event)
{
    const std::lock_guard lock(m_lock);
    return m_machine.advance(event);
}

Duration SidecarAttempt::endQueueWait(TimePoint now)
{
    const std::lock_guard lock(m_lock);
    m_waitSpan.finish();
    return now - m_received;
}

void SidecarAttempt::emit(wire::Frame frame)
{
    const std::lock_guard lock(m_lock);
    frame.set_attempt_id(id());
    frame.set_sequence(m_nextSequence++);
    wire::LinkMessage message;
    *message.mutable_frame() = std::move(frame);
    m_unacknowledgedBytes += message.ByteSizeLong();
    if (m_link->isOpen()) {
        m_link->send(message);
    }
    m_unacknowledged.push_back(std::move(message));
}

void SidecarAttempt::acknowledge(std::uint32_t sequence)
{
    const std::lock_guard lock(m_lock);
    while (!m_unacknowledged.empty() && m_unacknowledged.front().frame().sequence() <= sequence) {
        m_unacknowledgedBytes -= m_unacknowledged.front().ByteSizeLong();
        m_unacknowledged.pop_front();
    }
    if (m_windowTimer && m_unacknowledgedBytes < windowBytes) {
        asio::post(m_windowTimer->get_executor(), [timer = m_windowTimer] {
            timer->cancel();
        });
    }
}

void SidecarAttempt::rebind(LinkPointer link, std::uint32_t lastSequence)
{
    acknowledge(lastSequence);
    const std::lock_guard lock(m_lock);
    m_link = std::move(link);
    m_linkClosedSince.reset();
    wire::LinkMessage response;
    response.mutable_resolved()->set_attempt_id(id());
    response.mutable_resolved()->set_state(m_machine.phase() == AttemptPhase::Finished ? wire::Resolved::FINISHED : wire::Resolved::RUNNING);
    m_link->send(response);
    for (const wire::LinkMessage &message : m_unacknowledged) {
        m_link->send(message);
    }
}

asio::awaitable<bool> SidecarAttempt::waitForWindow()
{
    const auto executor = co_await asio::this_coro::executor;
    while (true) {
        std::shared_ptr<asio::steady_timer> timer;
        {
            const std::lock_guard lock(m_lock);
            m_windowTimer.reset();
            if (m_cancelled || Clock::now() >= m_deadline) {
                co_return false;
            }
            if (m_unacknowledgedBytes < windowBytes) {
                co_return true;
            }
            timer = std::make_shared<asio::steady_timer>(executor, m_deadline);
            m_windowTimer = timer;
        }
        co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void SidecarAttempt::cancel()
{
    std::function<void()> callback;
    {
        const std::lock_guard lock(m_lock);
        m_cancelled = true;
        m_machine.advance(AttemptEvent::Cancel);
        callback = std::move(m_onCancel);
        m_onCancel = nullptr;
        if (m_windowTimer) {
            asio::post(m_windowTimer->get_executor(), [timer = m_windowTimer] {
                timer->cancel();
            });
        }
    }
    if (callback) {
        callback();
    }
}

void SidecarAttempt::onCancel(std::function<void()> callback)
{
    {
        const std::lock_guard lock(m_lock);
        if (!m_cancelled || !callback) {
            m_onCancel = std::move(callback);
            return;
        }
    }
    callback();
}

bool SidecarAttempt::isCancelled() const
{
    const std::lock_guard lock(m_lock);
    return m_cancelled;
}

bool SidecarAttempt::isSettled() const
{
    const std::lock_guard lock(m_lock);
    const AttemptPhase phase = m_machine.phase();
    return phase == AttemptPhase::Cancelled || (phase == AttemptPhase::Finished && (m_unacknowledged.empty() || m_cancelled));
}

bool SidecarAttempt::isDisposable(TimePoint now) const
{
    const std::lock_guard lock(m_lock);
    const AttemptPhase phase = m_machine.phase();
    return (phase == AttemptPhase::Finished || phase == AttemptPhase::Cancelled) && now > m_deadline + finishedRetention;
}

bool SidecarAttempt::isOrphaned(TimePoint now)
{
    const std::lock_guard lock(m_lock);
    if (m_link->isOpen()) {
        m_linkClosedSince.reset();
        return false;
    }
    if (!m_linkClosedSince) {
        m_linkClosedSince = now;
    }
    return now - *m_linkClosedSince > orphanTimeout;
}

} // namespace snipehill
