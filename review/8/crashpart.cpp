// A part of prompts crashes each server that begins to write an answer on it. After it has crashed five, all entries are killed at the same moment.
// Checks how many requests with that part reach servers later.
#include "../rig.h"

#include <algorithm>
#include <random>

namespace
{

constexpr int entryCount = 4;
constexpr int engines = 10;
constexpr int soundClients = 6;
constexpr int pieces = 5;
constexpr double pieceGap = 0.03;
constexpr double crashAfter = 0.02; // from the head of the answer
constexpr double downTime = 3;
constexpr double contactTime = 4; // contact_ms
constexpr int crashesAllowed = 5;
constexpr int laterAllowed = 3;
constexpr double restartDelay = 1;
constexpr double badInterval = 1;
constexpr double badSpread = 0.03; // between the requests at two entries
constexpr double laterInterval = 6; // after the fifth crash
constexpr int laterRounds = 6;
constexpr int killRound = 1; // counted from 0 after the fifth crash
constexpr double killAfter = 0.2; // from the requests of that round

const char *const configuration = R"({"version":1,"routes":[
{"name":"ask","host":"a.example","path_prefix":"/ask/","kind":"streaming","service":"llm","timeout_ms":4000,"goal_ms":250,"gap_goal_ms":150,"max_attempts":2,"resumable":true,"session_affinity":true}],
"services":[{"name":"llm","max_conns":180,"engine":{"slots":16,"kv_tokens":374771,"token_kv_bytes":327680,"link_mbps":1600000.0,"handle_ttl_s":5.0}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"bureau","api_keys":["key-1"]}]})";

struct Case
{
    explicit Case(rig::Record &ownRecord) : record(ownRecord) { }

    void run(rig::Server &server, const rig::ChannelPointer &channel, const rig::Message &request, const rig::Fields &fields)
    {
        const std::string id = request.field("Attempt-Id");
        record.line(rig::seconds(rig::now()) + " run " + id + " at " + server.id);
        const bool bad = request.field("Prompt-Prefix").find(",bad:") != std::string::npos;
        if (!bad) {
            rig::writeEvents(loop, channel, request, fields, {.events = pieces, .gap = pieceGap, .first = pieceGap, .padding = {}}, [] {});
            return;
        }
        arrivals.push_back(rig::now());
        rig::writeEvents(loop, channel, request, fields, {.events = pieces, .gap = 1, .first = 1, .padding = {}}, [] {});
        loop.after(crashAfter, [this, &server] {
            if (server.isUp) {
                server.crash(downTime);
                crashes.push_back(rig::now());
                record.note(rig::seconds(rig::now()) + " crash of " + server.id);
            }
        });
    }

    void send(rig::Client &client, const std::string &id, const std::string &second, rig::Client::Done done)
    {
        rig::Fields fields = rig::clientFields(id, 4000);
        fields.emplace_back("Model", "m");
        fields.emplace_back("Token-Counts", "300,20");
        fields.emplace_back("Prompt-Prefix", "rules:100," + second + ":100," + std::to_string(requests) + ":100");
        client.send("POST", "/ask/x", fields, "question " + id, 6, std::move(done));
    }

    void ask(std::size_t client)
    {
        send(*sound[client], "sound-" + std::to_string(++requests), "topic", [this, client](const rig::Answer &answer) {
            record.line(rig::seconds(answer.ended) + " answer " + answer.id + " status " + std::to_string(answer.status)
                        + (answer.complete ? " whole" : " not whole"));
            loop.after(0.1, [this, client] {
                ask(client);
            });
        });
    }

