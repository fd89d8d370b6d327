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

/** State shared by all attempts of a sidecar. Created once by Sidecar; outlives all attempts. */
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
    std::atomic<bool> draining{false}; //!< the process is shutting down
    std::atomic<bool> orderInProgress{false}; //!< an order to the engine is in progress
    std::atomic<EngineRole> role{EngineRole::Mixed};
    std::function<std::int64_t(const std::string &workspace, const wire::Usage &usage)> recordUsage; //!< counts usage and returns its usage window

    bool accepting() const noexcept
    {
        return !draining && !orderInProgress && health.isUp();
    }
    /** Returns load, role and crash suspects, in the form sent with responses. */
    wire::Load load() const;
};

/** Accepts a new attempt from an entry: queues it, or refuses it at once. Called on the link's strand. */
void acceptRun(SidecarContext &context, const wire::Run &run, const LinkPointer &link);

/** Starts queued attempts while slots are free. */
void dispatchQueued(SidecarContext &context);

/** Cancels an attempt at its entry's request. Attempts that must run at most once are not cancelled. */
void cancelAttempt(SidecarContext &context, const AttemptPointer &attempt);

/** Refuses an attempt that has not started, and all attempts attached to its key. */
void refuseWaiting(SidecarContext &context, const AttemptPointer &attempt, Refusal refusal);

} // namespace snipehill
