#include "support/directcluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr int crashesAllowed = 5; // by the platform; later requests with the part may reach targets ...
constexpr std::size_t laterSendsAllowed = 3; // ... so many times ...
constexpr milliseconds contactTime{3000}; // ... from this time after the last of these crashes on
constexpr int maxRounds = 12;
constexpr int laterRequests = 10;
constexpr int engines = 10; // enough for the crashes that are allowed, without a restart between them
constexpr milliseconds updateTime{300}; // longer than two updates between entries

DirectClusterOptions separateProcesses(std::size_t entries)
{
    return {.entries = entries, .ownProcesses = true};
}

std::vector<DirectTarget> decodeEngines()
{
    std::vector<DirectTarget> targets;
    for (int i = 1; i <= engines; ++i) {
        targets.push_back({"e" + std::to_string(i), "engines", "decode"});
    }
    return targets;
}

/** A prompt of a first part, a second part and a part of its own. */
Call partsCall(const std::string &first, const std::string &second, const std::string &id)
{
    Call call = promptCall("/ask/x", id, 300);
    call.headers["Prompt-Prefix"] = first + ":100," + second + ":100," + id + ":100";
    call.body = "question " + id;
    return call;
}

/** Starts engines that have ended again, as new runs. */
void restartEnded(DirectCluster &cluster)
{
    for (auto &[id, process] : cluster.targetProcesses) {
        if (!process.running()) {
            cluster.restartTarget(id);
            cluster.setFaults(id, R"({"crashPart": "bad", "crashMs": 30})");
        }
    }
}

int endedEngines(DirectCluster &cluster)
{
    return static_cast<int>(std::count_if(cluster.targetProcesses.begin(), cluster.targetProcesses.end(), [](auto &process) {
        return !process.second.running();
    }));
}

std::size_t sendsWith(const DirectCluster &cluster, const std::string &part)
{
    std::size_t sends = 0;
    for (const Json::Value &event : cluster.journal()) {
        const bool received = event["event"] == "run" || event["event"] == "read";
        sends += received && event["headers"]["prompt-prefix"].asString().find(part + ":") != std::string::npos ? 1 : 0;
    }
    return sends;
}

} // namespace

// Guards against sound prompts refused for lack of retry budget because engines that are down refused their connections.
TEST_CASE("Engines that are down cost a request neither retries nor its last placement", "[prompt-crash]")
{
    DirectCluster cluster(decodeEngines(), {.retrySlack = 0, .ownProcesses = true});
    cluster.publish(defaultConfiguration(1));
    REQUIRE(cluster.waitUntilReady(0));
    for (auto &[id, process] : cluster.targetProcesses) {
        if (id != "e7") {
            process.kill();
        }
    }
    for (int request = 0; request < 6; ++request) {
        const Response response = cluster.call(0, partsCall("rules", "other", "s" + std::to_string(request)));
        INFO("request " << request);
        CHECK(response.status == 200);
        sleepFor(milliseconds(1100)); // an engine that could not be reached is tried again after a second
    }
}

// Guards against a part of prompts that crashes one engine after the other because no two requests with it are alike.
TEST_CASE("Requests with a prompt part that crashes engines are stopped, sound ones with the same key and first part are served", "[prompt-crash]")
{
    struct Case
    {
        const char *what;
        std::size_t entries;
        std::string first;
        std::string second;
    };
    const std::vector<Case> cases{{"one entry", 1, "rules", "bad"}, {"three entries", 3, "rules", "bad"}, {"the first part", 2, "bad", "subject"}};
    for (const Case &c : cases) {
        DYNAMIC_SECTION(c.what)
        {
            DirectCluster cluster(decodeEngines(), separateProcesses(c.entries));
            cluster.publish(defaultConfiguration(1));
            for (const DirectTarget &engine : decodeEngines()) {
                cluster.setFaults(engine.id, R"({"crashPart": "bad", "crashMs": 30})");
            }
            for (std::size_t entry = 0; entry < c.entries; ++entry) {
                REQUIRE(cluster.waitUntilReady(entry));
            }
            int crashes = 0;
            for (int round = 0; round < maxRounds && crashes < crashesAllowed; ++round) {
                const std::string id = std::to_string(round);
                cluster.call(static_cast<std::size_t>(round) % c.entries, partsCall(c.first, c.second, "b" + id));
                crashes = endedEngines(cluster);
                sleepFor(updateTime);
                const Response sound = cluster.call(static_cast<std::size_t>(round + 1) % c.entries, partsCall("rules", "other", "s" + id));
                INFO(cluster.logOf(static_cast<std::size_t>(round + 1) % c.entries));
                CHECK(sound.status == 200);
                CHECK(sound.complete);
            }
            sleepFor(contactTime);
            const std::size_t sendsBefore = sendsWith(cluster, "bad");
            for (int i = 0; i < laterRequests; ++i) {
                const std::string id = std::to_string(i);
                const Response refused = cluster.call(static_cast<std::size_t>(i) % c.entries, partsCall(c.first, c.second, "l" + id));
                CHECK(refused.status == 503);
                CHECK(refused.headers.contains("retry-after"));
                restartEnded(cluster);
                const Response sound = cluster.call(static_cast<std::size_t>(i) % c.entries, partsCall("rules", "other", "t" + id));
                INFO(cluster.logOf(static_cast<std::size_t>(i) % c.entries));
                CHECK(sound.status == 200);
                CHECK(sound.complete);
            }
            CHECK(sendsWith(cluster, "bad") - sendsBefore <= laterSendsAllowed);
        }
    }
}

// Guards against a block that nobody can see or end once the part has been mended.
TEST_CASE("An operator sees what is blocked and releases it", "[prompt-crash]")
{
    DirectCluster cluster(decodeEngines(), {.ownAddresses = true, .ownProcesses = true});
    cluster.publish(defaultConfiguration(1));
    for (const DirectTarget &engine : decodeEngines()) {
        cluster.setFaults(engine.id, R"({"crashPart": "bad", "crashMs": 30})");
    }
    REQUIRE(cluster.waitUntilReady(0));
    const Endpoint operatorPort{cluster.callers(0).address, 9464};
    const auto blocked = [&operatorPort] {
        return parseJson(callOnce(operatorPort, {.target = "/blocked"}).body).value_or(Json::Value());
    };
    CHECK(blocked().empty());
    for (int request = 0; request < maxRounds && blocked().empty(); ++request) {
        cluster.call(0, partsCall("rules", "bad", "b" + std::to_string(request)));
        sleepFor(updateTime);
    }
    const Json::Value list = blocked();
    REQUIRE(list.size() == 1);
    CHECK(cluster.call(0, partsCall("rules", "bad", "x")).status == 503);
    CHECK(callOnce(operatorPort, {.method = "POST", .target = "/blocked/1/release"}).status == 404);
    CHECK(callOnce(operatorPort, {.method = "POST", .target = "/blocked/nonsense/release"}).status == 404);
    for (const DirectTarget &engine : decodeEngines()) {
        cluster.setFaults(engine.id, R"({"crashPart": null})");
    }
    const std::string cause = list[0]["causes"][0].asString();
    CHECK(callOnce(operatorPort, {.method = "POST", .target = "/blocked/" + cause + "/release"}).status == 200);
    CHECK(blocked().empty());
    const Response served = cluster.call(0, partsCall("rules", "bad", "y"));
    CHECK(served.status == 200);
    CHECK(served.complete);
}
