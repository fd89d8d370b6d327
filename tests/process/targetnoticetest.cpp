#include <process/targetregistry.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace snipehill;

namespace
{

const TimePoint start(seconds(1000));

TargetEntry entryOf(const std::string &id, std::int64_t started = 1, const std::string &group = "g")
{
    return {.id = id, .group = group, .address = "10.0.0.1:80", .failureDomain = "fd-a", .slots = 4, .startTimeMs = started};
}

TargetRef refOf(const TargetEntry &entry)
{
    return {.group = entry.group, .id = entry.id, .run = targetRun(entry)};
}

/** Registry with the targets t1 and t2 of the group g. */
struct Targets
{
    Targets()
    {
        registry.apply(entryOf("t1"));
        registry.apply(entryOf("t2"));
    }

    /** Targets of the group that get calls, in the order in which they are chosen. */
    std::vector<std::string> chosen(TimePoint now, const std::string &group = "g")
    {
        std::vector<std::string> ids;
        Reason reason;
        while (const auto placed = registry.placeCall(group, ids, 0, now, reason)) {
            registry.release(placed->run, now);
            ids.push_back(placed->run.target.id);
        }
        std::sort(ids.begin(), ids.end());
        return ids;
    }

    TargetRegistry registry{TargetRegistrySettings{.instance = "entry-1", .failureDomain = "fd-a"}};
};

const std::vector<std::string> both{"t1", "t2"};
const std::vector<std::string> second{"t2"};

} // namespace

// Guards against forgetting that a run is leaving when its record changes, and against keeping it from the run that follows.
TEST_CASE("What a run has said of its end holds for that run, whatever becomes of its record", "[targets][statements]")
{
    struct Case
    {
        const char *what;
        std::function<void(TargetRegistry &)> change;
        std::vector<std::string> chosen;
    };
    const std::vector<Case> cases{
        {"record unchanged", [](TargetRegistry &) {}, second},
        {"record written again",
         [](TargetRegistry &registry) {
             registry.apply(entryOf("t1"));
         },
         second},
        {"record removed and written again",
         [](TargetRegistry &registry) {
             registry.remove("t1");
             registry.apply(entryOf("t1"));
         },
         second},
        {"new run under the same id",
         [](TargetRegistry &registry) {
             registry.apply(entryOf("t1", 2));
         },
         both},
        {"new run, then the record of the old one from an older copy",
         [](TargetRegistry &registry) {
             registry.apply(entryOf("t1", 2));
             registry.apply(entryOf("t1", 1));
         },
         second},
        {"record moved to another group and back",
         [](TargetRegistry &registry) {
             registry.apply(entryOf("t1", 1, "other"));
             registry.apply(entryOf("t1"));
         },
         second},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        Targets targets;
        CHECK(targets.registry.recordLeaving(refOf(entryOf("t1")), start).changed);
        CHECK_FALSE(targets.registry.recordLeaving(refOf(entryOf("t1")), start).changed);
        c.change(targets.registry);
        CHECK(targets.chosen(start + seconds(120)) == c.chosen);
    }
}

// Guards against applying a late response of an ended run to the run that has taken its place, and against losing a statement that comes before its record.
TEST_CASE("A statement is applied to the run that made it", "[targets][statements]")
{
    Targets targets;
    targets.registry.apply(entryOf("t1", 2));
    CHECK(targets.registry.recordLeaving(refOf(entryOf("t1", 1)), start).record == std::string("other run"));
    CHECK(targets.chosen(start) == both);
    CHECK(targets.registry.recordLeaving(refOf(entryOf("t3")), start).record == std::string("none"));
    targets.registry.apply(entryOf("t3"));
    CHECK(targets.chosen(start) == both);
}

// Guards against a target that stays out of use for good because its records don't show that it has restarted.
TEST_CASE("A target whose records don't tell its runs apart is used again some time after it said that it leaves", "[targets][statements]")
{
    Targets targets;
    targets.registry.apply(entryOf("t1", 0));
    targets.registry.recordLeaving(refOf(entryOf("t1", 0)), start);
    CHECK(targets.chosen(start + seconds(59)) == second);
    CHECK(targets.chosen(start + seconds(61)) == both);
}

// Guards against role plans that count on engines which are about to end.
TEST_CASE("The records of targets that said that they leave are shown as draining", "[targets][statements]")
{
    Targets targets;
    targets.registry.recordLeaving(refOf(entryOf("t1")), start);
    for (const TargetEntry &entry : targets.registry.entries(start)) {
        CHECK(entry.draining == (entry.id == "t1"));
    }
    CHECK_FALSE(targets.registry.acceptsWork(refOf(entryOf("t1")), start));
    CHECK(targets.registry.acceptsWork(refOf(entryOf("t2")), start));
}

