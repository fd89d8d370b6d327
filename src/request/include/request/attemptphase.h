#pragma once

#include <memory>

namespace snipehill
{

/** Where an attempt stands at its sidecar. */
enum class AttemptPhase {
    Waiting, //!< for a slot of the target
    Claiming, //!< its intent is being recorded
    Running, //!< the target may have it
    Finished, //!< whole answer or refusal is written
    Cancelled, //!< before the target got it
};

/** What moves an attempt on. */
enum class AttemptEvent {
    Claim, //!< a slot is free and an intent must be recorded first
    Start, //!< goes to the target
    Finish, //!< answered, by the target or with a refusal
    Cancel, //!< the entry has no more use for it
};

/** "waiting", "claiming" and so on. */
const char *toString(AttemptPhase phase) noexcept;

/**
 * State machine of one attempt at its sidecar. An attempt that was cancelled while it waited never starts;
 * one that runs can't be cancelled back to "not run". Not thread-safe; the owner locks.
 */
class AttemptPhaseMachine
{
public:
    AttemptPhaseMachine();
    ~AttemptPhaseMachine();
    AttemptPhaseMachine(const AttemptPhaseMachine &) = delete;
    AttemptPhaseMachine &operator=(const AttemptPhaseMachine &) = delete;

    /** False if the event has no transition from the phase, which then stays. */
    bool advance(AttemptEvent event);
    AttemptPhase phase() const noexcept;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace snipehill
