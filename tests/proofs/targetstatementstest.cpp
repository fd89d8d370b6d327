#include "support/directcluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr int followingRequests = 12; // enough to reach each target of a group several times
constexpr milliseconds settleTime{300}; // two rounds of updates between entries

std::vector<DirectTarget> statementTargets()
{
    return {{"p1", "plain", ""}, {"p2", "plain", ""}, {"e1", "engines", "prefill"}, {"e2", "engines", "decode"}, {"e3", "engines", "decode"}};
}

/** Deployment with the given number of entries, which are ready once constructed. */
class StatementHost : public DirectCluster
{
public:
    explicit StatementHost(std::size_t entryCount = 1) : DirectCluster(statementTargets(), entryCount)
    {
        publish(defaultConfiguration(1));
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            const bool ready = waitUntilReady(entry);
            INFO(logOf(entry));
            REQUIRE(ready);
        }
    }
};

/** A kind of request, and the target that it makes speak. */
struct Road
{
    const char *what;
    const char *target; //!< makes the statement
    const char *path;
    std::uint64_t promptTokens; //!< 0: no prompt; many: prefilled on an engine of its own
    const char *faults; //!< how the target responds beside the statement
};

Response callOn(StatementHost &host, std::size_t entry, const Road &road, const std::string &id)
{
    return host.call(entry, road.promptTokens == 0 ? directCall("GET", road.path, id) : promptCall(road.path, id, road.promptTokens));
}

/** Requests of callers that have reached a target in any form, refused ones included. */
std::size_t arrivals(StatementHost &host, const std::string &target)
{
    return host.events(target, "run").size() + host.events(target, "read").size() + host.events(target, "refused").size();
}

