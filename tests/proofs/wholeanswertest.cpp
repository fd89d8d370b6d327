#include "support/callers.h"
#include "support/cluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <random>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr int outputTokens = 150;
constexpr int faultPiece = 20;

ClusterOptions twoEngines()
{
    ClusterOptions options;
    options.entries = 1;
    Json::Value faults;
    faults["decodeRate"] = 100;
    options.targets = {{.faults = faults}, {.failureDomain = "fd-b", .faults = faults}};
    options.settings = R"({"timings": {"instancesPollMs": 200}, "link": {"heartbeatMs": 300}})";
    return options;
}

/** Index of the target that received the latest request. */
std::size_t servingTargetIndex(const Cluster &cluster)
{
    const Journal received = eventsOf(cluster.targetJournal(), "received");
    const std::string name = received.empty() ? std::string() : received.back()["standIn"].asString();
    const auto found = std::find_if(cluster.targets.begin(), cluster.targets.end(), [&name](const StandIn &target) {
        return target.name == name;
    });
    return static_cast<std::size_t>(found - cluster.targets.begin());
}

struct Fault
{
    const char *what;
    std::function<void(Cluster &, std::size_t)> inject;
};

const std::vector<Fault> faults{
    {"engine killed",
     [](Cluster &cluster, std::size_t number) {
         cluster.targets[number].process->signal(SIGKILL);
     }},
    {"sidecar killed",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].process->signal(SIGKILL);
     }},
    {"sidecar killed and restarted",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].process->kill();
         cluster.startDaemon(cluster.sidecars[number]);
     }},
    {"link dropped",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].linkRelay->dropConnections();
     }},
    {"link silent",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].linkRelay->blackholeConnections();
     }},
    {"connection to the engine dropped",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].targetRelay->dropConnections();
     }},
    {"connection to the engine silent",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].targetRelay->blackholeConnections();
     }},
    {"sidecar cut off for good",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].linkRelay->blackhole(true);
     }},
    {"sidecar paused for good",
     [](Cluster &cluster, std::size_t number) {
         cluster.sidecars[number].process->signal(SIGSTOP);
     }},
};

} // namespace

TEST_CASE("A stream is complete although one component fails while it runs", "[whole-answer]")
{
    for (const Fault &fault : faults) {
        DYNAMIC_SECTION(fault.what)
        {
            Cluster cluster(twoEngines());
            REQUIRE(cluster.start(defaultRecords()));
            Call call = chatCall("household file " + std::string(fault.what), outputTokens);
            std::atomic<bool> injected{false};
            call.onData = afterChunks(faultPiece, [&] {
                fault.inject(cluster, servingTargetIndex(cluster));
                injected = true;
            });
            const CallerRecord record = sendOnce(cluster.entries[0].callers, "bureau", call);
            CHECK(injected);
            CHECK(record.response.status == 200);
            CHECK(responsesComplete({record}) == noViolations);
        }
    }
}

TEST_CASE("A stream is complete although its engine and then its link fail", "[whole-answer]")
{
    Cluster cluster(twoEngines());
    REQUIRE(cluster.start(defaultRecords()));
    Call call = chatCall("household file, two faults", 2 * outputTokens);
    std::atomic<int> pieces{0};
    call.onData = [&](std::string_view) {
        const int piece = ++pieces;
        if (piece == faultPiece) {
            cluster.targets[servingTargetIndex(cluster)].process->signal(SIGKILL);
        }
        if (piece == 4 * faultPiece) {
            cluster.sidecars[servingTargetIndex(cluster)].linkRelay->dropConnections();
        }
    };
    const CallerRecord record = sendOnce(cluster.entries[0].callers, "bureau", call);
    CHECK(pieces > 4 * faultPiece);
    CHECK(responsesComplete({record}) == noViolations);
    CHECK(record.response.status == 200);
}

TEST_CASE("A response that is not streamed is complete although its engine is killed", "[whole-answer]")
{
    Cluster cluster(twoEngines());
    REQUIRE(cluster.start(defaultRecords()));
    auto pendingResponse = sendInBackground(cluster.entries[0].callers, "bureau", chatCall("quick check", outputTokens, false));
    REQUIRE(waitUntil([&] {
        return !eventsOf(cluster.targetJournal(), "received").empty();
    }));
    cluster.targets[servingTargetIndex(cluster)].process->kill();
    const CallerRecord record = pendingResponse.get();
    CHECK(record.response.status == 200);
    CHECK(responsesComplete({record}) == noViolations);
}

