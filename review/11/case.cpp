// An engine in trouble answers with events without end. The entry has to end these streams at the time limit of their route.

#include "../stage-3/fleet.h"

#include <csignal>
#include <fstream>

using namespace stage;

namespace
{

constexpr int streams = 12;
constexpr std::int64_t timeoutMs = 3000; // of the route
constexpr std::int64_t deadlineMs = 8000; // of the clients, who read until then
constexpr std::int64_t slackMs = 500; // after it, by the rule
constexpr std::int64_t watchMs = 9000;
constexpr long memoryMb = 260; // of an edge machine on the sheet of tnlb-renew
constexpr std::int64_t readPauseMs = 20; // clients take up to 64 KB each time, 3 MB/s
constexpr std::size_t blockBytes = 60000;

long residentMemoryOf(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string word; status >> word;) {
        if (word == "VmRSS:") {
            long kilobytes = 0;
            status >> kilobytes;
            return kilobytes;
        }
    }
    return 0;
}

void serveEngine(Channel channel, bool trouble)
{
    while (true) {
        const Message request = readMessage(channel, true, 60000);
        if (!request.valid) {
            return;
        }
        channel.sendAll("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("Attempt-Id")
                        + "\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        const auto sendChunk = [&channel](const std::string &bytes) {
            std::array<char, 24> size{};
            std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
            return channel.sendAll(size.data() + bytes + "\r\n");
        };
        if (!trouble) {
            for (int event = 1; event <= 8; ++event) {
                sleepMs(20);
                sendChunk("id: " + std::to_string(event) + "\ndata: x\n\n");
            }
            channel.sendAll("0\r\n\r\n");
            continue;
        }
        std::string block;
        while (block.size() < blockBytes) {
            block += "data: x\n\n";
        }
        while (sendChunk(block)) { }
        return;
    }
}

} // namespace

int main(int argc, char **argv)
{
    Fleet fleet(argc, argv);
    const Listener engine("127.0.0.1", 0, [&fleet](Channel channel) {
        serveEngine(std::move(channel), fleet.trouble());
    });
    fleet.publishConfig(R"({"version":1,"routes":[{"name":"ask","host":"a.example","path_prefix":"/ask/","kind":"streaming","service":"engines",)"
                        R"("timeout_ms":3000,"goal_ms":300,"gap_goal_ms":200,"max_attempts":1,"session_affinity":true}],)"
                        R"("services":[{"name":"engines","engine":{"slots":64,"kv_tokens":400000,"token_kv_bytes":327680,"link_mbps":2700000.0}}]})");
    fleet.publishServer("i-1", serverJson("engines", engine.port(), "colocated", 1700000000000));
    const std::size_t entry = fleet.addEntry("edge-1", memoryMb);
    if (!fleet.waitAllReady(10000)) {
        fleet.finish(2, "the entry did not become ready");
    }
    sleepMs(4000); // longer than contact_ms: the machine is in touch
    const std::int64_t begin = nowMs();
    std::vector<Outcome> outcomes(streams);
    std::vector<std::thread> clients;
    clients.reserve(streams);
    for (int i = 0; i < streams; ++i) {
        clients.emplace_back([&fleet, &outcomes, entry, i] {
            Ask ask{.path = "/ask/x", .id = "a" + std::to_string(i), .deadlineMs = deadlineMs};
            ask.headers = "Model: m\r\nToken-Counts: 100,8\r\nPrompt-Prefix: a1:60,b" + std::to_string(i) + ":40\r\n";
            ask.body = "hello";
            ask.waitMs = deadlineMs;
            ask.pauseMs = readPauseMs;
            outcomes[static_cast<std::size_t>(i)] = askEntry(fleet.options(entry), ask);
        });
    }
    // The platform ends a process that exceeds its memory.
    std::int64_t killedAt = -1;
    long most = 0;
    while (nowMs() < begin + watchMs) {
        const long kilobytes = residentMemoryOf(fleet.process(entry));
        most = std::max(most, kilobytes);
        if (killedAt < 0 && kilobytes > memoryMb * 1024) {
            killedAt = nowMs();
            fleet.record().line("memory_mb exceeded: " + std::to_string(kilobytes) + " KB; the platform ends the process");
            Processes::signal(fleet.process(entry), SIGKILL);
        }
        sleepMs(20);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    int late = 0;
    int served = 0;
    for (int i = 0; i < streams; ++i) {
        const Outcome &outcome = outcomes[static_cast<std::size_t>(i)];
        const bool endless = outcome.endedAt < 0 || outcome.endedAt - outcome.sentAt > timeoutMs + slackMs;
        late += endless ? 1 : 0;
        served += outcome.status == 200 && outcome.complete ? 1 : 0;
        fleet.record().line("request a" + std::to_string(i) + " sent " + std::to_string(outcome.sentAt) + " first byte " + std::to_string(outcome.firstAt)
                            + " ended " + std::to_string(outcome.endedAt) + " status " + std::to_string(outcome.status) + " complete "
                            + std::to_string(outcome.complete) + " bytes " + std::to_string(outcome.bytes) + (endless ? " past timeout_ms + 0.5 s" : ""));
    }
    fleet.record().line("most memory " + std::to_string(most) + " KB");
    const std::string figures = std::to_string(late) + " of " + std::to_string(streams) + " streams have no end 0.5 s after timeout_ms, most memory "
        + std::to_string(most) + " KB" + (killedAt < 0 ? "" : ", process ended for its memory");
    if (late >= 8 && 4 * late > streams) {
        fleet.finish(1, figures);
    }
    fleet.finish(fleet.trouble() || (served == streams && killedAt < 0) ? 0 : 2, figures + ", " + std::to_string(served) + " served whole");
}
