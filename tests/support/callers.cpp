#include "callers.h"

#include "cluster.h"
#include "wait.h"

#include <atomic>
#include <map>
#include <mutex>

namespace snipehill::support
{

Call chatCall(const std::string &content, int tokens, bool stream)
{
    Json::Value body;
    body["model"] = "assistant";
    body["messages"][0]["role"] = "user";
    body["messages"][0]["content"] = content;
    body["max_tokens"] = tokens;
    body["stream"] = stream;
    return postJson("/v1/chat/completions", body);
}

Call lookupCall(const std::string &path)
{
    return {.target = path};
}

Call postingCall(const std::string &path, const std::string &idempotencyKey, const std::string &body)
{
    Call call{.method = "POST", .target = path, .body = body};
    if (!idempotencyKey.empty()) {
        call.headers["Idempotency-Key"] = idempotencyKey;
    }
    return call;
}

CallerRecord send(Client &client, const std::string &workspace, Call call)
{
    if (!workspace.empty() && !call.headers.contains("Authorization")) {
        std::string &credential = call.headers["Authorization"];
        credential = "Bearer ";
        credential += workspace == "bureau" ? bureauSecret : kaspiySecret;
    }
    CallerRecord record;
    record.workspace = workspace;
    record.response = client.call(call);
    record.call = std::move(call);
    return record;
}

CallerRecord sendOnce(const Endpoint &entry, const std::string &workspace, Call call)
{
    Client client(entry);
    return send(client, workspace, std::move(call));
}

std::future<CallerRecord> sendInBackground(const Endpoint &entry, const std::string &workspace, const Call &call)
{
    return std::async(std::launch::async, [entry, workspace, call] {
        return sendOnce(entry, workspace, call);
    });
}

std::function<void(std::string_view)> afterChunks(int count, const std::function<void()> &action)
{
    const auto received = std::make_shared<std::atomic<int>>(0);
    return [received, count, action](std::string_view) {
        if (++*received == count) {
            action();
        }
    };
}

std::vector<CallerRecord> sendUntilServed(const Endpoint &entry, const std::string &workspace, const Call &call, milliseconds timeout)
{
    std::vector<CallerRecord> records;
    waitUntil(
        [&] {
            records.push_back(sendOnce(entry, workspace, call));
            return records.back().response.complete && outcomeOf(records.back().response) != "not_run";
        },
        timeout);
    return records;
}

struct ClosedLoopCallers::State
{
    std::atomic<bool> stopping{false};
    std::atomic<int> finishedCalls{0};
    std::mutex lock;
    std::vector<CallerRecord> records;
};

ClosedLoopCallers::ClosedLoopCallers(int callers, const Next &next) : m_state(std::make_shared<State>())
{
    for (int caller = 0; caller < callers; ++caller) {
        m_threads.emplace_back([state = m_state, caller, next] {
            std::map<std::string, Client> clients; // by entry
            for (int round = 0; !state->stopping; ++round) {
                PlannedCall planned = next(caller, round);
                Client &client = clients.try_emplace(toString(planned.entry), planned.entry).first->second;
                CallerRecord record = send(client, planned.workspace, std::move(planned.call));
                record.entry = toString(planned.entry);
                if (record.response.status != 200) {
                    sleepFor(milliseconds(20));
                }
                ++state->finishedCalls;
                const std::lock_guard lock(state->lock);
                state->records.push_back(std::move(record));
            }
        });
    }
}

ClosedLoopCallers::~ClosedLoopCallers()
{
    stop();
}

std::vector<CallerRecord> ClosedLoopCallers::stop()
{
    m_state->stopping = true;
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    const std::lock_guard lock(m_state->lock);
    return m_state->records;
}

int ClosedLoopCallers::finishedCalls() const
{
    return m_state->finishedCalls;
}

} // namespace snipehill::support
