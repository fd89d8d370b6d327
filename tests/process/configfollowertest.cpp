#include <process/configfollower.h>

#include <fakes/fakelog.h>

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace snipehill;
using namespace snipehill::fakes;

namespace
{

Json::Value workspace(const std::string &name, int weight, std::optional<Offset> replaces = std::nullopt)
{
    Json::Value record(Json::objectValue);
    record["kind"] = "workspace";
    record["schemaVersion"] = 1;
    record["name"] = name;
    record["replaces"] = replaces ? Json::Value(Json::Int64(*replaces)) : Json::Value();
    record["spec"]["weight"] = weight;
    return record;
}

/** Followers that call each other's methods directly; those in unreachable can't be called. */
struct Fleet
{
    RunningContext running;
    FakeLog log{running.context};
    FakeLog unreachableLog{running.context};
    std::map<Endpoint, RpcMethods> methods;
    std::map<Endpoint, std::atomic<bool>> unreachable;
    std::vector<std::unique_ptr<ConfigFollower>> followers;
    std::vector<ConfigPeer> peers;

    Fleet()
    {
        unreachableLog.down = true;
    }
    ~Fleet()
    {
        for (auto &follower : followers) {
            follower->stop();
        }
        running.end();
    }

    static Endpoint linkOf(std::size_t index)
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(index + 1)};
    }

    ConfigFollower &add(bool keyed, bool reachesLog, TreeLimits tree = {})
    {
        const std::size_t index = followers.size();
        ConfigFollowerOptions options;
        options.instance = "i" + std::to_string(index);
        options.region = "r1";
        options.keyed = keyed;
        options.log = reachesLog ? log.endpoint() : unreachableLog.endpoint();
        options.tree = tree;
        options.freshness = milliseconds(600);
        options.longPoll = milliseconds(100);
        options.retryDelay = milliseconds(20);
        options.pullInterval = milliseconds(100);
        options.pushInterval = milliseconds(200);
        unreachable[linkOf(index)] = false;
        const auto call = [this](Endpoint peer, std::string method, Json::Value params, milliseconds, Reason &reason) {
            return callPeer(std::move(peer), std::move(method), std::move(params), reason);
        };
        followers.push_back(std::make_unique<ConfigFollower>(options, running.context.get_executor(), call));
        followers.back()->registerMethods(methods[linkOf(index)]);
        peers.push_back({options.instance, options.region, linkOf(index), keyed});
        return *followers.back();
    }

    boost::asio::awaitable<std::optional<Json::Value>> callPeer(Endpoint peer, std::string method, Json::Value params, Reason &reason)
    {
        if (unreachable[peer]) {
            reason = {Step::Config, toString(peer), "no answer"};
            co_return std::nullopt;
        }
        const RpcMethod &handler = methods[peer][method];
        co_return handler(params, reason);
    }

    void start()
    {
        for (auto &follower : followers) {
            follower->setPeers(peers);
        }
        for (auto &follower : followers) {
            follower->start();
        }
    }

    bool allAt(Offset offset)
    {
        return std::all_of(followers.begin(), followers.end(), [&](const auto &follower) {
            return follower->current()->offset == offset;
        });
    }
};

} // namespace

TEST_CASE("a published record is in force in every process", "[config][config-in-force]")
{
    Fleet fleet;
    fleet.log.append("config", workspace("w", 1));
    std::atomic<Offset> seen{noOffset};
    fleet.add(true, true).onChange([&](const ConfigPointer &config) {
        seen = config->offset;
    });
    fleet.add(false, true);
    fleet.start();
    REQUIRE(eventually([&] {
        return fleet.allAt(0) && fleet.followers[0]->ready();
    }));
    fleet.log.append("config", workspace("w", 2, 0));
    REQUIRE(eventually([&] {
        return fleet.allAt(1);
    }));
    REQUIRE(fleet.followers[0]->current()->workspaces.at("w").value.weight == 2);
    REQUIRE(eventually([&] {
        return seen == 1;
    }));
    REQUIRE(eventually([&] {
        return fleet.followers[0]->freshness(Clock::now()) == Freshness::Fresh;
    }));
    const Json::Value status = fleet.followers[0]->status(Clock::now());
    REQUIRE(status["offset"].asInt64() == 1);
    REQUIRE(status["digest"] == fleet.followers[1]->status(Clock::now())["digest"]);
}