    /** One request with the part at each entry, shortly after one another. */
    void askBad()
    {
        for (std::size_t entry = 0; entry < entries.size(); ++entry) {
            loop.after(badSpread * static_cast<double>(entry), [this, entry] {
                bad.push_back(std::make_unique<rig::Client>(loop, entries[entry]->address(), entries[entry]->port()));
                send(*bad.back(), "bad-" + std::to_string(++requests), "bad", [this](const rig::Answer &answer) {
                    record.note(rig::seconds(answer.ended) + " answer " + answer.id + " status " + std::to_string(answer.status)
                                + (answer.complete ? " whole" : " not whole"));
                });
            });
        }
    }

    /** Kills all entries at the same moment and starts them again. */
    bool restartAll()
    {
        for (const auto &entry : entries) {
            entry->kill();
        }
        record.note(rig::seconds(rig::now()) + " all entries are killed");
        loop.run(restartDelay);
        for (const auto &entry : entries) {
            entry->start();
        }
        return rig::waitUntilReady(loop, entries);
    }

    int runCase(const std::string &folder)
    {
        for (int i = 0; i < engines; ++i) {
            servers.push_back(std::make_unique<rig::Server>(
                loop, store, "i-engine-" + std::to_string(i), "llm", "decode", 16, [this](auto &server, const auto &channel, const auto &request, auto fields) {
                    run(server, channel, request, fields);
                }));
        }
        store.put("keyed.op", "config", configuration);
        for (int i = 0; i < entryCount; ++i) {
            entries.push_back(
                std::make_unique<rig::Entry>(folder, i, store.port(), rig::Bounds{.contactMs = 4000, .drainMs = 3000, .configMs = 3000, .memoryMb = 260}));
            entries.back()->start();
        }
        if (!rig::waitUntilReady(loop, entries)) {
            std::printf("the entries are not ready\n");
            return 2;
        }
        loop.run(4);
        for (std::size_t i = 0; i < soundClients; ++i) {
            const rig::Entry &entry = *entries[i % entries.size()];
            sound.push_back(std::make_unique<rig::Client>(loop, entry.address(), entry.port()));
            ask(i);
        }
        loop.run(2);
        const double firstUntil = rig::now() + 70;
        while (crashes.size() < crashesAllowed && rig::now() < firstUntil) {
            askBad();
            loop.run(badInterval);
        }
        if (crashes.size() < crashesAllowed) {
            record.note("stopped before five crashes: " + std::to_string(crashes.size()));
            return 0;
        }
        const double fifth = crashes[crashesAllowed - 1];
        // A machine is in touch once its processes have run for contact_ms.
        double inTouch = fifth + contactTime;
        for (int round = 0; round < laterRounds; ++round) {
            askBad();
            const double next = rig::now() + laterInterval;
            loop.run(killAfter);
            if (round == killRound && rig::hasTrouble()) {
                if (!restartAll()) {
                    return 2;
                }
                for (const auto &entry : entries) {
                    inTouch = std::max(inTouch, entry->startedAt() + contactTime);
                }
            }
            loop.run(next - rig::now());
        }
        const auto later = std::count_if(arrivals.begin(), arrivals.end(), [inTouch](double time) {
            return time > inTouch;
        });
        record.note("fifth crash at " + rig::seconds(fifth) + "; requests with the part that reached servers after " + rig::seconds(inTouch)
                    + ", when all entries are in touch: " + std::to_string(later) + ", allowed " + std::to_string(laterAllowed));
        return later > laterAllowed ? 1 : 0;
    }

    rig::Record &record;
    rig::Loop loop;
    rig::Store store{loop};
    std::vector<std::unique_ptr<rig::Server>> servers;
    std::vector<std::unique_ptr<rig::Entry>> entries;
    std::vector<std::unique_ptr<rig::Client>> sound;
    std::vector<std::unique_ptr<rig::Client>> bad;
    std::vector<double> arrivals; //!< of requests with the part at servers
    std::vector<double> crashes;
    int requests = 0;
};

} // namespace

int main(int, char **arguments)
{
    rig::Record record(arguments[1]);
    const rig::TemporaryFolder folder;
    Case reviewCase(record);
    return reviewCase.runCase(folder.path());
}
