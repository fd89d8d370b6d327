#include "support/callers.h"
#include "support/cluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <future>
#include <vector>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr int engines = 4;
constexpr int concurrentRequestsPerRound = 6;
constexpr int outputTokens = 100;
constexpr int resends = 6;
constexpr int maxTargetsLost = 2; // guaranteed limit for one request that crashes its targets

ClusterOptions fourEngines()
{
    ClusterOptions options;
    Json::Value faults;
    faults["decodeRate"] = 100;
    faults["slots"] = 8;
    for (int i = 0; i < engines; ++i) {
        options.targets.push_back({.failureDomain = i % 2 == 0 ? "fd-a" : "fd-b", .faults = faults});
    }
    options.settings = R"({"timings": {"instancesPollMs": 200}, "link": {"heartbeatMs": 300}})";
    return options;
}

/** Restarts crashed engines, as a supervisor would. Returns their number. */
int restartDeadTargets(Cluster &cluster)
{
    int dead = 0;
    for (StandIn &target : cluster.targets) {
        if (!target.process->running()) {
            ++dead;
            cluster.startStandIn(target);
        }
    }
    return dead;
}

/** Waits until every sidecar is ready. */
bool allReady(const Cluster &cluster)
{
    return waitUntil([&cluster] {
        return std::all_of(cluster.sidecars.begin(), cluster.sidecars.end(), Cluster::ready);
    });
}

} // namespace

TEST_CASE("A request that crashes its targets is refused after two crashes, and concurrent requests are served", "[crash]")
{
    struct Case
    {
        const char *crashTrigger;
        std::size_t refusedFrom; //!< index of the first attempt that is refused before running
    };
    // With CRASH-MID the response has begun when the second attempt detects the crash, so it ends with the refusal as an event.
    for (const Case &c : {Case{"CRASH-ME", 1}, Case{"CRASH-MID", 2}}) {
        DYNAMIC_SECTION(c.crashTrigger)
        {
            Cluster cluster(fourEngines());
            REQUIRE(cluster.start(defaultRecords()));
            std::vector<CallerRecord> concurrentRecords;
            std::vector<CallerRecord> crashingRecords;
            int targetsLost = 0;
            for (int round = 0; round < resends; ++round) {
                const Endpoint entry = cluster.entries[static_cast<std::size_t>(round % 2)].callers;
                const auto receivedBefore = eventsOf(cluster.targetJournal(), "received").size();
                std::vector<std::future<CallerRecord>> running;
                for (int i = 0; i < concurrentRequestsPerRound; ++i) {
                    const std::string prompt = "bystander " + std::to_string(round) + "." + std::to_string(i);
                    running.push_back(sendInBackground(cluster.entries[static_cast<std::size_t>(i % 2)].callers, "bureau", chatCall(prompt, outputTokens)));
                }
                REQUIRE(waitUntil([&] {
                    return eventsOf(cluster.targetJournal(), "received").size() >= receivedBefore + concurrentRequestsPerRound;
                }));
                crashingRecords.push_back(sendOnce(entry, "kaspiy", chatCall(std::string("file with ") + c.crashTrigger, outputTokens)));
                for (auto &pendingResponse : running) {
                    concurrentRecords.push_back(pendingResponse.get());
                }
                targetsLost += restartDeadTargets(cluster);
                REQUIRE(allReady(cluster));
            }
            CHECK(targetsLost >= 1); // at least one target crashed, so the test exercises the fault
            CHECK(targetsLost <= maxTargetsLost);
            CHECK(responsesComplete(concurrentRecords) == Violations{});
            for (const CallerRecord &record : concurrentRecords) {
                CHECK(record.response.status == 200);
            }
            // Once the request is known to crash targets, every entry refuses it immediately and permanently.
            for (std::size_t i = 1; i < c.refusedFrom; ++i) {
                CHECK_FALSE(crashingRecords[i].response.complete);
                CHECK_THAT(crashingRecords[i].response.body, Catch::Contains(R"("outcome":"rejected")"));
            }
            for (std::size_t i = c.refusedFrom; i < crashingRecords.size(); ++i) {
                CHECK(crashingRecords[i].response.status == 422);
                CHECK(outcomeOf(crashingRecords[i].response) == "rejected");
            }
        }
    }
}
