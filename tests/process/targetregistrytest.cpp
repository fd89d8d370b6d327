#include <process/targetregistry.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace snipehill;

namespace
{

const TimePoint start(seconds(1000));

TargetEntry service(const std::string &id, const std::string &failureDomain = "fd-a", std::int64_t started = 1)
{
    return {.id = id, .group = "g", .address = "10.0.0.1:80", .failureDomain = failureDomain, .slots = 4, .startTimeMs = started};
}

TargetRegistrySettings settings()
{
    return {.instance = "entry-1", .failureDomain = "fd-a"};
}

std::string choose(TargetRegistry &registry, TimePoint now, std::vector<std::string> tried = {})
{
    Reason reason;
    const auto placed = registry.placeCall("g", tried, 0, now, reason);
    return placed ? placed->run.target.id : "none";
}

/** Places a short prompt, releases it at once and returns the id of its engine. */
std::string placeShort(TargetRegistry &registry, TimePoint now)
{
    Reason reason;
    const auto placed
        = registry.placePrompt({.name = "g", .engine = EngineProperties{.slots = 4}}, {.promptTokens = 300, .failureDomain = "fd-a"}, {}, {}, now, reason);
    if (placed) {
        registry.release(placed->run, now);
    }
    return placed ? placed->run.target.id : "none";
}

TargetEntry engine(const std::string &id, EngineRole role)
{
    TargetEntry entry = service(id);
    entry.role = role;
    return entry;
}

} // namespace

TEST_CASE("Targets that are leaving, replaced or removed get no work", "[targets]")
{
    TargetRegistry registry(settings());
    CHECK(choose(registry, start) == "none");
    CHECK(registry.apply(service("t1")));
    CHECK(!registry.apply(service("t1")));
    CHECK(choose(registry, start) == "t1");
    CHECK(choose(registry, start, {"t1"}) == "none");
    TargetEntry leaving = service("t1");
    leaving.draining = true;
    CHECK(registry.apply(leaving));
    CHECK(!registry.acceptsWork({.group = "g", .id = "t1"}, start));
    CHECK(choose(registry, start) == "none");
    CHECK(registry.apply(service("t1")));
    registry.markReplaced({.group = "g", .id = "t1"});
    CHECK(choose(registry, start) == "none");
    CHECK(registry.apply(service("t1", "fd-a", 2)));
    CHECK(choose(registry, start) == "t1");
    CHECK(registry.acceptsWork({.group = "g", .id = "t1"}, start));
    CHECK(registry.remove("t1"));
    CHECK(!registry.acceptsWork({.group = "g", .id = "t1"}, start));
    CHECK(!registry.remove("t1"));
    CHECK(choose(registry, start) == "none");
}

TEST_CASE("Calls stay in the own failure domain until its target is much busier", "[targets]")
{
    TargetRegistry registry(settings());
    registry.apply(service("near"));
    registry.apply(service("far", "fd-b"));
    int near = 0;
    while (choose(registry, start) == "near") {
        REQUIRE(++near < 100);
    }
    CHECK(near >= 3);
    CHECK(near <= 8);
}

TEST_CASE("A failed target is avoided for longer with each consecutive failure, until it answers", "[targets]")
{
    TargetRegistry registry(settings());
    registry.apply(service("t1"));
    registry.apply(service("t2", "fd-b"));
    const TargetRef t1{.group = "g", .id = "t1"};
    registry.recordFailure(t1, start);
    CHECK(choose(registry, start + milliseconds(900)) == "t2");
    CHECK(choose(registry, start + milliseconds(1100)) == "t1");
    registry.recordFailure(t1, start + milliseconds(1100));
    CHECK(choose(registry, start + milliseconds(3000)) == "t2");
    CHECK(choose(registry, start + milliseconds(3200)) == "t1");
    registry.recordFailure(t1, start + milliseconds(3200));
    CHECK(choose(registry, start + milliseconds(7100)) == "t2");
    registry.recordResponse(t1, std::nullopt, start + milliseconds(7150));
    CHECK(choose(registry, start + milliseconds(7160)) == "t1");
}

