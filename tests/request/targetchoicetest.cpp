#include <request/targetchoice.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace snipehill;

namespace
{

TargetView engine(const std::string &instance)
{
    TargetView view;
    view.instance = instance;
    view.reported = true;
    view.report.slots = 8;
    view.report.prefillTokensPerSecond = 4000;
    view.report.decodeTokensPerSecond = 200;
    return view;
}

std::string chosen(const std::vector<TargetView> &targets, const PlacementRequest &request, const std::vector<std::string> &tried = {}, std::uint64_t draw = 1)
{
    Reason reason;
    const auto choice = chooseTarget(targets, request, tried, draw, ChoiceSettings{}, reason);
    return choice ? choice->instance : std::string();
}

} // namespace

TEST_CASE("The cheaper of two targets is chosen", "[request]")
{
    struct Case
    {
        const char *name;
        std::function<void(TargetView &)> worsen;
    };
    const PlacementRequest request{2000, 100};
    for (const Case &c : std::vector<Case>{
             {"queued prompts",
              [](TargetView &view) {
                  view.report.queuedPrefillTokens = 8000;
              }},
             {"own requests since the report",
              [](TargetView &view) {
                  view.outstanding.prefillTokens = 8000;
              }},
             {"no free slot",
              [](TargetView &view) {
                  view.report.running = 8;
                  view.report.queuedDecodeTokens = 800;
              }},
             {"streams on the same target",
              [](TargetView &view) {
                  view.report.running = 4;
              }},
             {"slow prefill",
              [](TargetView &view) {
                  view.report.prefillTokensPerSecond = 1000;
              }},
             {"old report",
              [](TargetView &view) {
                  view.reportAge = seconds(4);
              }},
             {"no report",
              [](TargetView &view) {
                  view.reported = false;
              }},
             {"crashed recently",
              [](TargetView &view) {
                  view.suspect = true;
              }},
             {"role for the other kind of work",
              [](TargetView &view) {
                  view.report.role = EngineRole::Prefill;
              }},
             {"leaving",
              [](TargetView &view) {
                  view.leaving = true;
              }},
             {"unreachable",
              [](TargetView &view) {
                  view.unreachable = true;
              }},
             {"not accepting",
              [](TargetView &view) {
                  view.report.accepting = false;
              }},
         }) {
        INFO(c.name);
        std::vector<TargetView> targets{engine("a"), engine("b")};
        c.worsen(targets[0]);
        CHECK(chosen(targets, request) == "b");
        std::swap(targets[0].instance, targets[1].instance);
        CHECK(chosen(targets, request) == "a");
    }
}

TEST_CASE("A cached prefix is weighed against load", "[request]")
{
    const PlacementRequest request{4000, 100};
    std::vector<TargetView> targets{engine("a"), engine("b")};
    targets[0].cachedPromptTokens = 3900;
    CHECK(chosen(targets, request) == "a");
    targets[0].report.queuedPrefillTokens = 2000; // half a second of wait against one second of prefill
    CHECK(chosen(targets, request) == "a");
    targets[0].report.queuedPrefillTokens = 8000;
    CHECK(chosen(targets, request) == "b");
}

TEST_CASE("The target with the most cached prompt tokens is always compared", "[request]")
{
    std::vector<TargetView> targets;
    targets.reserve(100);
    for (int i = 0; i < 50; ++i) {
        targets.push_back(engine("t" + std::to_string(i)));
    }
    targets[37].cachedPromptTokens = 3900;
    for (std::uint64_t draw = 0; draw < 50; ++draw) {
        CHECK(chosen(targets, {4000, 100}, {}, draw) == "t37");
    }
}

TEST_CASE("Tried targets are excluded, and an empty choice gives the reason", "[request]")
{
    const std::vector<TargetView> targets{engine("a"), engine("b")};
    CHECK(chosen(targets, {100, 10}, {"a"}) == "b");
    Reason reason;
    const std::vector<std::string> both{"a", "b"};
    CHECK_FALSE(chooseTarget(targets, {100, 10}, both, 1, {}, reason));
    CHECK(reason.step == Step::ChooseTarget);
    CHECK_FALSE(chooseTarget({}, {100, 10}, {}, 1, {}, reason));
    CHECK(reason.detail == "the target group has no live target");
}

TEST_CASE("A duplicate runs on the instance of the original request while that target is eligible", "[request]")
{
    std::vector<TargetView> targets{engine("a"), engine("b"), engine("c")};
    targets[1].report.queuedPrefillTokens = 90000;
    PlacementRequest request{100, 10};
    request.colocateWith = "b";
    CHECK(chosen(targets, request) == "b");
    CHECK(chosen(targets, request, {"b"}) != "b");
    targets[1].unreachable = true;
    CHECK(chosen(targets, request) != "b");
}

TEST_CASE("Random sampling spreads requests evenly over equal targets", "[request]")
{
    std::vector<TargetView> targets;
    targets.reserve(100);
    for (int i = 0; i < 10; ++i) {
        targets.push_back(engine("t" + std::to_string(i)));
    }
    std::map<std::string, int> counts;
    for (std::uint64_t draw = 0; draw < 10000; ++draw) {
        ++counts[chosen(targets, {100, 10}, {}, draw)];
    }
    for (const auto &[instance, count] : counts) {
        CHECK(count > 700);
        CHECK(count < 1300);
    }
}

TEST_CASE("Duplicates of an isolated request go to the same target regardless of load", "[request]")
{
    std::vector<TargetView> targets{engine("a"), engine("b"), engine("c")};
    PlacementRequest request{100, 10};
    request.isolated = true;
    request.fingerprint = 77;
    const std::string first = chosen(targets, request);
    std::reverse(targets.begin(), targets.end());
    for (TargetView &view : targets) {
        view.report.queuedPrefillTokens = view.instance == first ? 90000 : 0;
    }
    CHECK(chosen(targets, request, {}, 9) == first);
}

TEST_CASE("A subset is deterministic, spread over failure domains and stable", "[request]")
{
    std::vector<TargetMember> members;
    members.reserve(100);
    for (int i = 0; i < 60; ++i) {
        members.push_back({"t" + std::to_string(i), "d" + std::to_string(i % 4)});
    }
    const auto subset = targetSubset("entry-1", members, 8);
    REQUIRE(subset.size() == 8);
    std::map<std::string, int> byDomain;
    std::set<std::string> names;
    for (const std::size_t position : subset) {
        ++byDomain[members[position].failureDomain];
        names.insert(members[position].instance);
    }
    for (const auto &[domain, count] : byDomain) {
        CHECK(count == 2);
    }
    CHECK(byDomain.size() == 4);
    CHECK(targetSubset("entry-1", members, 8) == subset);
    CHECK(targetSubset("entry-1", members, 100).size() == 60);

    // Removing a member changes at most one element of the subset.
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(subset[0]));
    std::size_t kept = 0;
    for (const std::size_t position : targetSubset("entry-1", members, 8)) {
        kept += names.count(members[position].instance);
    }
    CHECK(kept == 7);
}

TEST_CASE("Subsets of many entries cover all targets", "[request]")
{
    std::vector<TargetMember> members;
    members.reserve(100);
    for (int i = 0; i < 100; ++i) {
        members.push_back({"t" + std::to_string(i), "d" + std::to_string(i % 4)});
    }
    std::vector<int> uses(members.size());
    for (int entry = 0; entry < 200; ++entry) {
        for (const std::size_t position : targetSubset("e" + std::to_string(entry), members, 16)) {
            ++uses[position];
        }
    }
    CHECK(*std::min_element(uses.begin(), uses.end()) >= 12); // 32 on average
}
