#pragma once

#include "checkers.h"
#include "client.h"

#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace snipehill::support
{

/** Request for a chat completion of the given number of output tokens. */
Call chatCall(const std::string &content, int tokens, bool stream = true);
/** Idempotent GET of a service path. */
Call lookupCall(const std::string &path);
/** POST to a service; without an Idempotency-Key header where the key is empty. */
Call postingCall(const std::string &path, const std::string &idempotencyKey, const std::string &body);

/** Sends a call with the default API key of the workspace ("bureau" or "kaspiy"); without a key for an empty workspace. */
CallerRecord send(Client &client, const std::string &workspace, Call call);
/** Like send(), on a new connection. */
CallerRecord sendOnce(const Endpoint &entry, const std::string &workspace, Call call);
/** Like sendOnce(), on a new thread. */
std::future<CallerRecord> sendInBackground(const Endpoint &entry, const std::string &workspace, const Call &call);

/** Body callback that runs an action once, when the given number of chunks has arrived. */
std::function<void(std::string_view)> afterChunks(int count, const std::function<void()> &action);

/** Resends the call while it is refused as not run, as a caller would, until the timeout. Returns the record of each attempt. */
std::vector<CallerRecord> sendUntilServed(const Endpoint &entry, const std::string &workspace, const Call &call, milliseconds timeout);

/**
 * Closed-loop load: each caller runs on a thread of its own and sends its next request when the previous one has finished,
 * over persistent connections, until stop(). Next returns the request that a caller sends in a round.
 */
class ClosedLoopCallers
{
public:
    struct PlannedCall
    {
        Endpoint entry;
        std::string workspace;
        Call call;
    };
    using Next = std::function<PlannedCall(int caller, int round)>;

    ClosedLoopCallers(int callers, const Next &next);
    ~ClosedLoopCallers();
    ClosedLoopCallers(const ClosedLoopCallers &) = delete;
    ClosedLoopCallers &operator=(const ClosedLoopCallers &) = delete;

    /** Waits for the requests in flight and returns the records of all requests. */
    std::vector<CallerRecord> stop();
    /** Requests finished so far, failed ones included. */
    int finishedCalls() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
    std::vector<std::thread> m_threads;
};

} // namespace snipehill::support