// Guards against a backoff that grows with the number of requests on a target instead of the number of its failures.
TEST_CASE("Many requests that fail in one pause of a target cause one backoff", "[targets]")
{
    struct Case
    {
        int failures;
        milliseconds apart;
    };
    for (const Case &c : {Case{1, milliseconds(0)}, Case{2, milliseconds(0)}, Case{16, milliseconds(0)}, Case{40, milliseconds(20)}}) {
        INFO(c.failures << " failures, one each " << c.apart.count() << " ms");
        TargetRegistry registry(settings());
        registry.apply(service("t1"));
        registry.apply(service("t2", "fd-b"));
        const TargetRef t1{.group = "g", .id = "t1"};
        for (int i = 0; i < c.failures; ++i) {
            registry.recordFailure(t1, start + i * c.apart);
        }
        CHECK(choose(registry, start + milliseconds(900)) == "t2");
        CHECK(choose(registry, start + milliseconds(1100)) == "t1");
        registry.recordFailure(t1, start + milliseconds(1200));
        CHECK(choose(registry, start + milliseconds(3100)) == "t2");
        CHECK(choose(registry, start + milliseconds(3300)) == "t1");
    }
}

TEST_CASE("Load of other entries counts until their updates expire", "[targets]")
{
    TargetRegistry mine(settings());
    mine.apply(service("t1"));
    mine.apply(service("t2", "fd-b"));
    PeerUpdate update{.sender = {"entry-2", 5}};
    update.loads[targetHash("t1")] = {.running = 12};
    mine.applyPeerUpdate(update, start);
    CHECK(choose(mine, start + milliseconds(100)) == "t2");
    CHECK(choose(mine, start + seconds(2)) == "t1");
}

TEST_CASE("Cached prompt blocks are shared with other entries and dropped when their target restarts", "[targets]")
{
    const GroupRule group{.name = "g", .engine = EngineProperties{.slots = 4, .kvCacheTokens = 100000}};
    const std::vector<PrefixBlock> parts{{77, 9000}, {78, 1000}};
    const PromptDemand demand{.promptTokens = 10000, .failureDomain = "fd-a"};
    const auto firstToken = [&](TargetRegistry &registry) {
        Reason reason;
        const auto placed = registry.placePrompt(group, demand, parts, {}, start, reason);
        REQUIRE(placed);
        registry.finishPrefill(placed->run, start + placed->firstToken);
        registry.release(placed->run, start + placed->firstToken);
        return placed->firstToken;
    };
    TargetRegistry first(settings());
    TargetRegistry second(settings());
    first.apply(service("t1"));
    second.apply(service("t1"));
    const Duration cold = firstToken(first);
    PeerUpdate update{.sender = {"entry-1", 1}};
    first.fillPeerUpdate(update, start);
    REQUIRE(update.routedBlocks.size() == 1);
    second.applyPeerUpdate(update, start);
    CHECK(firstToken(second) < cold / 2);
    second.apply(service("t1", "fd-a", 2));
    CHECK(firstToken(second) > cold / 2);
}

TEST_CASE("A prompt whose prediction exceeds its bounds reserves nothing", "[targets]")
{
    const GroupRule group{.name = "g", .engine = EngineProperties{.slots = 4}};
    TargetRegistry registry(settings());
    registry.apply(service("t1"));
    PromptDemand demand{.promptTokens = 10000, .failureDomain = "fd-a"};
    demand.bounds.latestFirstToken = milliseconds(50);
    Reason reason;
    const auto refused = registry.placePrompt(group, demand, {}, {}, start, reason);
    REQUIRE(refused);
    CHECK(!refused->reserved);
    PeerUpdate update{.sender = {"entry-1", 1}};
    registry.fillPeerUpdate(update, start);
    CHECK(update.loads.empty());
    CHECK(update.routedBlocks.empty());
}

TEST_CASE("An engine that changes its role gets no prompts from any entry until its record shows the new role", "[targets]")
{
    TargetRegistry orderer(settings());
    TargetRegistry other({.instance = "entry-2", .failureDomain = "fd-a"});
    for (TargetRegistry *registry : {&orderer, &other}) {
        registry->apply(engine("changing", EngineRole::Decode));
        registry->apply(engine("steady", EngineRole::Decode));
        CHECK(placeShort(*registry, start) == "changing");
    }
    orderer.recordRoleChange("changing", EngineRole::Prefill, start + seconds(6));
    PeerUpdate update{.sender = {"entry-1", 1}};
    orderer.fillPeerUpdate(update, start);
    CHECK(other.applyPeerUpdate(update, start).roleChanges == std::vector<std::string>{"changing"});
    CHECK(other.applyPeerUpdate(update, start).roleChanges.empty());
    for (TargetRegistry *registry : {&orderer, &other}) {
        CHECK(placeShort(*registry, start + seconds(5)) == "steady");
        CHECK(placeShort(*registry, start + seconds(7)) == "changing");
        registry->apply(engine("changing", EngineRole::Prefill));
        registry->apply(engine("changing", EngineRole::Decode));
        CHECK(placeShort(*registry, start + seconds(5)) == "steady");
    }
    PeerUpdate later{.sender = {"entry-2", 1}};
    other.fillPeerUpdate(later, start + seconds(1));
    CHECK(later.roleChanges.empty());
}

