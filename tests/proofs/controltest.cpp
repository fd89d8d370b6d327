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

/** Runs log, platform and engines as processes, and entries and sidecars as threads of the test. */
class ControlTestCluster
{
public:
    explicit ControlTestCluster(int engines)
        : cluster({.entries = 0, .targets = std::vector<TargetOptions>(static_cast<std::size_t>(engines))}), peers(std::make_shared<PeerTable>())
    {
        cluster.startStandIn(cluster.log);
        cluster.startStandIn(cluster.platform);
        std::vector<Member> members{nodeMember("entry-1", "entry", "fd-a", ""), nodeMember("entry-2", "entry", "fd-b", "")};
        for (int engine = 1; engine <= engines; ++engine) {
            cluster.startStandIn(cluster.targets[static_cast<std::size_t>(engine) - 1]);
            members.push_back(nodeMember("sidecar-" + std::to_string(engine), "sidecar", "fd-a", "assistant"));
        }
        memberList = std::make_shared<const std::vector<Member>>(std::move(members));
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
        hooks.members = [shownMembers = memberList] {
            return shownMembers;
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
    MemberList memberList;
};

/** Hooks that plan the start of another target every time. */
ControlHooks planTargetStarts()
{
    ControlHooks hooks;
    hooks.planTargets = [](const std::string &failureDomain, TimePoint) {
        return std::optional(PlannedTargetOrder{.start = true, .targetGroup = "assistant", .failureDomain = failureDomain, .instance = {}});
    };
    return hooks;
}

/** Hooks that plan the roles decode and prefill in turn for one sidecar. */
ControlHooks planAlternatingRoles(const std::string &instance)
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

void requireNoViolations(const Violations &violations)
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

/** Number of reported requests by workspace; repeated reports of a window count once. */
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

TEST_CASE("target orders come from one holder and are logged before they are sent", "[control][platform-orders]")
{
    ControlTestCluster setup(1);
    auto first = setup.entry(1, planTargetStarts());
    REQUIRE(waitUntil([&setup] {
        return setup.platformEvents("target-start") >= 3;
    }));
    auto second = setup.entry(2, planTargetStarts());
    setup.cluster.setFaults(setup.cluster.platform, R"({"targets.answerLost": 2})");
    setup.cluster.setFaults(setup.cluster.log, R"({"orders.answerLost": 2, "leases.answerLost": 1})");
    first->thread().pause();
    sleepFor(leaseDuration);
    const std::size_t countAtPause = setup.platformEvents("target-start");
    REQUIRE(waitUntil([&setup, countAtPause] {
        return setup.platformEvents("target-start") >= countAtPause + 4;
    }));
    first->thread().resume();
    sleepFor(leaseDuration);
    second->kill();
    const std::size_t countAtKill = setup.platformEvents("target-start");
    REQUIRE(waitUntil([&setup, countAtKill] {
        return setup.platformEvents("target-start") >= countAtKill + 3;
    }));
    first->kill();
    const Journal journal = setup.cluster.journalOf(setup.cluster.platform);
    requireNoViolations(platformOrdersFromOneHolder(journal, {}));
    const std::set<std::string> recorded = recordedOrders(setup.cluster);
    for (const Json::Value &order : eventsOf(journal, "target-start")) {
        REQUIRE(recorded.contains(order["orderId"].asString()));
    }
}

TEST_CASE("no target order is sent during a log outage", "[control][platform-orders][lost-authority]")
{
    ControlTestCluster setup(1);
    auto entry = setup.entry(1, planTargetStarts());
    REQUIRE(waitUntil([&setup] {
        return setup.platformEvents("target-start") >= 2;
    }));
    setup.cluster.setFaults(setup.cluster.log, R"({"outage": true})");
    sleepFor(leaseDuration + callTimeout);
    const std::size_t countAtExpiry = setup.platformEvents("target-start");
    sleepFor(leaseDuration * 2);
    REQUIRE(setup.platformEvents("target-start") == countAtExpiry);
    setup.cluster.setFaults(setup.cluster.log, R"({"outage": null})");
    REQUIRE(waitUntil([&setup, countAtExpiry] {
        return setup.platformEvents("target-start") > countAtExpiry;
    }));
}

TEST_CASE("role changes continue during a log outage and pass to the next holder after it", "[control][engine-orders][lost-authority]")
{
    const bool ignoresFencingTokens = GENERATE(false, true);
    INFO("engine ignores fencing tokens: " << ignoresFencingTokens);
    ControlTestCluster setup(1);
    setup.cluster.setFaults(setup.cluster.targets[0], ignoresFencingTokens ? R"({"ignoreFences": true, "changeMs": 100})" : R"({"changeMs": 100})");
    auto sidecar = setup.sidecar(1);
    auto first = setup.entry(1, planAlternatingRoles("sidecar-1"));
    REQUIRE(waitUntil([&setup] {
        return setup.acceptedOrders() >= 2;
    }));
    setup.cluster.setFaults(setup.cluster.log, R"({"outage": true})");
    sleepFor(leaseDuration * 2);
    const std::size_t countAtExpiry = setup.acceptedOrders();
    REQUIRE(waitUntil([&setup, countAtExpiry] {
        return setup.acceptedOrders() >= countAtExpiry + 2;
    }));
    auto second = setup.entry(2, planAlternatingRoles("sidecar-1"));
    // The holder is paused and the log becomes available: the other entry takes over although a response is lost.
    first->thread().pause();
    setup.cluster.setFaults(setup.cluster.targets[0], R"({"orders.answerLost": 1})");
    setup.cluster.setFaults(setup.cluster.log, R"({"outage": null})");
    REQUIRE(waitUntil([&second] {
        return second->plane().leases().mayCall(scopes::roles("assistant"), milliseconds(0));
    }));
    const std::size_t countAtTakeover = setup.acceptedOrders();
    REQUIRE(waitUntil([&setup, countAtTakeover] {
        return setup.acceptedOrders() >= countAtTakeover + 2;
    }));
    first->thread().resume();
    sleepFor(leaseDuration);
    sidecar.reset();
    sidecar = setup.sidecar(1);
    const std::size_t countAtRestart = setup.acceptedOrders();
    REQUIRE(waitUntil([&setup, countAtRestart] {
        return setup.acceptedOrders() >= countAtRestart + 2;
    }));
    requireNoViolations(noConflictingEngineOrders(setup.cluster.targetJournal()));
}

TEST_CASE("an order waits until no request runs and fails rather than interrupt one", "[control][planned-change]")
{
    ControlTestCluster setup(1);
    setup.cluster.setFaults(setup.cluster.targets[0], R"({"changeMs": 100})");
    auto sidecar = setup.sidecar(1);
    sidecar->setRunning(1);
    auto entry = setup.entry(1, planAlternatingRoles("sidecar-1"));
    REQUIRE(waitUntil([&sidecar] {
        return !sidecar->accepting();
    }));
    REQUIRE(waitUntil([&sidecar] {
        return sidecar->accepting();
    }));
    REQUIRE(setup.acceptedOrders() == 0);
    sidecar->setRunning(0);
    REQUIRE(waitUntil([&setup, &sidecar] {
        return setup.acceptedOrders() >= 1 && sidecar->role() == EngineRole::Decode;
    }));
}

TEST_CASE("an engine that crashes during a role change gets its next order only after it reported its state", "[control][engine-orders]")
{
    ControlTestCluster setup(1);
    setup.cluster.setFaults(setup.cluster.targets[0], R"({"changeMs": 1000})");
    auto sidecar = setup.sidecar(1);
    auto entry = setup.entry(1, planAlternatingRoles("sidecar-1"));
    REQUIRE(waitUntil([&setup] {
        return setup.acceptedOrders() >= 1;
    }));
    setup.cluster.targets[0].process->kill();
    sleepFor(milliseconds(500));
    setup.cluster.startStandIn(setup.cluster.targets[0]);
    REQUIRE(waitUntil([&setup] {
        return setup.acceptedOrders() >= 2;
    }));
    REQUIRE(waitUntil([&sidecar] {
        return sidecar->accepting();
    }));
}

TEST_CASE("usage is reported once despite lost responses, a log outage and a change of holder", "[control][usage-once]")
{
    ControlTestCluster setup(2);
    auto sidecar1 = setup.sidecar(1);
    auto sidecar2 = setup.sidecar(2);
    auto first = setup.entry(1, {});
    auto second = setup.entry(2, {});
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
        return reportedRequests(setup.cluster.journalOf(setup.cluster.platform))["bureau"] == served;
    };
    serve(100);
    REQUIRE(waitUntil(allReported));
    setup.cluster.setFaults(setup.cluster.platform, R"({"usage.answerLost": 3})");
    setup.cluster.setFaults(setup.cluster.log, R"({"usage.answerLost": 3, "leases.answerLost": 2})");
    serve(150);
    setup.cluster.setFaults(setup.cluster.log, R"({"outage": true})");
    serve(250);
    setup.cluster.setFaults(setup.cluster.log, R"({"outage": null})");
    EntryNode &holder = first->plane().leases().mayCall(scopes::usage, milliseconds(0)) ? *first : *second;
    holder.thread().pause();
    serve(150);
    REQUIRE(waitUntil([&] {
        return setup.platformEvents("usage") > 0;
    }));
    sleepFor(leaseDuration * 2);
    holder.thread().resume();
    serve(100);
    const bool complete = waitUntil(allReported);
    const Journal journal = setup.cluster.journalOf(setup.cluster.platform);
    INFO("served " << served << ", reported " << reportedRequests(journal)["bureau"]);
    REQUIRE(complete);
    requireNoViolations(usageOncePerWindow(journal));
}
