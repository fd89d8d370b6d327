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
    record.answer = client.call(call);
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

std::function<void(std::string_view)> atPiece(int piece, const std::function<void()> &action)
{
    const auto seen = std::make_shared<std::atomic<int>>(0);
    return [seen, piece, action](std::string_view) {
        if (++*seen == piece) {
            action();
        }
    };
}

std::vector<CallerRecord> sendUntilServed(const Endpoint &entry, const std::string &workspace, const Call &call, milliseconds bound)
{
    std::vector<CallerRecord> records;
    waitUntil(
        [&] {
            records.push_back(sendOnce(entry, workspace, call));
            return records.back().answer.whole && outcomeOf(records.back().answer) != "not_run";
        },
        bound);
    return records;
}

struct SteadyCallers::State
{
    std::atomic<bool> stopping{false};
    std::atomic<int> answered{0};
    std::mutex lock;
    std::vector<CallerRecord> records;
};

SteadyCallers::SteadyCallers(int callers, const Next &next) : m_state(std::make_shared<State>())
{
    for (int caller = 0; caller < callers; ++caller) {
        m_threads.emplace_back([state = m_state, caller, next] {
            std::map<std::string, Client> clients; // by entry
            for (int round = 0; !state->stopping; ++round) {
                Planned planned = next(caller, round);
                Client &client = clients.try_emplace(toString(planned.entry), planned.entry).first->second;
                CallerRecord record = send(client, planned.workspace, std::move(planned.call));
                if (record.answer.status != 200) {
                    letPass(milliseconds(20));
                }
                ++state->answered;
                const std::lock_guard lock(state->lock);
                state->records.push_back(std::move(record));
            }
        });
    }
}

SteadyCallers::~SteadyCallers()
{
    stop();
}

std::vector<CallerRecord> SteadyCallers::stop()
{
    m_state->stopping = true;
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    const std::lock_guard lock(m_state->lock);
    return m_state->records;
}

int SteadyCallers::answered() const
{
    return m_state->answered;
}

} // namespace snipehill::support
