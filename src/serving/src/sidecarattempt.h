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
 * One attempt at its sidecar: the frames of its answer until the entry has acknowledged them, and the link
 * over which they go. Shared by the attempt table and the coroutine that runs it; all functions from any thread.
 */
class SidecarAttempt
{
public:
    SidecarAttempt(wire::Run run, LinkPointer link, TimePoint now);

    const wire::Run &run() const noexcept;
    AttemptId id() const noexcept;
    TimePoint deadline() const noexcept;
    AttemptPhase phase() const;
    /** Moves on; false if the event does not fit the phase, for example a start after a cancellation. */
    bool advance(AttemptEvent event);

    /** Ends the span of the wait in the queue; returns how long it was. */
    Duration endQueueWait(TimePoint now);

    /** Numbers the frame, keeps it until acknowledged and sends it if the link is open. */
    void emit(wire::Frame frame);
    void acknowledge(std::uint32_t sequence);
    /** Continues over another link after the given frame: answers Resolved, then sends what follows. */
    void rebind(LinkPointer link, std::uint32_t lastSequence);
    /** Waits until few enough bytes are unacknowledged; false once cancelled or past the deadline. */
    boost::asio::awaitable<bool> waitForWindow();

    /** Ends a run as soon as it can be; the callback set by onCancel() runs once. */
    void cancel();
    /** Called by cancel(), or at once if cancelled already. */
    void onCancel(std::function<void()> callback);
    bool cancelled() const;

    /** Nothing more will be sent and all of it was acknowledged, or nobody can ask for it any more. */
    bool isDisposable(TimePoint now) const;
    /** The entry is gone and has not come back to resolve. */
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
    std::shared_ptr<boost::asio::steady_timer> m_windowTimer; //!< set while the runner waits for the window
    Span m_waitSpan;
    std::optional<TimePoint> m_linkClosedSince; //!< first seen closed
};

using AttemptPointer = std::shared_ptr<SidecarAttempt>;

} // namespace snipehill
