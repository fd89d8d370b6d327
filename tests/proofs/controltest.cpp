#include "support/checkers.h"
#include "support/controlnodes.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <set>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr milliseconds leaseDuration{1200};
constexpr milliseconds leaseMargin{200};
constexpr milliseconds callTimeout{250};
constexpr milliseconds usageWindow{500};

/** Log, platform and engines as processes; entries and sidecars as threads of the test. */
class ControlBench
{
public:
    explicit ControlBench(int engines)
        : cluster({.entries = 0, .targets = std::vector<TargetOptions>(static_cast<std::size_t>(engines))}), peers(std::make_shared<PeerTable>())
    {
        cluster.startStandIn(cluster.log);
        cluster.startStandIn(cluster.platform);
        std::vector<Member> members{nodeMember("entry-1", "entry", "fd-a", ""), nodeMember("entry-2", "entry", "fd-b", "")};
        for (int engine = 1; engine <= engines; ++engine) {
            cluster.startStandIn(cluster.targets[static_cast<std::size_t>(engine) - 1]);
            members.push_back(nodeMember("sidecar-" + std::to_string(engine), "sidecar", "fd-a", "assistant"));
        }
        list = std::make_shared<const std::vector<Member>>(std::move(members));
    }

    std::unique_ptr<EntryNode> entry(int number, ControlHooks hooks)
    {
        ControlSettings settings;
        const std::string name = "entry-" + std::to_string(number);
        settings.self = {name, randomId()};
        settings.log = cluster.log.endpoint;
        settings.targets = cluster.platform.endpoint;
        settings.usage = cluster.platform.endpoint;
        settings.lease = {.duration = leaseDuration, .margin = leaseMargin};
        settings.grantDuration = milliseconds(600);
        settings.usageWindow = usageWindow;
        settings.usageGrace = milliseconds(100);
        settings.usageReadTimeout = milliseconds(1500);
        settings.callTimeout = callTimeout;
        settings.planInterval = milliseconds(50);
        hooks.members = [shown = list] {
            return shown;
        };
        return std::make_unique<EntryNode>(name, std::move(settings), std::move(hooks), peers);
    }

    std::unique_ptr<SidecarNode> sidecar(int number)
    {
        SidecarControlSettings settings;
        const std::string name = "sidecar-" + std::to_string(number);
        settings.self = {name, randomId()};
        settings.log = cluster.log.endpoint;
        settings.target = cluster.targets[static_cast<std::size_t>(number) - 1].endpoint;
        settings.targetGroup = "assistant";
        settings.grant = {.duration = milliseconds(600), .orderTimeout = milliseconds(300)};
        settings.drainTimeout = milliseconds(2000);
        settings.confirmTimeout = milliseconds(3000);
        settings.pollInterval = milliseconds(20);
        settings.watchInterval = milliseconds(100);
        settings.usageWindow = usageWindow;
        return std::make_unique<SidecarNode>(name, std::move(settings), peers);
    }

    std::size_t platformEvents(const std::string &event) const
    {
        return eventsOf(cluster.journalOf(cluster.platform), event).size();
    }

    std::size_t acceptedOrders() const
    {
        std::size_t accepted = 0;
        for (const Json::Value &order : eventsOf(cluster.targetJournal(), "order")) {
            accepted += order["accepted"].asBool() ? 1 : 0;
        }
        return accepted;
    }

    Cluster cluster;
    std::shared_ptr<PeerTable> peers;
    MemberList list;
};

/** Wants targets started without end. */
ControlHooks startsTargets()
{
    ControlHooks hooks;
    hooks.planTargets = [](const std::string &failureDomain, TimePoint) {
        return std::optional(PlannedTargetOrder{.start = true, .targetGroup = "assistant", .failureDomain = failureDomain, .instance = {}});
    };
    return hooks;
}

/** Wants sidecar-1 in the roles decode and prefill by turns. */
ControlHooks changesRoles(const std::string &instance)
{
    auto decode = std::make_shared<std::atomic<bool>>(false);
    ControlHooks hooks;
    hooks.roleGroups = [] {
        return std::vector<std::string>{"assistant"};
    };
    hooks.planRoles = [decode, instance](const std::string &, const std::set<std::string> &, TimePoint) {
        PlannedEngineOrder order;
        order.instance = instance;
        order.role = *decode ? EngineRole::Prefill : EngineRole::Decode;
        return std::optional(order);
    };
    hooks.onRoleOrderIssued = [decode](const std::string &, const PlannedEngineOrder &order, TimePoint) {
        *decode = order.role == EngineRole::Decode;
    };
    return hooks;
}

