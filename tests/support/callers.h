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

/** Chat completion with a prompt of its own. */
Call chatCall(const std::string &content, int tokens, bool stream = true);
Call lookupCall(const std::string &path);
Call postingCall(const std::string &path, const std::string &idempotencyKey, const std::string &body);

/** Sends a call with the usual key of the workspace ("bureau" or "kaspiy"); none for an empty one. */
CallerRecord send(Client &client, const std::string &workspace, Call call);
CallerRecord sendOnce(const Endpoint &entry, const std::string &workspace, Call call);
/** On a thread and a connection of its own. */
std::future<CallerRecord> sendInBackground(const Endpoint &entry, const std::string &workspace, const Call &call);

/** Runs an action once, when the caller has received this many pieces of an answer. */
std::function<void(std::string_view)> afterChunks(int count, const std::function<void()> &action);

/** Repeats a refusal that says not run, as a caller would, until the bound; the record of each attempt. */
std::vector<CallerRecord> sendUntilServed(const Endpoint &entry, const std::string &workspace, const Call &call, milliseconds timeout);

/**
 * Callers that each send one request after another until stopped, each with its connection kept.
 * Next makes the request of a caller's round.
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

    /** Lets the requests under way end; the records of all. */
    std::vector<CallerRecord> stop();
    int finishedCalls() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
    std::vector<std::thread> m_threads;
};

} // namespace snipehill::support