// Guards against requests that are sent although the target has said since it was chosen that it wants none.
TEST_CASE("Sends to a target are barred by what it has said and by its record", "[targets][statements]")
{
    Targets targets;
    const TargetRef t1 = refOf(entryOf("t1"));
    CHECK_FALSE(targets.registry.sendBar(t1, start));
    CHECK(targets.registry.recordPause(t1, start + seconds(2), start).changed);
    CHECK_FALSE(targets.registry.recordPause(t1, start + seconds(1), start).changed);
    const auto paused = targets.registry.sendBar(t1, start + milliseconds(1999));
    REQUIRE(paused);
    CHECK(paused->reason == SendBarReason::Paused);
    CHECK(paused->until == start + seconds(2));
    CHECK_FALSE(targets.registry.sendBar(t1, start + seconds(2)));
    targets.registry.recordLeaving(t1, start);
    CHECK(targets.registry.sendBar(t1, start)->reason == SendBarReason::Leaving);
    targets.registry.remove("t2");
    CHECK(targets.registry.sendBar(refOf(entryOf("t2")), start)->reason == SendBarReason::Leaving);
    CHECK(targets.registry.sendBar({.group = "unknown", .id = "t1"}, start));
}

// Guards against statements that never reach the other entries, or travel on for ever from one to the next.
TEST_CASE("Entries announce the leaving runs that told them so, for a time", "[targets][statements]")
{
    Targets teller;
    Targets listener;
    listener.registry.remove("t2");
    for (const char *id : {"t1", "t2"}) {
        teller.registry.recordLeaving(refOf(entryOf(id)), start);
    }
    PeerUpdate told;
    teller.registry.fillPeerUpdate(told, start + seconds(5));
    Reason reason;
    const auto received = decodePeerUpdate(encodePeerUpdate([&] {
                                               told.sender = {"entry-1", 7};
                                               return told;
                                           }()),
                                           reason);
    REQUIRE(received);
    CHECK(received->leavingRuns.size() == 2);
    CHECK(received->leavingRuns.at(targetRun(entryOf("t1"))) == seconds(5));
    CHECK(listener.registry.applyPeerUpdate(*received, start + seconds(5)).leaving == std::vector<std::string>{"t1"});
    CHECK(listener.registry.applyPeerUpdate(*received, start + seconds(5)).leaving.empty());
    listener.registry.apply(entryOf("t2"));
    CHECK(listener.chosen(start + seconds(6)).empty());
    PeerUpdate passedOn;
    listener.registry.fillPeerUpdate(passedOn, start + seconds(6));
    CHECK(passedOn.leavingRuns.empty());
    PeerUpdate later;
    teller.registry.fillPeerUpdate(later, start + seconds(31));
    CHECK(later.leavingRuns.empty());
}

// Guards against sends in a pause, and against callers who are told to come back before any target takes requests again.
TEST_CASE("Targets that want a pause are not chosen, and the shortest pause of all is known", "[targets][statements]")
{
    Targets targets;
    const TargetRef t1 = refOf(entryOf("t1"));
    const TargetRef t2 = refOf(entryOf("t2"));
    targets.registry.recordPause(t1, start + seconds(3), start);
    CHECK(targets.chosen(start) == second);
    CHECK_FALSE(targets.registry.shortestPause("g", start));
    targets.registry.recordPause(t2, start + seconds(5), start);
    CHECK(targets.chosen(start).empty());
    CHECK(targets.registry.shortestPause("g", start + seconds(1)) == seconds(2));
    CHECK(targets.registry.acceptsWork(t1, start));
    targets.registry.remove("t1");
    targets.registry.apply(entryOf("t1"));
    CHECK(targets.chosen(start + milliseconds(2999)).empty());
    CHECK(targets.chosen(start + seconds(3)) == std::vector<std::string>{"t1"});
    targets.registry.apply(entryOf("t2", 2));
    CHECK(targets.chosen(start + seconds(3)) == both);
    CHECK_FALSE(targets.registry.shortestPause("unknown", start));
}

// Guards against prompts on engines that want a pause, also as the source of a KV cache, and against waiting for a prefill engine.
TEST_CASE("Engines that want a pause get no prompt", "[targets][statements]")
{
    struct Case
    {
        const char *what;
        std::vector<std::string> paused;
        std::string chosen; //!< engine that runs the prompt
        bool pauseKnown;
    };
    const std::vector<Case> cases{
        {"none", {}, "d1", false},
        {"the prefill engine", {"p"}, "d1", false},
        {"one decode engine", {"d1"}, "d2", false},
        {"all decode engines", {"d1", "d2"}, "none", true},
        {"all", {"d1", "d2", "p"}, "none", true},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        TargetRegistry registry(TargetRegistrySettings{.instance = "entry-1", .failureDomain = "fd-a"});
        for (const auto &[id, role] :
             std::vector<std::pair<std::string, EngineRole>>{{"d1", EngineRole::Decode}, {"d2", EngineRole::Decode}, {"p", EngineRole::Prefill}}) {
            TargetEntry entry = entryOf(id);
            entry.role = role;
            registry.apply(entry);
        }
        for (const std::string &id : c.paused) {
            registry.recordPause(refOf(entryOf(id)), start + seconds(2), start);
        }
        Reason reason;
        const auto placed = registry.placePrompt(
            {.name = "g", .engine = EngineProperties{.slots = 4}}, {.promptTokens = 300, .failureDomain = "fd-a"}, {}, {}, start, reason);
        CHECK((placed ? placed->run.target.id : "none") == c.chosen);
        CHECK(registry.shortestPause("g", start).has_value() == c.pauseKnown);
    }
}