void requireNone(const Violations &violations)
{
    for (const std::string &violation : violations) {
        UNSCOPED_INFO(violation);
    }
    REQUIRE(violations.empty());
}

std::set<std::string> recordedOrders(const Cluster &cluster)
{
    std::set<std::string> ids;
    for (const Json::Value &record : cluster.records("orders")) {
        if (record["kind"] != "done") {
            ids.insert(record["orderId"].asString());
        }
    }
    return ids;
}

/** Sum of each workspace's reported figures, each window once. */
std::map<std::string, std::uint64_t> reportedRequests(const Journal &platform)
{
    std::map<std::string, std::uint64_t> sums;
    std::set<std::pair<std::string, std::int64_t>> seen;
    for (const Json::Value &report : eventsOf(platform, "usage")) {
        if (seen.emplace(report["workspace"].asString(), report["window"].asInt64()).second) {
            sums[report["workspace"].asString()] += report["requests"].asUInt64();
        }
    }
    return sums;
}

} // namespace

TEST_CASE("target orders come from one holder and stand in the log first", "[control][platform-orders]")
{
    ControlBench bench(1);
    auto first = bench.entry(1, startsTargets());
    REQUIRE(waitUntil([&bench] {
        return bench.platformEvents("target-start") >= 3;
    }));
    auto second = bench.entry(2, startsTargets());
    bench.cluster.setFaults(bench.cluster.platform, R"({"targets.answerLost": 2})");
    bench.cluster.setFaults(bench.cluster.log, R"({"orders.answerLost": 2, "leases.answerLost": 1})");
    first->thread().pause();
    sleepFor(leaseDuration);
    const std::size_t atPause = bench.platformEvents("target-start");
    REQUIRE(waitUntil([&bench, atPause] {
        return bench.platformEvents("target-start") >= atPause + 4;
    }));
    first->thread().resume();
    sleepFor(leaseDuration);
    second->kill();
    const std::size_t atKill = bench.platformEvents("target-start");
    REQUIRE(waitUntil([&bench, atKill] {
        return bench.platformEvents("target-start") >= atKill + 3;
    }));
    first->kill();
    const Journal journal = bench.cluster.journalOf(bench.cluster.platform);
    requireNone(platformOrdersFromOneHolder(journal, {}));
    const std::set<std::string> recorded = recordedOrders(bench.cluster);
    for (const Json::Value &order : eventsOf(journal, "target-start")) {
        REQUIRE(recorded.contains(order["orderId"].asString()));
    }
}

TEST_CASE("no target order goes out while the log is out", "[control][platform-orders][lost-authority]")
{
    ControlBench bench(1);
    auto entry = bench.entry(1, startsTargets());
    REQUIRE(waitUntil([&bench] {
        return bench.platformEvents("target-start") >= 2;
    }));
    bench.cluster.setFaults(bench.cluster.log, R"({"outage": true})");
    sleepFor(leaseDuration + callTimeout);
    const std::size_t lapsed = bench.platformEvents("target-start");
    sleepFor(leaseDuration * 2);
    REQUIRE(bench.platformEvents("target-start") == lapsed);
    bench.cluster.setFaults(bench.cluster.log, R"({"outage": null})");
    REQUIRE(waitUntil([&bench, lapsed] {
        return bench.platformEvents("target-start") > lapsed;
    }));
}

TEST_CASE("role changes go on through a log outage and pass to the next holder after it", "[control][engine-orders][lost-authority]")
{
    const bool ignoresFences = GENERATE(false, true);
    INFO("engine ignores fencing numbers: " << ignoresFences);
    ControlBench bench(1);
    bench.cluster.setFaults(bench.cluster.targets[0], ignoresFences ? R"({"ignoreFences": true, "changeMs": 100})" : R"({"changeMs": 100})");
    auto sidecar = bench.sidecar(1);
    auto first = bench.entry(1, changesRoles("sidecar-1"));
    REQUIRE(waitUntil([&bench] {
        return bench.acceptedOrders() >= 2;
    }));
    bench.cluster.setFaults(bench.cluster.log, R"({"outage": true})");
    sleepFor(leaseDuration * 2);
    const std::size_t lapsed = bench.acceptedOrders();
    REQUIRE(waitUntil([&bench, lapsed] {
        return bench.acceptedOrders() >= lapsed + 2;
    }));
    auto second = bench.entry(2, changesRoles("sidecar-1"));
    // The holder is paused and the log comes back: the other takes over, also while an answer gets lost.
    first->thread().pause();
    bench.cluster.setFaults(bench.cluster.targets[0], R"({"orders.answerLost": 1})");
    bench.cluster.setFaults(bench.cluster.log, R"({"outage": null})");
    REQUIRE(waitUntil([&second] {
        return second->plane().leases().mayCall(scopes::roles("assistant"), milliseconds(0));
    }));
    const std::size_t taken = bench.acceptedOrders();
    REQUIRE(waitUntil([&bench, taken] {
        return bench.acceptedOrders() >= taken + 2;
    }));
    first->thread().resume();
    sleepFor(leaseDuration);
    sidecar.reset();
    sidecar = bench.sidecar(1);
    const std::size_t restarted = bench.acceptedOrders();
    REQUIRE(waitUntil([&bench, restarted] {
        return bench.acceptedOrders() >= restarted + 2;
    }));
    requireNone(noConflictingEngineOrders(bench.cluster.targetJournal()));
}

