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

Call callWithDeadline(const std::string &path, const std::string &id, int deadlineMs)
{
    Call call = callFor(path, id);
    call.headers["Deadline-Ms"] = std::to_string(deadlineMs);
    return call;
}

void setFaultsOfAll(DirectCluster &host, const std::vector<const char *> &targets, const std::string &faults)
{
    for (const char *target : targets) {
        host.setFaults(target, faults);
    }
}

const char *const noFaults = R"({"silences": null, "silentAfter": null, "eventMs": null, "cutAfter": null})";

} // namespace

// Guards against answers that are given up because their target is silent for a while, with nowhere else to go.
TEST_CASE("An answer is not given up because its sound target falls silent", "[direct][silence]")
{
    struct Case
    {
        const char *what;
        const char *path;
        const char *silence;
        bool stream = true;
    };
    const std::vector<Case> cases{
        {"resumable stream, midway", "/ask/x", R"({"silences": 1, "silentAfter": 2, "silentMs": 2000})"},
        {"resumable stream, before its head", "/ask/x", R"({"silences": 1, "silentMs": 2000})"},
        {"stream that runs once, midway", "/review/x", R"({"silences": 1, "silentAfter": 2, "silentMs": 2000})"},
        {"stream that runs once, before its head", "/review/x", R"({"silences": 1, "silentMs": 2000})"},
        {"lookup", "/read/x", R"({"silences": 1, "silentMs": 2000})", false},
        {"posting", "/post/x", R"({"silences": 1, "silentMs": 2000})", false},
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
        CHECK(response.body == (c.stream ? completeStream : "ran " + id + " at p1"));
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

// Guards against marking a sound target as failed because the caller's deadline ended its work.
TEST_CASE("A deadline of the caller is a failure of the target only if the target was silent for long", "[direct][silence]")
{
    struct Case
    {
        const char *what;
        const char *path;
        const char *faults;
        int deadlineMs;
        bool blamed;
    };
    const std::vector<Case> cases{
        {"stream that sends events", "/review/x", R"({"eventMs": 150})", 400, false},
        {"resumable stream that sends events", "/ask/x", R"({"eventMs": 150})", 400, false},
        {"stream, silent for a moment before its head", "/review/x", R"({"silences": 1, "silentMs": 2000})", 300, false},
        {"posting, silent for a moment", "/post/x", R"({"silences": 1, "silentMs": 2000})", 300, false},
        {"lookup, silent for a moment", "/read/x", R"({"silences": 1, "silentMs": 2000})", 300, false},
        {"stream, silent for long", "/review/x", R"({"silences": 1, "silentAfter": 1, "silentMs": 3000})", 1600, true},
        {"posting, silent for long", "/post/x", R"({"silences": 1, "silentMs": 3000})", 1600, true},
        {"stream that is broken off", "/review/x", R"({"cutAfter": 2})", 3000, true},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        DirectCluster host({{"p1", "plain", ""}, {"e1", "engines", "decode"}}, 1);
        makeReady(host);
        setFaultsOfAll(host, {"p1", "e1"}, c.faults);
        const Response response = host.call(0, callWithDeadline(c.path, "r1", c.deadlineMs));
        CHECK(!(response.complete && response.status == 200));
        CHECK(waitUntil([&host] {
            return host.logOf(0).find("request ended") != std::string::npos;
        }));
        const std::string log = host.logOf(0);
        CHECK((log.find("target gave no answer") != std::string::npos) == c.blamed);
        CHECK(log.find("cannot reach target") == std::string::npos);
    }
}

// Guards against retries that end with the deadline: they take from the retry budget and reach no target in time.
TEST_CASE("No retry is granted at the deadline of a request", "[direct][silence]")
{
    DirectCluster host({{"p1", "plain", ""}, {"p2", "plain", ""}, {"e1", "engines", "decode"}, {"e2", "engines", "decode"}}, 1);
    makeReady(host);
    setFaultsOfAll(host, {"p1", "p2", "e1", "e2"}, R"({"silences": 100, "silentMs": 1500})");
    int number = 0;
    for (const char *path : {"/read/x", "/ask/x"}) {
        for (int i = 0; i < 5; ++i) {
            INFO(path);
            CHECK(host.call(0, callWithDeadline(path, "d" + std::to_string(++number), 200 + i)).status == 504);
        }
    }
    const std::string log = host.logOf(0);
    CHECK(log.find("repeated at another target") == std::string::npos);
    CHECK(log.find("retried on another placement") == std::string::npos);
}

// Guards against refusing sound requests as if they took targets down, after time limits or callers have ended some like them.
TEST_CASE("Requests that end before their target responds do not count as crashes of the target", "[direct][silence]")
{
    constexpr int maxLosses = 3; // CrashEvidenceSettings::minCrashes
    struct Case
    {
        const char *what;
        const char *path;
        int deadlineMs;
        milliseconds callerTimeout;
    };
    const std::vector<Case> cases{
        {"lookup at its deadline", "/read/x", 200, seconds(10)},
        {"posting at its deadline", "/post/x", 200, seconds(10)},
        {"resumable stream at its deadline", "/ask/x", 200, seconds(10)},
        {"stream that runs once, at its deadline", "/review/x", 200, seconds(10)},
        {"lookup whose caller leaves", "/read/x", 5000, milliseconds(200)},
        {"posting whose caller leaves", "/post/x", 5000, milliseconds(200)},
        {"stream whose caller leaves", "/review/x", 5000, milliseconds(200)},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        DirectCluster host({{"p1", "plain", ""}, {"e1", "engines", "decode"}}, 1);
        makeReady(host);
        setFaultsOfAll(host, {"p1", "e1"}, R"({"silences": 100, "silentMs": 1500})");
        for (int i = 0; i < maxLosses; ++i) {
            Call call = callWithDeadline(c.path, "r" + std::to_string(i), c.deadlineMs);
            call.timeout = c.callerTimeout;
            CHECK(host.call(0, call).status != 200);
        }
        setFaultsOfAll(host, {"p1", "e1"}, noFaults);
        CHECK(host.call(0, callFor(c.path, "last")).status == 200);
        CHECK(host.logOf(0).find("took targets down") == std::string::npos);
    }
}

// Guards against refusing a prompt because its separate prefill is silent while no other placement is granted.
TEST_CASE("A separate prefill that is silent for long is waited for if the prompt cannot be placed elsewhere", "[direct][silence]")
{
    constexpr int noRetries = 1; // the share of one entry is below one retry
    DirectCluster host({{"e1", "engines", "prefill"}, {"e2", "engines", "decode"}}, DirectClusterOptions{.entries = 1, .retrySlack = noRetries});
    makeReady(host);
    host.setFaults("e1", R"({"readMs": 4000})");
    std::size_t prefills = 0;
    for (const char *path : {"/ask/x", "/review/x"}) {
        INFO(path);
        const Response response = host.call(0, promptCall(path, "r" + std::to_string(++prefills), 6000));
        CHECK(host.events("e1", "read").size() == prefills);
        CHECK(response.status == 200);
        CHECK(response.body == completeStream);
    }
}