TEST_CASE("An engine that refuses prompts at once does not attract further prompts", "[targets]")
{
    TargetRegistry registry(settings());
    registry.apply(engine("refusing", EngineRole::Decode));
    registry.apply(engine("steady", EngineRole::Decode));
    const TargetRef refusing{.group = "g", .id = "refusing"};
    int refused = 0;
    for (milliseconds time{0}; time < seconds(3); time += milliseconds(5)) {
        if (placeShort(registry, start + time) == "refusing") {
            ++refused;
            registry.recordResponse(refusing, std::nullopt, start + time);
            registry.recordPromptRefused(refusing, start + time);
        }
    }
    CHECK(refused <= 5);
    registry.recordPromptAccepted(refusing);
    CHECK(placeShort(registry, start + seconds(3)) == "refusing");
}

TEST_CASE("An engine whose KV cache cannot be fetched is not used for separate prefill", "[targets]")
{
    TargetRegistry registry(settings());
    registry.apply(engine("lapsing", EngineRole::Prefill));
    registry.apply(engine("steady", EngineRole::Prefill));
    registry.apply(engine("runner", EngineRole::Decode));
    const auto reader = [&](TimePoint now) {
        Reason reason;
        const GroupRule group{.name = "g", .engine = EngineProperties{.slots = 4, .kvCacheTokens = 100000, .kvBytesPerToken = 1000, .linkBitsPerSecond = 1e12}};
        const auto placed = registry.placePrompt(group, {.promptTokens = 9000, .failureDomain = "fd-a"}, {}, {}, now, reason);
        REQUIRE(placed);
        REQUIRE(placed->prefill);
        registry.release(*placed->prefill, now);
        registry.release(placed->run, now);
        return placed->prefill->target.id;
    };
    CHECK(reader(start) == "lapsing");
    registry.recordKvTransfer({.group = "g", .id = "lapsing"}, false, start);
    CHECK(reader(start + milliseconds(100)) == "steady");
    registry.recordKvTransfer({.group = "g", .id = "lapsing"}, true, start + milliseconds(100));
    CHECK(reader(start + milliseconds(100)) == "lapsing");
}

// With many entries, each contributes only a small part of an engine's backlog. Guards against ignoring or ageing out these parts.
TEST_CASE("Small backlogs of many entries add up, even if their updates are some time old", "[targets][load]")
{
    struct Case
    {
        int entries;
        milliseconds backlogPerEntry;
        milliseconds age;
    };
    const std::vector<Case> cases{
        {3, milliseconds(100), milliseconds(90)}, {26, milliseconds(40), milliseconds(390)}, {200, milliseconds(5), milliseconds(900)}};
    for (const Case &c : cases) {
        INFO(c.entries << " entries");
        TargetRegistry registry(settings());
        registry.apply(engine("busy", EngineRole::Decode));
        registry.apply(engine("idle", EngineRole::Decode));
        for (int entry = 0; entry < c.entries; ++entry) {
            PeerUpdate update{.sender = {"other-" + std::to_string(entry), 1}};
            update.loads[targetHash("busy")] = {.backlog = c.backlogPerEntry, .running = 1};
            registry.applyPeerUpdate(update, start);
        }
        Reason reason;
        const GroupRule group{.name = "g", .engine = EngineProperties{.slots = 1000}};
        const std::vector<std::string> tried{"idle"};
        const auto placed = registry.placePrompt(group, {.promptTokens = 300, .failureDomain = "fd-a"}, {}, tried, start + c.age, reason);
        REQUIRE(placed);
        CHECK(placed->wait >= c.entries * c.backlogPerEntry);
        CHECK(placeShort(registry, start + c.age) == "idle");
    }
}