TEST_CASE("an order waits until nothing runs and fails rather than cut a request", "[control][planned-change]")
{
    ControlBench bench(1);
    bench.cluster.setFaults(bench.cluster.targets[0], R"({"changeMs": 100})");
    auto sidecar = bench.sidecar(1);
    sidecar->setRunning(1);
    auto entry = bench.entry(1, changesRoles("sidecar-1"));
    REQUIRE(waitUntil([&sidecar] {
        return !sidecar->accepting();
    }));
    REQUIRE(waitUntil([&sidecar] {
        return sidecar->accepting();
    }));
    REQUIRE(bench.acceptedOrders() == 0);
    sidecar->setRunning(0);
    REQUIRE(waitUntil([&bench, &sidecar] {
        return bench.acceptedOrders() >= 1 && sidecar->role() == EngineRole::Decode;
    }));
}

TEST_CASE("an engine that crashes in mid-change gets its next order only after it told its state", "[control][engine-orders]")
{
    ControlBench bench(1);
    bench.cluster.setFaults(bench.cluster.targets[0], R"({"changeMs": 1000})");
    auto sidecar = bench.sidecar(1);
    auto entry = bench.entry(1, changesRoles("sidecar-1"));
    REQUIRE(waitUntil([&bench] {
        return bench.acceptedOrders() >= 1;
    }));
    bench.cluster.targets[0].process->kill();
    sleepFor(milliseconds(500));
    bench.cluster.startStandIn(bench.cluster.targets[0]);
    REQUIRE(waitUntil([&bench] {
        return bench.acceptedOrders() >= 2;
    }));
    REQUIRE(waitUntil([&sidecar] {
        return sidecar->accepting();
    }));
}

TEST_CASE("usage is reported once, through lost answers, an outage and a change of holder", "[control][usage-once]")
{
    ControlBench bench(2);
    auto sidecar1 = bench.sidecar(1);
    auto sidecar2 = bench.sidecar(2);
    auto first = bench.entry(1, {});
    auto second = bench.entry(2, {});
    std::uint64_t served = 0;
    const auto serve = [&](int count) {
        for (int i = 0; i < count; ++i) {
            sidecar1->control().usage().count("bureau", {1, 10, 20});
            sidecar2->control().usage().count("bureau", {1, 10, 20});
            served += 2;
            sleepFor(milliseconds(5));
        }
    };
    const auto allReported = [&] {
        return reportedRequests(bench.cluster.journalOf(bench.cluster.platform))["bureau"] == served;
    };
    serve(100);
    REQUIRE(waitUntil(allReported));
    bench.cluster.setFaults(bench.cluster.platform, R"({"usage.answerLost": 3})");
    bench.cluster.setFaults(bench.cluster.log, R"({"usage.answerLost": 3, "leases.answerLost": 2})");
    serve(150);
    bench.cluster.setFaults(bench.cluster.log, R"({"outage": true})");
    serve(250);
    bench.cluster.setFaults(bench.cluster.log, R"({"outage": null})");
    EntryNode &holder = first->plane().leases().mayCall(scopes::usage, milliseconds(0)) ? *first : *second;
    holder.thread().pause();
    serve(150);
    REQUIRE(waitUntil([&] {
        return bench.platformEvents("usage") > 0;
    }));
    sleepFor(leaseDuration * 2);
    holder.thread().resume();
    serve(100);
    const bool complete = waitUntil(allReported);
    const Journal journal = bench.cluster.journalOf(bench.cluster.platform);
    INFO("served " << served << ", reported " << reportedRequests(journal)["bureau"]);
    REQUIRE(complete);
    requireNone(usageOncePerWindow(journal));
}
