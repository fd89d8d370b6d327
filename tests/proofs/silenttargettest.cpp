#include "support/directcluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <future>
#include <string>
#include <utility>
#include <vector>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

const std::string completeStream = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\nid: 5\ndata: token 5\n\n";

/** Starts one entry in front of the targets and waits until it is ready. */
void makeReady(DirectCluster &host)
{
    host.publish(defaultConfiguration(1));
    const bool ready = host.waitUntilReady(0);
    INFO(host.logOf(0));
    REQUIRE(ready);
}

Call callFor(const std::string &path, const std::string &id)
{
    if (path == "/read/x") {
        return directCall("GET", path, id);
    }
    return path == "/post/x" ? directCall("POST", path, id, "fee") : promptCall(path, id, 100);
}

} // namespace

// Guards against answers that are given up because their target is silent for a while, with nowhere else to go.
TEST_CASE("An answer is not given up because its sound target falls silent", "[direct][silence]")
{
    struct Case
    {
        const char *what;
        const char *path;
        const char *silence;
    };
    const std::vector<Case> cases{
        {"resumable stream, midway", "/ask/x", R"({"silences": 1, "silentAfter": 2, "silentMs": 2000})"},
        {"resumable stream, before its head", "/ask/x", R"({"silences": 1, "silentMs": 2000})"},
        {"stream that runs once, midway", "/review/x", R"({"silences": 1, "silentAfter": 2, "silentMs": 2000})"},
        {"stream that runs once, before its head", "/review/x", R"({"silences": 1, "silentMs": 2000})"},
        {"lookup", "/read/x", R"({"silences": 1, "silentMs": 2000})"},
        {"posting", "/post/x", R"({"silences": 1, "silentMs": 2000})"},
    };
    DirectCluster host({{"p1", "plain", ""}, {"e1", "engines", "decode"}}, 1);
    makeReady(host);
    int number = 0;
    for (const Case &c : cases) {
        INFO(c.what);
        for (const char *target : {"p1", "e1"}) {
            host.setFaults(target, c.silence);
        }
        const std::string id = "r" + std::to_string(++number);
        const Response response = host.call(0, callFor(c.path, id));
        CHECK(response.status == 200);
        CHECK(response.complete);
        CHECK(response.body.find(id + " at p1") + response.body.find("token 5") != 2 * std::string::npos);
        for (const char *target : {"p1", "e1"}) {
            host.setFaults(target, R"({"silences": null, "silentAfter": null})");
        }
    }
}

// Guards against streams that are cut in a burst when a pause of their targets meets a change of the configuration.
TEST_CASE("A pause of all engines beside a new configuration cuts no stream", "[direct][silence]")
{
    constexpr int streams = 16;
    DirectCluster host({{"e1", "engines", "decode"}, {"e2", "engines", "decode"}}, 1);
    makeReady(host);
    for (const char *engine : {"e1", "e2"}) {
        host.setFaults(engine, R"({"silences": 100, "silentAfter": 2, "silentMs": 1600})");
    }
    std::vector<std::future<Response>> responses;
    responses.reserve(streams);
    for (int i = 0; i < streams; ++i) {
        responses.push_back(std::async(std::launch::async, [&host, i] {
            return host.call(0, promptCall("/ask/x", "s" + std::to_string(i), 100));
        }));
    }
    host.publish(defaultConfiguration(2));
    for (auto &pending : responses) {
        const Response response = pending.get();
        CHECK(response.status == 200);
        CHECK(response.body == completeStream);
    }
    CHECK(host.logOf(0).find("stream cut") == std::string::npos);
}

// Guards against waiting for a dead target: silence must still move a stream that another engine can finish.
TEST_CASE("A resumable stream whose target stays silent continues at another one in time", "[direct][silence]")
{
    constexpr milliseconds callerPatience{2000}; // callers of the platform leave after a gap of two seconds
    DirectCluster host({{"e1", "engines", "decode"}, {"e2", "engines", "decode"}}, 1);
    makeReady(host);
    host.registerTarget({"e2", "engines", "decode"}, "draining");
    host.setFaults("e1", R"({"silences": 1, "silentAfter": 2, "silentMs": 20000})");
    sleepFor(milliseconds(1000)); // longer than two reads of the target entries
    auto pending = std::async(std::launch::async, [&host] {
        return host.call(0, promptCall("/ask/x", "s1", 100));
    });
    CHECK(waitUntil([&host] {
        return host.events("e1", "run").size() == 1;
    }));
    host.registerTarget({"e2", "engines", "decode"}, "ready");
    const Response response = pending.get();
    CHECK(response.body == completeStream);
    CHECK(response.ended - response.sent < callerPatience);
    CHECK(host.events("e2", "run").size() == 1);
}

// Guards against taking a caller that reads slowly for a silent target: the run is not repeated elsewhere.
TEST_CASE("A slow caller does not make its target look silent", "[direct][silence]")
{
    DirectCluster host({{"e1", "engines", "decode"}, {"e2", "engines", "decode"}}, 1);
    makeReady(host);
    for (const char *engine : {"e1", "e2"}) {
        host.setFaults(engine, R"({"eventBytes": 1500000})");
    }
    Call call = promptCall("/ask/x", "s1", 100);
    bool paused = false;
    call.onData = [&paused](std::string_view) {
        if (!std::exchange(paused, true)) {
            sleepFor(milliseconds(2500)); // longer than the silence after which another engine is tried
        }
    };
    const Response response = host.call(0, call);
    CHECK(response.complete);
    CHECK(host.events("e1", "run").size() + host.events("e2", "run").size() == 1);
}
