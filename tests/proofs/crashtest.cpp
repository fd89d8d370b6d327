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
constexpr int bystandersPerRound = 6;
constexpr int bystanderTokens = 100;
constexpr int resends = 6;
constexpr int targetsLostAtMost = 2; // stated bound on what one such request may cost

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

/** Starts engines that died again, as a supervisor would; returns how many there were. */
int restartDead(Cluster &cluster)
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

/** Waits until every sidecar takes work again. */
bool allReady(const Cluster &cluster)
{
    return waitUntil([&cluster] {
        return std::all_of(cluster.sidecars.begin(), cluster.sidecars.end(), Cluster::ready);
    });
}

} // namespace

TEST_CASE("A request that crashes its targets is refused after two of them, and bystanders are served", "[crash]")
{
    struct Case
    {
        const char *mark;
        std::size_t refusedFrom; //!< first send that is refused before anything runs
    };
    // A crash halfway is found out by the second send, whose answer has begun and ends with the refusal as an event.
    for (const Case &c : {Case{"CRASH-ME", 1}, Case{"CRASH-MID", 2}}) {
        DYNAMIC_SECTION(c.mark)
        {
            Cluster cluster(fourEngines());
            REQUIRE(cluster.start(defaultRecords()));
            std::vector<CallerRecord> bystanders;
            std::vector<CallerRecord> culprits;
            int lost = 0;
            for (int round = 0; round < resends; ++round) {
                const Endpoint entry = cluster.entries[static_cast<std::size_t>(round % 2)].callers;
                const auto before = eventsOf(cluster.targetJournal(), "received").size();
                std::vector<std::future<CallerRecord>> running;
                for (int i = 0; i < bystandersPerRound; ++i) {
                    const std::string prompt = "bystander " + std::to_string(round) + "." + std::to_string(i);
                    running.push_back(sendInBackground(cluster.entries[static_cast<std::size_t>(i % 2)].callers, "bureau", chatCall(prompt, bystanderTokens)));
                }
                REQUIRE(waitUntil([&] {
                    return eventsOf(cluster.targetJournal(), "received").size() >= before + bystandersPerRound;
                }));
                culprits.push_back(sendOnce(entry, "kaspiy", chatCall(std::string("file with ") + c.mark, bystanderTokens)));
                for (auto &answer : running) {
                    bystanders.push_back(answer.get());
                }
                lost += restartDead(cluster);
                REQUIRE(allReady(cluster));
            }
            CHECK(lost >= 1); // the fault was really there
            CHECK(lost <= targetsLostAtMost);
            CHECK(responsesComplete(bystanders) == Violations{});
            for (const CallerRecord &record : bystanders) {
                CHECK(record.response.status == 200);
            }
            // Once judged, every entry refuses it for good and at once.
            for (std::size_t i = 1; i < c.refusedFrom; ++i) {
                CHECK_FALSE(culprits[i].response.complete);
                CHECK_THAT(culprits[i].response.body, Catch::Contains(R"("outcome":"rejected")"));
            }
            for (std::size_t i = c.refusedFrom; i < culprits.size(); ++i) {
                CHECK(culprits[i].response.status == 422);
                CHECK(outcomeOf(culprits[i].response) == "rejected");
            }
        }
    }
}
