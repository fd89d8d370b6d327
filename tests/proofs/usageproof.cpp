#include "support/checkers.h"
#include "support/cluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <set>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr milliseconds leaseDuration{2000};
constexpr milliseconds longTimeout{60000};

ClusterOptions usageCluster()
{
    ClusterOptions options;
    options.targets = {{.kind = "service", .group = "licences"}, {.kind = "service", .group = "licences"}};
    options.settings = R"({"timings": {"leaseMs": 2000, "leaseMarginMs": 300, "grantMs": 1000, "usageWindowMs": 1000}, "link": {"heartbeatMs": 500}})";
    return options;
}

bool holdsUsage(const Cluster &cluster, const Daemon &entry)
{
    const Json::Value leases = cluster.statusOf(entry)["leases"];
    for (const Json::Value &lease : leases) {
        if (lease["scope"] == "usage" && lease["held"].asBool()) {
            return true;
        }
    }
    return false;
}

/** Waits until an entry holds the usage lease. Returns its index. */
std::optional<std::size_t> usageHolder(const Cluster &cluster)
{
    std::optional<std::size_t> holder;
    waitUntil([&cluster, &holder] {
        for (std::size_t i = 0; i < cluster.entries.size(); ++i) {
            if (holdsUsage(cluster, cluster.entries[i])) {
                holder = i;
            }
        }
        return holder.has_value();
    });
    return holder;
}

/** Sends look-ups through one entry. Returns the number of complete responses with status 200. */
std::uint64_t sendLookUps(const Daemon &entry, int count)
{
    std::uint64_t servedLookUps = 0;
    Client client(entry.callers);
    for (int i = 0; i < count; ++i) {
        Call call{.target = "/status/7"};
        std::string credential = "Bearer ";
        credential.append(bureauSecret);
        call.headers["Authorization"] = credential;
        const Response response = client.call(call);
        servedLookUps += response.complete && response.status == 200 ? 1 : 0;
    }
    return servedLookUps;
}

std::uint64_t reportedRequests(const Journal &platform)
{
    std::uint64_t sum = 0;
    std::set<std::int64_t> seen;
    for (const Json::Value &report : eventsOf(platform, "usage")) {
        if (report["workspace"] == "bureau" && seen.insert(report["window"].asInt64()).second) {
            sum += report["requests"].asUInt64();
        }
    }
    return sum;
}

} // namespace

TEST_CASE("usage is reported once while holders are paused, disconnected and killed", "[usage-once]")
{
    Cluster cluster(usageCluster());
    REQUIRE(cluster.start(defaultRecords()));
    std::uint64_t servedLookUps = sendLookUps(cluster.entries[0], 20) + sendLookUps(cluster.entries[1], 20);
    REQUIRE(servedLookUps == 40);
    REQUIRE(waitUntil(
        [&cluster] {
            return reportedRequests(cluster.journalOf(cluster.platform)) > 0;
        },
        longTimeout));

    cluster.setFaults(cluster.platform, R"({"usage.answerLost": 2})");
    cluster.setFaults(cluster.log, R"({"usage.answerLost": 2, "leases.answerLost": 2})");
    servedLookUps += sendLookUps(cluster.entries[0], 20);

    // The holder is paused beyond its lease and resumed after the other entry has taken over.
    const auto first = usageHolder(cluster);
    REQUIRE(first);
    const std::size_t other = 1 - *first;
    cluster.entries[*first].process->pause();
    servedLookUps += sendLookUps(cluster.entries[other], 20);
    REQUIRE(waitUntil(
        [&cluster, other] {
            return holdsUsage(cluster, cluster.entries[other]);
        },
        longTimeout));
    cluster.entries[*first].process->resume();
    servedLookUps += sendLookUps(cluster.entries[other], 20);

    // The next holder is disconnected from the log, then killed.
    const auto second = usageHolder(cluster);
    REQUIRE(second);
    const std::size_t last = 1 - *second;
    cluster.entries[*second].logRelay->blackhole(true);
    sleepFor(leaseDuration);
    cluster.entries[*second].process->kill();
    servedLookUps += sendLookUps(cluster.entries[last], 20);
    cluster.setFaults(cluster.log, R"({"outage": true})");
    sleepFor(leaseDuration);
    cluster.setFaults(cluster.log, R"({"outage": null})");
    cluster.entries[*second].logRelay->blackhole(false);
    cluster.startDaemon(cluster.entries[*second]);

    const bool complete = waitUntil(
        [&cluster, servedLookUps] {
            return reportedRequests(cluster.journalOf(cluster.platform)) >= servedLookUps;
        },
        longTimeout);
    const Journal platform = cluster.journalOf(cluster.platform);
    const std::uint64_t runs = eventsOf(cluster.targetJournal(), "run").size();
    INFO("answered " << servedLookUps << ", ran " << runs << ", reported " << reportedRequests(platform));
    REQUIRE(complete);
    REQUIRE(reportedRequests(platform) <= runs);
    const Violations violations = usageOncePerWindow(platform);
    CAPTURE(violations);
    REQUIRE(violations.empty());
}