TEST_CASE("Callers get the response to their own request when responses are delayed, out of order and links fail", "[whole-answer]")
{
    constexpr unsigned seed = 20261203;
    INFO("seed " << seed);
    ClusterOptions options;
    options.targets = {{.kind = "service", .group = "licences"}, {.kind = "service", .group = "licences", .failureDomain = "fd-b"}};
    options.settings = R"({"link": {"heartbeatMs": 300}})";
    Cluster cluster(options);
    REQUIRE(cluster.start(defaultRecords()));
    ClosedLoopCallers callers(8, [&](int caller, int round) {
        std::minstd_rand random(seed + static_cast<unsigned>(caller * 100000 + round));
        const std::string path = "/status/" + std::to_string(caller) + "-" + std::to_string(round) + "?lateMs=" + std::to_string(random() % 60);
        return ClosedLoopCallers::PlannedCall{cluster.entries[random() % 2].callers, random() % 2 == 0 ? "bureau" : "kaspiy", lookupCall(path)};
    });
    for (int fault = 0; fault < 10; ++fault) {
        sleepFor(milliseconds(300));
        Relay &link = *cluster.sidecars[static_cast<std::size_t>(fault % 2)].linkRelay;
        if (fault % 4 < 2) {
            link.dropConnections();
        } else {
            link.blackholeConnections();
        }
    }
    const std::vector<CallerRecord> records = callers.stop();
    WARN(records.size() << " lookups under 10 broken links");
    CHECK(responsesComplete(records) == noViolations);
    CHECK(refusedRequestsDidNotRun(records, cluster.targetJournal()) == noViolations);
}

// Guards against an error of the resuming engine that becomes part of the caller's stream, or its end that looks like the end of the stream.
TEST_CASE("An error of the engine that is to resume a stream never gets into the caller's stream", "[whole-answer]")
{
    struct Case
    {
        const char *what;
        const char *faults;
    };
    const std::vector<Case> cases{
        {"error with a plain body", R"({"resumeErrors": 1, "resumeStatus": 500})"},
        {"overload with a plain body", R"({"resumeErrors": 1, "resumeStatus": 503})"},
        {"error as an event stream", R"({"resumeErrors": 1, "resumeStatus": 500, "errorStream": true})"},
        {"plain body with status 200", R"({"resumeErrors": 1, "resumeStatus": 200})"},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        Cluster cluster(twoEngines());
        REQUIRE(cluster.start(defaultRecords()));
        for (const StandIn &target : cluster.targets) {
            Call faultsCall = postJson("/faults", *parseJson(c.faults));
            callOnce(target.control, faultsCall);
        }
        Call call = chatCall("household file", outputTokens);
        call.onData = afterChunks(faultPiece, [&] {
            cluster.sidecars[servingTargetIndex(cluster)].targetRelay->dropConnections();
        });
        const CallerRecord record = sendOnce(cluster.entries[0].callers, "bureau", call);
        CHECK(eventsOf(cluster.targetJournal(), "resume-refused").size() >= 1);
        CHECK(record.response.body.find("cannot resume") == std::string::npos);
        CHECK((!record.response.complete || completionOf(record.response).ended));
        CHECK(responsesComplete({record}) == noViolations);
    }
}

// Guards against taking what a service sends for no request, before or after the next request is sent, for the answer to that one.
TEST_CASE("A surplus response of a service is never taken for the answer to the next request", "[whole-answer]")
{
    struct Case
    {
        const char *what;
        const char *faults;
        const char *faultsLater; //!< after one lookup
    };
    const std::vector<Case> cases{{"waits on the connection", R"({"extraAnswer": 1000})", "{}"},
                                  {"comes after the next request, from a service that sends ids", R"({"echoIds": true})", R"({"foreignAnswers": 1})"}};
    for (const Case &c : cases) {
        INFO(c.what);
        ClusterOptions options;
        options.entries = 1;
        options.targets = {{.kind = "service", .group = "licences"}};
        options.settings = R"({"timings": {"instancesPollMs": 200}, "link": {"heartbeatMs": 300}})";
        Cluster cluster(options);
        REQUIRE(cluster.start(defaultRecords()));
        callOnce(cluster.targets[0].control, postJson("/faults", *parseJson(c.faults)));
        std::vector<CallerRecord> records;
        for (int i = 0; i < 40; ++i) {
            records.push_back(sendOnce(cluster.entries[0].callers, "bureau", lookupCall("/status/" + std::to_string(i))));
            CHECK(records.back().response.status == 200);
            CHECK(records.back().response.body.find("/status/" + std::to_string(i) + "\"") != std::string::npos);
            if (i == 0) {
                callOnce(cluster.targets[0].control, postJson("/faults", *parseJson(c.faultsLater)));
            }
        }
        CHECK(responsesComplete(records) == noViolations);
    }
}