TEST_CASE("a process cut off from the log is kept fresh by its peers", "[config][key-isolation]")
{
    Fleet fleet;
    fleet.log.append("config", workspace("w", 1));
    fleet.add(true, true);
    ConfigFollower &cutOff = fleet.add(true, false);
    fleet.start();
    REQUIRE(eventually([&] {
        return fleet.allAt(0) && cutOff.freshness(Clock::now()) == Freshness::Fresh;
    }));
    fleet.log.append("config", workspace("w", 2, 0));
    REQUIRE(eventually([&] {
        return fleet.allAt(1);
    }));
    // Cut off from all peers too, the process can't know of withdrawals.
    fleet.unreachable[Fleet::linkOf(0)] = true;
    REQUIRE(eventually([&] {
        return cutOff.freshness(Clock::now()) == Freshness::Stale;
    }));
}

TEST_CASE("an outage of the log does not stop keyed routes", "[config][key-isolation]")
{
    Fleet fleet;
    fleet.log.append("config", workspace("w", 1));
    for (int i = 0; i < 3; ++i) {
        fleet.add(true, true);
    }
    fleet.start();
    REQUIRE(eventually([&] {
        return fleet.allAt(0) && fleet.followers[0]->ready();
    }));
    fleet.log.down = true;
    REQUIRE(eventually([&] {
        return fleet.followers[0]->freshness(Clock::now()) == Freshness::Outage;
    }));

    SECTION("a process that starts takes the configuration of its peers")
    {
        // The process is new, so the lists of the others don't contain it yet.
        ConfigFollower &late = fleet.add(true, true);
        late.setPeers(fleet.peers);
        late.start();
        REQUIRE(eventually([&] {
            return late.current()->offset == 0 && late.ready();
        }));
        REQUIRE(eventually([&] {
            return late.freshness(Clock::now()) == Freshness::Outage;
        }));
    }
    SECTION("without a majority the process is stale")
    {
        fleet.unreachable[Fleet::linkOf(1)] = true;
        fleet.unreachable[Fleet::linkOf(2)] = true;
        REQUIRE(eventually([&] {
            return fleet.followers[0]->freshness(Clock::now()) == Freshness::Stale;
        }));
    }
    SECTION("the end of the outage is detected")
    {
        fleet.log.down = false;
        REQUIRE(eventually([&] {
            return fleet.followers[0]->freshness(Clock::now()) == Freshness::Fresh;
        }));
    }
}

TEST_CASE("members of a tree receive changes from their parents", "[config][config-in-force]")
{
    Fleet fleet;
    const TreeLimits tree{.maxDirectFleet = 2, .readersPerRegion = 1, .fanOut = 2, .fallbackParents = 1};
    fleet.log.append("config", workspace("w", 1));
    for (int i = 0; i < 15; ++i) {
        fleet.add(i < 3, i == 0, tree); // only the first one reaches the log
    }
    fleet.start();
    REQUIRE(eventually([&] {
        return fleet.allAt(0);
    }));
    fleet.log.append("config", workspace("w", 2, 0));
    REQUIRE(eventually([&] {
        return fleet.allAt(1);
    }));
    REQUIRE(eventually([&] {
        return fleet.followers[1]->freshness(Clock::now()) == Freshness::Fresh && fleet.followers[2]->freshness(Clock::now()) == Freshness::Fresh;
    }));
    // The parent of i3 and i4 becomes unreachable: a fallback parent sends them the change.
    fleet.unreachable[Fleet::linkOf(1)] = true;
    fleet.log.append("config", workspace("w", 3, 1));
    REQUIRE(eventually([&] {
        return fleet.followers[3]->current()->offset == 2 && fleet.followers[4]->current()->offset == 2;
    }));
}

TEST_CASE("a snapshot is appended once and new processes can start from it", "[config][config-in-force]")
{
    Fleet fleet;
    fleet.log.append("config", workspace("w", 1));
    ConfigFollower &holder = fleet.add(true, true);
    fleet.start();
    REQUIRE(eventually([&] {
        return fleet.allAt(0);
    }));
    const auto appendSnapshot = [&] {
        Reason reason;
        return boost::asio::co_spawn(fleet.running.context, holder.appendSnapshotIfDue(reason), boost::asio::use_future).get();
    };
    REQUIRE(appendSnapshot());
    REQUIRE(eventually([&] {
        return fleet.allAt(1);
    }));
    REQUIRE(appendSnapshot());
    REQUIRE(fleet.log.records("config").size() == 2);
    fleet.log.retain("config", 1);
    ConfigFollower &late = fleet.add(true, true);
    late.start();
    REQUIRE(eventually([&] {
        return late.current()->offset == 1 && late.ready();
    }));
    REQUIRE(late.current()->workspaces.at("w").offset == 0);
    REQUIRE(late.status(Clock::now())["digest"] == holder.status(Clock::now())["digest"]);
}