/** Sends requests until the target has made its statement; false if it never got one. */
bool callUntil(StatementHost &host, const Road &road, const char *statement)
{
    for (int i = 0; i < 40; ++i) {
        callOn(host, 0, road, "s" + std::to_string(i));
        if (!host.events(road.target, statement).empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against requests to a target that has said in a response that it leaves, while its registration record still shows it as ready.
TEST_CASE("A target that said in any response that it leaves gets no further request", "[direct][statements]")
{
    const std::vector<Road> roads{
        {"success of a call", "p1", "/read/x", 0, "{}"},
        {"error of a call", "p1", "/read/x", 0, R"({"status": 500})"},
        {"refusal of a call", "p1", "/read/x", 0, R"({"refuse": true})"},
        {"stream", "e2", "/ask/x", 100, "{}"},
        {"stream that may run once", "e2", "/review/x", 100, "{}"},
        {"refusal of a prompt", "e2", "/ask/x", 100, R"({"refuse": true})"},
        {"prefill", "e1", "/ask/x", 17000, "{}"},
    };
    for (const Road &road : roads) {
        INFO(road.what);
        StatementHost host;
        host.setFaults(road.target, road.faults);
        host.setFaults(road.target, R"({"leaving": true})");
        REQUIRE(callUntil(host, road, "leaving"));
        const std::size_t before = arrivals(host, road.target);
        for (int i = 0; i < followingRequests; ++i) {
            CHECK(callOn(host, 0, road, "a" + std::to_string(i)).status == 200);
        }
        CHECK(arrivals(host, road.target) == before);
        CHECK(waitUntil([&] {
            return host.logOf(0).find("target states that it leaves") != std::string::npos;
        }));
    }
}

// Guards against taking a target for sound again because the store writes or forgets its record, although the same run is leaving.
TEST_CASE("A target that said that it leaves stays out of use until it is registered as a new run", "[direct][statements]")
{
    const Road road{"call", "p1", "/read/x", 0, "{}"};
    const DirectTarget target{"p1", "plain", ""};
    StatementHost host;
    host.setFaults("p1", R"({"leaving": true})");
    REQUIRE(callUntil(host, road, "leaving"));
    const std::size_t before = arrivals(host, "p1");
    const std::vector<std::string> states{"ready", "", "ready"};
    for (const std::string &state : states) {
        INFO("record written again as '" << state << "'");
        host.registerTarget(target, state);
        sleepFor(milliseconds(1500)); // longer than two polls by the entries
        for (int i = 0; i < followingRequests; ++i) {
            CHECK(callOn(host, 0, road, "a" + state + std::to_string(i)).status == 200);
        }
        CHECK(arrivals(host, "p1") == before);
    }
    host.setFaults("p1", R"({"leaving": null})");
    host.registerNewRun("p1");
    int round = 0;
    CHECK(waitUntil([&] {
        callOn(host, 0, road, "n" + std::to_string(round++));
        return arrivals(host, "p1") > before;
    }));
}

// Guards against requests that other entries go on sending to a target that one of them knows to be leaving, while the store is away.
TEST_CASE("An entry tells the others that a target has said that it leaves", "[direct][statements]")
{
    const Road road{"call", "p1", "/read/x", 0, "{}"};
    StatementHost host(2);
    REQUIRE(waitUntil([&] {
        return host.logOf(1).find("entry heard") != std::string::npos;
    }));
    host.setFaults("store", R"({"down": true})");
    host.setFaults("p1", R"({"leaving": true})");
    REQUIRE(callUntil(host, road, "leaving"));
    sleepFor(settleTime);
    const std::size_t before = arrivals(host, "p1");
    for (int i = 0; i < followingRequests; ++i) {
        CHECK(callOn(host, 1, road, "a" + std::to_string(i)).status == 200);
    }
    CHECK(arrivals(host, "p1") == before);
}

// Guards against sending the decode of a prompt to an engine that said during the prefill on another engine that it leaves.
TEST_CASE("An engine that says during the prefill on another engine that it leaves does not get the request", "[direct][statements]")
{
    StatementHost host;
    host.registerTarget({"e3", "engines", "decode"}, "draining");
    host.setFaults("e1", R"({"readMs": 1600})");
    sleepFor(milliseconds(1500)); // longer than two polls by the entries
    Response review;
    std::thread caller([&] {
        review = host.call(0, promptCall("/review/x", "r1", 17000));
    });
    const bool prefillStarted = waitUntil([&] {
        return host.events("e1", "read").size() == 1;
    });
    host.setFaults("e2", R"({"leaving": true})");
    CHECK(host.call(0, promptCall("/ask/x", "r2", 100)).status == 200);
    host.registerTarget({"e3", "engines", "decode"}, "ready");
    caller.join();
    CHECK(prefillStarted);
    CHECK(review.status == 200);
    CHECK(host.events("e2", "run").size() == 1);
    CHECK(host.events("e3", "run").size() == 1);
    CHECK(waitUntil([&] {
        return host.events("e1", "dropped").size() == 1; // the KV cache that no engine was offered
    }));
}

// Guards against further requests of any kind to a target that refused one with 503 and asked for a pause.
TEST_CASE("A target that refused with a pause gets nothing from that entry until the pause is over", "[direct][statements]")
{
    const std::vector<Road> roads{
        {"call", "p1", "/read/x", 0, R"({"pause": "2"})"},
        {"call that may run once", "p1", "/post/x", 0, R"({"pause": "2"})"},
        {"stream", "e2", "/ask/x", 100, R"({"pause": "2"})"},
        {"prefill", "e1", "/ask/x", 17000, R"({"pause": "1.9"})"},
    };
    constexpr milliseconds pause{1900}; // the shortest of them
    for (const Road &road : roads) {
        INFO(road.what);
        StatementHost host;
        host.setFaults(road.target, road.faults);
        REQUIRE(callUntil(host, road, "refused"));
        const TimePoint end = Clock::now() + pause - milliseconds(100);
        const std::size_t before = arrivals(host, road.target);
        for (int i = 0; Clock::now() < end; ++i) {
            CHECK(callOn(host, 0, road, "a" + std::to_string(i)).status == 200);
            sleepFor(milliseconds(40));
        }
        CHECK(arrivals(host, road.target) == before);
        host.setFaults(road.target, R"({"pause": null})");
        for (const char *other : {"p2", "e3"}) {
            host.setFaults(other, R"({"pause": "9"})");
        }
        int round = 0;
        CHECK(waitUntil([&] {
            callOn(host, 0, road, "n" + std::to_string(round++));
            return arrivals(host, road.target) > before;
        }));
    }
}

// Guards against making callers wait, or come back too early, when every target of a group has asked for a pause.
TEST_CASE("A caller is refused at once with the shortest pause if all targets of the group want no requests", "[direct][statements]")
{
    const std::vector<Road> roads{{"call", "", "/read/x", 0, ""}, {"prompt", "", "/ask/x", 100, ""}, {"long prompt", "", "/review/x", 17000, ""}};
    for (const Road &road : roads) {
        INFO(road.what);
        StatementHost host;
        for (const char *target : {"p1", "e1", "e2"}) {
            host.setFaults(target, R"({"pause": "3"})");
        }
        for (const char *target : {"p2", "e3"}) {
            host.setFaults(target, R"({"pause": "9"})");
        }
        for (int i = 0; i < followingRequests; ++i) {
            callOn(host, 0, road, "s" + std::to_string(i));
        }
        const std::size_t before = arrivals(host, "p1") + arrivals(host, "p2") + arrivals(host, "e1") + arrivals(host, "e2") + arrivals(host, "e3");
        const Response response = callOn(host, 0, road, "last");
        CHECK(response.status == 503);
        CHECK(response.ended - response.sent < milliseconds(500));
        const auto retryAfter = response.headers.find("retry-after");
        REQUIRE(retryAfter != response.headers.end());
        CHECK(std::stod(retryAfter->second) > 1);
        CHECK(std::stod(retryAfter->second) <= 4.5); // 3 s and the spread
        CHECK(arrivals(host, "p1") + arrivals(host, "p2") + arrivals(host, "e1") + arrivals(host, "e2") + arrivals(host, "e3") == before);
    }
}

// Guards against an idle fleet: a pause is for the instance that was refused, the others may send.
TEST_CASE("A pause that one entry was asked for doesn't keep another entry from sending", "[direct][statements]")
{
    const Road road{"call", "p1", "/read/x", 0, R"({"pause": "5"})"};
    StatementHost host(2);
    host.setFaults("p1", road.faults);
    REQUIRE(callUntil(host, road, "refused"));
    host.setFaults("p1", R"({"pause": null})");
    sleepFor(settleTime);
    const std::size_t before = arrivals(host, "p1");
    for (int i = 0; i < followingRequests; ++i) {
        CHECK(callOn(host, 1, road, "a" + std::to_string(i)).status == 200);
    }
    CHECK(arrivals(host, "p1") > before);
}
