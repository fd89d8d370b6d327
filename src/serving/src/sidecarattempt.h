#pragma once

#include <connection/link.h>
#include <core/ids.h>
#include <core/refusal.h>
#include <core/time.h>
#include <process/tracing.h>
#include <request/attemptphase.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <link.pb.h>

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace snipehill
{

/**
 * One attempt at its sidecar: its state, the unacknowledged frames of its response and the link over which they are
 * sent. Shared by the attempt table and the coroutine that runs it. Thread-safe.
 */
class SidecarAttempt
{
public:
    SidecarAttempt(wire::Run run, LinkPointer link, TimePoint now);

    const wire::Run &run() const noexcept;
    AttemptId id() const noexcept;
    TimePoint deadline() const noexcept;
    AttemptPhase phase() const;
    /** Applies the event to the state machine; false if the phase does not allow it, for example a start after a cancellation. */
    bool advance(AttemptEvent event);

    /** Ends the trace span of the wait in the queue and returns the length of the wait. */
    Duration endQueueWait(TimePoint now);

    /** Numbers the frame, keeps it until it is acknowledged and sends it if the link is open. */
    void emit(wire::Frame frame);
    void acknowledge(std::uint32_t sequence);
    /** Continues over another link: sends Resolved, then all frames after the given sequence number. */
    void rebind(LinkPointer link, std::uint32_t lastSequence);
    /** Waits until the unacknowledged bytes are within the send window; false once cancelled or past the deadline. */
    boost::asio::awaitable<bool> waitForWindow();

    /** Cancels the attempt and runs the callback set by onCancel(), once. */
    void cancel();
    /** Sets the callback of cancel(); it is called at once if the attempt is already cancelled. */
    void onCancel(std::function<void()> callback);
    bool isCancelled() const;

    /** The attempt has ended so long ago that no entry can resolve it any more. */
    bool isDisposable(TimePoint now) const;
    /** The link has been closed for longer than an entry tries to resolve. */
    bool isOrphaned(TimePoint now);
    bool isSettled() const;

private:
    wire::Run m_run;
    TimePoint m_received;
    TimePoint m_deadline;
    mutable std::mutex m_lock;
    AttemptPhaseMachine m_machine;
    LinkPointer m_link;
    std::deque<wire::LinkMessage> m_unacknowledged;
    std::size_t m_unacknowledgedBytes = 0;
    std::uint32_t m_nextSequence = 1;
    bool m_cancelled = false;
    std::function<void()> m_onCancel;
    std::shared_ptr<boost::asio::steady_timer> m_windowTimer; //!< set while the coroutine waits for the send window
    Span m_waitSpan;
    std::optional<TimePoint> m_linkClosedSince; //!< when the link was first seen closed
};

using AttemptPointer = std::shared_ptr<SidecarAttempt>;

} // namespace snipehill
