#include "support/checkers.h"
#include "support/cluster.h"
#include "support/directcluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

ClusterOptions twoTargets()
{
    ClusterOptions options;
    options.entries = 0;
    options.targets = {{.kind = "engine"}, {.kind = "service", .group = "licences"}};
    return options;
}

Call chatCall(const std::string &content, int tokens)
{
    Call call;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.headers["X-Request-Id"] = "r-" + content;
    call.body = R"({"messages":[{"role":"user","content":")" + content + R"("}],"stream":true,"max_tokens":)" + std::to_string(tokens) + "}";
    return call;
}

} // namespace

TEST_CASE("Journals of stand-ins remain after the stand-in has crashed", "[support]")
{
    Cluster cluster(twoTargets());
    cluster.startStandIn(cluster.targets[0]);
    cluster.startStandIn(cluster.targets[1]);

    const Call call = chatCall("hello there", 5);
    CallerRecord caller{.call = call, .response = callOnce(cluster.targets[0].endpoint, call)};
    CHECK(responsesComplete({caller}) == noViolations);

    Call deadly{.method = "POST", .target = "/fees", .headers = {{"Idempotency-Key", "k"}}, .body = "DIE-AFTER"};
    CHECK_FALSE(callOnce(cluster.targets[1].endpoint, deadly).complete);
    CHECK(cluster.targets[1].process->waitForExit(defaultWaitTimeout) == 70);
    CHECK(eventsOf(cluster.journalOf(cluster.targets[1]), "run").size() == 1);

    Call crash = chatCall("CRASH-ME", 5);
    CHECK_FALSE(callOnce(cluster.targets[0].endpoint, crash).complete);
    CHECK(cluster.targets[0].process->waitForExit(defaultWaitTimeout) == 70);
    CHECK(eventsOf(cluster.targetJournal(), "received").size() == 3);
}

// The kernel stops a process only once one of its threads is scheduled, which takes time under load.
TEST_CASE("All threads of a process are stopped when pause() returns, also under load", "[support]")
{
    const auto allThreadsStopped = [](pid_t id) {
        std::size_t running = 0;
        for (const auto &thread : std::filesystem::directory_iterator("/proc/" + std::to_string(id) + "/task")) {
            std::ifstream file(thread.path() / "stat");
            std::string text;
            std::getline(file, text);
            running += text.substr(text.rfind(')') + 2, 1) == "T" ? 0 : 1;
        }
        return running == 0;
    };
    Cluster cluster(twoTargets());
    cluster.startStandIn(cluster.targets[0]);
    ChildProcess &process = *cluster.targets[0].process;
    std::atomic<bool> done{false};
    std::vector<std::thread> load;
    for (unsigned i = 0; i < 3 * std::thread::hardware_concurrency(); ++i) {
        load.emplace_back([&done] {
            while (!done) { }
        });
    }
    int stillRunning = 0;
    for (int i = 0; i < 50; ++i) {
        process.pause();
        stillRunning += allThreadsStopped(process.id()) ? 0 : 1;
        process.resume();
        sleepFor(milliseconds(2));
    }
    done = true;
    for (std::thread &thread : load) {
        thread.join();
    }
    CHECK(stillRunning == 0);
}

TEST_CASE("The relay closes, silences and refuses connections", "[support]")
{
    Cluster cluster(twoTargets());
    StandIn &engine = cluster.targets[0];
    cluster.startStandIn(engine);
    Relay relay(engine.endpoint);
    Client client(relay.endpoint());
    CHECK(client.call({.target = "/load"}).status == 200);
    CHECK(client.call({.target = "/load"}).status == 200);
    CHECK(client.connections() == 1);

    Call call = chatCall("long", 400);
    call.timeout = milliseconds(1500);
    int pieces = 0;
    const auto onPiece = [&pieces](int wanted, const std::function<void()> &action) {
        return [&pieces, wanted, action](std::string_view) {
            if (++pieces == wanted) {
                action();
            }
        };
    };
    call.onData = onPiece(5, [&relay] {
        relay.dropConnections();
    });
    const Response dropped = client.call(call);
    CHECK_FALSE(dropped.complete);
    CHECK(dropped.error.find("timeout") == std::string::npos);

    pieces = 0;
    call.onData = onPiece(5, [&relay] {
        relay.blackholeConnections();
    });
    const Response silent = client.call(call);
    CHECK_FALSE(silent.complete);
    CHECK(silent.ended - silent.sent >= call.timeout);
    CHECK(callOnce(relay.endpoint(), {.target = "/load"}).status == 200);

    relay.refuseConnections(true);
    CHECK_FALSE(callOnce(relay.endpoint(), {.target = "/load"}).complete);
}

TEST_CASE("The log stand-in loses responses and deletes old records", "[support]")
{
    Cluster cluster(twoTargets());
    cluster.startStandIn(cluster.log);
    CHECK(cluster.publish({workspaceRecord("a")}) == 0);
    CHECK(cluster.publish({workspaceRecord("a")}) == 1);
    CHECK(cluster.records("config")[1]["replaces"] == 0);
    cluster.setFaults(cluster.log, R"({"config.answerLost": 1})");
    CHECK_THROWS(cluster.publish({workspaceRecord("b")}));
    CHECK(cluster.records("config").size() == 3);
    callOnce(cluster.log.control, postJson("/retain", parseJson(R"({"stream":"config","from":2})").value()));
    CHECK(cluster.records("config").size() == 1);
    cluster.setFaults(cluster.log, R"({"outage": true})");
    CHECK_THROWS(cluster.publish({workspaceRecord("b")}));
}

// Guards against proofs of the store's return that pass because the stand-in forgets nothing, or carries nothing out late.
TEST_CASE("The store stand-in comes back from an older copy and carries out late appends", "[support]")
{
    const DirectTarget target{"p1", "plain", ""};
    DirectCluster cluster({target}, {.entries = 0, .ownProcesses = true});
    cluster.publish("{}");
    CHECK(cluster.endOfTopic("keyed.op") == 1);
    sleepFor(milliseconds(600));
    cluster.registerTarget(target, "draining");
    CHECK(cluster.endOfTopic("keyed.servers") == 2);
    cluster.bringBackCopy(milliseconds(300));
    CHECK(cluster.endOfTopic("keyed.op") == 1);
    CHECK(cluster.endOfTopic("keyed.servers") == 1);
    cluster.bringBackCopy({.age = milliseconds(5000), .away = milliseconds(100), .writtenAgainAfter = milliseconds(0)});
    CHECK(cluster.endOfTopic("keyed.op") == 1);
    CHECK(cluster.endOfTopic("keyed.servers") == 1);
    CHECK(eventsOf(cluster.journal(), "copy").back()["era"] == 3);

    // The append is under way while the store comes back, and lands in its next life.
    cluster.setFaults("store", R"({"keyed.servers.lateMs": 500})");
    const auto late = std::async(std::launch::async, [&] {
        cluster.registerTarget(target, "ready");
    });
    sleepFor(milliseconds(200));
    cluster.bringBackCopy(milliseconds(5000));
    CHECK(cluster.endOfTopic("keyed.servers") == 0);
    late.wait();
    CHECK(cluster.endOfTopic("keyed.servers") == 1);
    cluster.trimTopic("keyed.servers");
    CHECK(cluster.endOfTopic("keyed.servers") == 1);
}
