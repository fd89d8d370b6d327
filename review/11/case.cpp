// An engine in trouble answers some requests with bytes without end. The entry has to end these streams at the time limit of their route.

#include "../fleet.h"

#include <csignal>
#include <fstream>

using namespace stage;

namespace
{

// quick-ask on the sheet of tnlb-renew; the second version halves its time limit.
constexpr int perSecond = 183;
constexpr std::int64_t trafficMs = 5000; // garble: for_s 5
constexpr int spoilEach = 34; // garble: x .03 of the answers
constexpr int requests = static_cast<int>(perSecond * trafficMs / 1000);
constexpr int workers = 64;
constexpr std::int64_t timeoutMs = 2000; // of the route
constexpr std::int64_t deadlineMs = 4000; // of the clients, who read until then
constexpr std::int64_t slackMs = 500; // after timeout_ms, by the rule
constexpr int minLate = 8; // by the rule, and over a quarter of those that last longer than timeout_ms
constexpr std::int64_t watchMs = trafficMs + deadlineMs + 1000;
constexpr std::int64_t configMs = 2000;
constexpr std::int64_t contactMs = 3000;
constexpr long memoryMb = 260; // of an edge machine on the sheet
constexpr std::int64_t readPauseMs = 20; // clients take up to 64 KB each time, 3 MB/s
constexpr std::size_t blockBytes = 60000;
constexpr int sharedParts = 20;
constexpr int events = 8;
constexpr std::int64_t eventMs = 20;

std::atomic<int> answers{0}; // of the engine in trouble
std::atomic<int> spoiled{0};
std::atomic<std::size_t> endlessBytes{0};

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
        if (!trouble || ++answers % spoilEach != 0) {
            for (int event = 1; event <= events; ++event) {
                sleepMs(eventMs);
                sendChunk("id: " + std::to_string(event) + "\ndata: x\n\n");
            }
            channel.sendAll("0\r\n\r\n");
            continue;
        }
        ++spoiled;
        std::string block;
        while (block.size() < blockBytes) {
            block += "x\n\n";
        }
        while (sendChunk(block)) {
            endlessBytes += block.size();
        }
        return;
    }
}

std::string configJson(int version, std::int64_t timeout)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"ask","host":"a.example","path_prefix":"/ask/","kind":"streaming","service":"engines","timeout_ms":)" + std::to_string(timeout)
        + R"(,"goal_ms":250,"gap_goal_ms":200,"max_attempts":2}],)"
          R"("services":[{"name":"engines","engine":{"slots":64,"kv_tokens":400000,"token_kv_bytes":327680,"link_mbps":2700000.0}}]})";
}

Ask quickAsk(int i)
{
    Ask ask{.path = "/ask/x", .id = "a" + std::to_string(i), .deadlineMs = deadlineMs};
    ask.headers = "Model: m\r\nToken-Counts: 383,8\r\nPrompt-Prefix: a" + std::to_string(i % sharedParts) + ":92,b" + std::to_string(i) + ":291\r\n";
    ask.body = "hello";
    ask.waitMs = deadlineMs;
    ask.pauseMs = readPauseMs;
    return ask;
}

} // namespace

int main(int argc, char **argv)
{
    Fleet fleet(argc, argv);
    const Listener sound("127.0.0.1", 0, [](Channel channel) {
        serveEngine(std::move(channel), false);
    });
    const Listener faulty("127.0.0.1", 0, [&fleet](Channel channel) {
        serveEngine(std::move(channel), fleet.trouble());
    });
    fleet.publishConfig(configJson(1, deadlineMs));
    fleet.publishServer("i-1", serverJson("engines", sound.port(), "colocated", 1700000000000));
    fleet.publishServer("i-2", serverJson("engines", faulty.port(), "colocated", 1700000000001));
    const std::size_t entry = fleet.addEntry("edge-1", memoryMb);
    if (!fleet.waitAllReady(10000)) {
        fleet.finish(2, "the entry did not become ready");
    }
    fleet.publishConfig(configJson(2, timeoutMs));
    sleepMs(configMs + contactMs); // the version is in force, and the machine is in touch
    const std::int64_t begin = nowMs();
    std::vector<Outcome> outcomes(requests);
    std::atomic<int> next{0};
    std::vector<std::thread> clients;
    clients.reserve(workers);
    for (int worker = 0; worker < workers; ++worker) {
        clients.emplace_back([&fleet, &outcomes, &next, entry, begin] {
            for (int i = next++; i < requests && nowMs() < begin + trafficMs; i = next++) {
                sleepMs(std::max<std::int64_t>(0, begin + i * 1000 / perSecond - nowMs()));
                outcomes[static_cast<std::size_t>(i)] = askEntry(fleet.options(entry), quickAsk(i));
            }
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
    int sent = 0;
    int longer = 0; // than timeout_ms
    int late = 0;
    int served = 0;
    for (int i = 0; i < requests; ++i) {
        const Outcome &outcome = outcomes[static_cast<std::size_t>(i)];
        if (outcome.sentAt == 0) {
            continue;
        }
        const std::int64_t took = outcome.endedAt < 0 ? deadlineMs : outcome.endedAt - outcome.sentAt;
        ++sent;
        longer += took > timeoutMs ? 1 : 0;
        late += took > timeoutMs + slackMs ? 1 : 0;
        served += outcome.status == 200 && outcome.complete ? 1 : 0;
        fleet.record().line("request a" + std::to_string(i) + " sent " + std::to_string(outcome.sentAt) + " first byte " + std::to_string(outcome.firstAt)
                            + " ended " + std::to_string(outcome.endedAt) + " status " + std::to_string(outcome.status) + " complete "
                            + std::to_string(outcome.complete) + " bytes " + std::to_string(outcome.bytes)
                            + (took > timeoutMs + slackMs ? " past timeout_ms + 0.5 s" : ""));
    }
    const std::string figures = std::to_string(sent) + " sent, " + std::to_string(served) + " served whole; the faulty engine answered "
        + std::to_string(answers) + ", " + std::to_string(spoiled) + " of these without end (" + std::to_string(endlessBytes / 1000000) + " MB); "
        + std::to_string(longer) + " lasted longer than timeout_ms, " + std::to_string(late) + " had no end 0.5 s after it; most memory " + std::to_string(most)
        + " KB" + (killedAt < 0 ? "" : ", process ended for its memory");
    if (late >= minLate && 4 * late > longer) {
        fleet.finish(1, figures);
    }
    fleet.finish(fleet.trouble() || (sent == requests && served == sent && killedAt < 0) ? 0 : 2, figures);
}
