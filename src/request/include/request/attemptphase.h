#pragma once

#include <memory>

namespace snipehill
{

/** Phase of an attempt at its sidecar. */
enum class AttemptPhase {
    Waiting, //!< queued for a slot of the target
    Claiming, //!< its claim is being appended to the intents stream
    Running, //!< the target may have received it
    Finished, //!< the complete response or a refusal has been written
    Cancelled, //!< cancelled before it was sent to the target
};

/** Event that causes a phase transition. */
enum class AttemptEvent {
    Claim, //!< a slot is free and a claim must be recorded before the start
    Start, //!< the attempt is sent to the target
    Finish, //!< a response of the target or a refusal ends the attempt
    Cancel, //!< the entry no longer needs the attempt
};

/** Lower-case name of a phase, for example "waiting". */
const char *toString(AttemptPhase phase) noexcept;

/**
 * State machine of one attempt at its sidecar. An attempt that was cancelled while waiting never starts, and a running
 * attempt can't be cancelled and reported as not run. Not thread-safe; the owner locks.
 */
class AttemptPhaseMachine
{
public:
    AttemptPhaseMachine();
    ~AttemptPhaseMachine();
    AttemptPhaseMachine(const AttemptPhaseMachine &) = delete;
    AttemptPhaseMachine &operator=(const AttemptPhaseMachine &) = delete;

    /** Applies an event. Returns false and keeps the phase if the event has no transition from it. */
    bool advance(AttemptEvent event);
    AttemptPhase phase() const noexcept;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace snipehill
