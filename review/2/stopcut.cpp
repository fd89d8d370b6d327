#include "../harness.h"

#include <array>
#include <csignal>
#include <memory>
#include <mutex>
#include <thread>

// An entry gets SIGTERM. More than three seconds later, clients send streams over channels that they have kept. The engine is
// sound and on time; the streams take longer than the entry has left.

using namespace review;

namespace
{

constexpr milliseconds firstEvent{450}; // within goal_ms = 600
constexpr milliseconds betweenEvents{50}; // a step of some 10 ms and one piece of a prompt, 2,048 tokens at 50.7 a ms; gap_goal_ms = 200
constexpr int outputTokens = 80;
constexpr int shortTokens = 3; // of the streams before the signal
constexpr milliseconds timeLimit{8000}; // of clients and of the route
constexpr std::array<milliseconds, 4> sentAfterSignal{milliseconds(3300), milliseconds(3500), milliseconds(3700), milliseconds(3900)};
constexpr milliseconds readTimeout{15000};

/** What the engine did for each request, by id. */
struct EngineRuns
{
    std::mutex lock;
    std::map<std::string, int> events; //!< events sent; 0: it has the request
};

bool sendChunk(const Connection &connection, const std::string &data)
{
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return connection.send(size.data() + data + "\r\n");
}

void runEngine(Connection &connection, EngineRuns &runs, Record &record)
{
    while (const auto request = readRequest(connection)) {
        const std::string id = headerOf(request->head, "Attempt-Id");
        const std::string counts = headerOf(request->head, "Token-Counts");
        const int tokens = std::atoi(counts.c_str() + counts.find(',') + 1);
        {
            const std::lock_guard lock(runs.lock);
            runs.events[id] = 0;
        }
        record.line("engine: began " + id);
        std::this_thread::sleep_for(firstEvent);
        connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id
                        + "\r\nServer-Seal: s\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= tokens; ++event) {
            const std::string text = "id: " + std::to_string(event) + "\ndata: token\n\n";
            if (connection.isClosedByPeer() || !sendChunk(connection, text)) {
                record.line("engine: the caller of " + id + " closed after " + std::to_string(event - 1) + " of " + std::to_string(tokens) + " events");
                return;
            }
            {
                const std::lock_guard lock(runs.lock);
                runs.events[id] = event;
            }
            std::this_thread::sleep_for(betweenEvents);
        }
        connection.send("0\r\n\r\n");
        record.line("engine: finished " + id);
    }
}

std::string streamRequest(const std::string &id, int tokens)
{
    return "POST /review/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(timeLimit.count())
        + "\r\nX-Api-Key: key-1\r\nModel: m\r\nToken-Counts: 1460," + std::to_string(tokens)
        + "\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nContent-Length: 6\r\n\r\nprompt";
}

/** One stream over a kept channel. */
struct Stream
{
    std::string id;
    std::unique_ptr<Connection> channel;
    Answer answer{};
    milliseconds took{};
};

} // namespace

int main(int, char **argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    const bool trouble = hasTrouble();
    EngineRuns runs;
    Store store;
    Listener engine([&](Connection &connection) {
        runEngine(connection, runs, record);
    });
    store.put("keyed.op", "config", configuration());
    store.put("keyed.servers", "i-llm", serverEntry("llm", engine.address(), "decode"));
    TemporaryFolder folder;
    Entry entry({"entry-1", ownAddress(1), store.address()}, folder.path());
    Entry other({"entry-2", ownAddress(2), store.address()}, folder.path());
    entry.start();
    other.start();
    if (!entry.waitUntilReady(milliseconds(15000)) || !other.waitUntilReady(milliseconds(15000))) {
        record.line("an entry did not become ready");
        return 2;
    }
    std::array<Stream, sentAfterSignal.size()> streams;
    for (std::size_t i = 0; i < streams.size(); ++i) {
        streams[i].id = "late-" + std::to_string(sentAfterSignal[i].count());
        streams[i].channel = std::make_unique<Connection>(connectTo(entry.front()));
        streams[i].channel->limitReads(readTimeout);
        streams[i].channel->send(streamRequest("before-" + std::to_string(i), shortTokens));
        if (!readAnswer(*streams[i].channel).complete) {
            record.line("a stream before the signal was not served");
            return 2;
        }
    }
    const auto signalled = Clock::now();
    if (trouble) {
        entry.signal(SIGTERM);
        record.line("platform: SIGTERM to entry-1, grace_s = 8");
    }
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < streams.size(); ++i) {
        clients.emplace_back([&, i] {
            Stream &stream = streams[i];
            std::this_thread::sleep_until(signalled + sentAfterSignal[i]);
            const auto sent = Clock::now();
            const bool crossed = stream.channel->isClosedByPeer() || !stream.channel->send(streamRequest(stream.id, outputTokens));
            record.line("client: " + (crossed ? "found the channel closed for " + stream.id : "sent " + stream.id));
            if (!crossed) {
                stream.answer = readAnswer(*stream.channel);
            }
            stream.took = std::chrono::duration_cast<milliseconds>(Clock::now() - sent);
            record.line("client: " + stream.id + " status " + std::to_string(stream.answer.status) + (stream.answer.complete ? ", complete" : ", NOT complete")
                        + " after " + std::to_string(stream.took.count()) + " ms");
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    int lost = 0;
    for (const Stream &stream : streams) {
        const std::lock_guard lock(runs.lock);
        const auto run = runs.events.find(stream.id);
        // Passed on, no complete answer, before the time limit of the client and of the route, and not broken off by the engine.
        if (run != runs.events.end() && !stream.answer.complete && stream.took < timeLimit) {
            ++lost;
            record.line("lost: " + stream.id + ", " + std::to_string(run->second) + " of " + std::to_string(outputTokens) + " events made");
        }
    }
    record.line(lost > 0 ? "BROKEN: LOST, " + std::to_string(lost) + " of " + std::to_string(streams.size()) + " streams" : std::string("held"));
    return lost > 0 ? 1 : 0;
}
