#pragma once

#include "attempttable.h"
#include "entrycontext.h"
#include "keyedruns.h"
#include "sidecarqueue.h"
#include "targethealth.h"

#include <process/intentwriter.h>
#include <process/settings.h>

#include <atomic>
#include <functional>
#include <set>

namespace snipehill
{

/** Everything that attempts of a sidecar share. Made once by Sidecar, outlives all attempts. */
struct SidecarContext
{
    const Settings &settings;
    Incarnation self;
    boost::asio::any_io_executor executor;
    AttemptTable attempts;
    SidecarQueue queue;
    KeyedRuns keyed;
    TargetHealth health;
    IntentWriter intents;
    mutable SharedSuspects suspects;
    std::atomic<bool> draining{false}; //!< told to end
    std::atomic<bool> orderInProgress{false}; //!< an order to the engine is under way
    std::atomic<EngineRole> role{EngineRole::Mixed};
    std::function<std::int64_t(const std::string &workspace, const wire::Usage &usage)> recordUsage; //!< returns the window

    bool accepting() const noexcept
    {
        return !draining && !orderInProgress && health.up();
    }
    /** Load, role and suspects, as they travel with answers. */
    wire::Load load() const;
};

/** Takes a new attempt from an entry: queues it, or refuses it at once. On the link's strand. */
void acceptRun(SidecarContext &context, const wire::Run &run, const LinkPointer &link);

/** Starts all attempts for which a lane is free. */
void dispatchQueued(SidecarContext &context);

/** Cancels an attempt for its entry. */
void cancelAttempt(SidecarContext &context, const AttemptPointer &attempt);

/** Refuses an attempt that has not been started; also those attached to its key. */
void refuseWaiting(SidecarContext &context, const AttemptPointer &attempt, Refusal refusal);

} // namespace snipehill
