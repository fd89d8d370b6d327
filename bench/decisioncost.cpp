#include "bounds.h"
#include "report.h"

#include <fakes/random.h>
#include <request/admission.h>
#include <request/crashsuspects.h>
#include <request/estimate.h>
#include <request/fairqueue.h>
#include <request/prefixindex.h>
#include <request/roleplan.h>
#include <request/scaleplan.h>
#include <request/targetchoice.h>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

using namespace snipehill;
using namespace snipehill::fakes;

namespace
{

/** Mean duration of one call in microseconds. */
double microsecondsOf(int calls, const std::function<void(int)> &call)
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < calls; ++i) {
        call(i);
    }
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / calls;
}

std::vector<TargetMember> membersOf(std::size_t count)
{
    std::vector<TargetMember> members;
    for (std::size_t i = 0; i < count; ++i) {
        members.push_back({"target-" + std::to_string(i), "d" + std::to_string(i % 4)});
    }
    return members;
}

std::vector<TargetView> viewsOf(std::size_t count)
{
    Random random{3};
    std::vector<TargetView> views;
    for (const TargetMember &member : membersOf(count)) {
        TargetView view;
        view.instance = member.instance;
        view.reported = true;
        view.report.slots = 16;
        view.report.running = static_cast<std::uint32_t>(random.between(0, 16));
        view.report.queuedPrefillTokens = random.between(0, 9000);
        view.report.prefillTokensPerSecond = 4000;
        view.report.decodeTokensPerSecond = 400;
        views.push_back(view);
    }
    return views;
}

bench::Row targetCost(std::size_t count)
{
    const std::vector<TargetView> views = viewsOf(count);
    const std::vector<TargetMember> members = membersOf(count);
    PrefixIndex index;
    const std::vector<std::uint64_t> hashes{1, 2, 3, 4, 5, 6, 7, 8};
    for (const TargetView &view : views) {
        recordRoutedPrefix(index, view.instance, hashes);
    }
    Reason reason;
    const double choice = microsecondsOf(2000, [&](int i) {
        chooseTarget(views, {4000, 100}, {}, static_cast<std::uint64_t>(i), {}, reason);
    });
    const double cover = microsecondsOf(200, [&](int) {
        for (const TargetView &view : views) {
            cachedBlocks(index, view.instance, hashes);
        }
    });
    const double subset = microsecondsOf(20, [&](int) {
        targetSubset("entry-1", members, 16);
    });
    const double total = bounds::entryRequestsPerSecond * (choice + cover) / 1e6;
    return {std::to_string(count) + " targets", {{"choose_us", choice}, {"cover_us", cover}, {"subset_us", subset}, {"core_part", total}}};
}

bench::Row workspaceCost(int count)
{
    Random random{5};
    FairQueue queue;
    FairQueueSettings settings{.slots = 16, .reservedSlots = 1, .maxWaiting = 100000};
    Admission admission;
    AttemptId next = 0;
    const auto add = [&] {
        QueuedRequest request;
        request.attempt = next++;
        request.workspace = "workspace-" + std::to_string(random.between(0, static_cast<std::uint64_t>(count) - 1));
        request.costTokens = random.between(10, 400);
        request.deadline = TimePoint{} + seconds(1000 + static_cast<int>(next));
        enqueue(queue, request, settings);
    };
    for (int i = 0; i < 4 * count; ++i) {
        add();
    }
    const double queueing = microsecondsOf(20000, [&](int) {
        add();
        if (const auto request = dequeue(queue, settings)) {
            finish(queue, *request, request->costTokens);
        }
    });
    std::vector<Workspace> workspaces;
    workspaces.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        workspaces.push_back({"workspace-" + std::to_string(i), 1, 1000, 100000, 100});
    }
    const AdmissionRequest request{1000, 100, seconds(30), PlacementCost{}};
    const double admitting = microsecondsOf(20000, [&](int i) {
        const Workspace &workspace = workspaces[static_cast<std::size_t>(i) % workspaces.size()];
        admit(admission, workspace, request, 4, {}, TimePoint{} + seconds(10) + milliseconds(30 * i));
        release(admission, workspace.name, 0);
    });
    const double total = bounds::entryRequestsPerSecond * (queueing + admitting) / 1e6;
    return {std::to_string(count) + " workspaces", {{"queue_us", queueing}, {"admit_us", admitting}, {"core_part", total}}};
}

bench::Row planCost(std::size_t count)
{
    std::vector<EngineView> engines;
    std::vector<ScaleTarget> targets;
    std::vector<std::string> domains{"d0", "d1", "d2", "d3"};
    for (std::size_t i = 0; i < count; ++i) {
        EngineView view;
        view.instance = "e" + std::to_string(i);
        view.failureDomain = domains[i % 4];
        view.role = i % 2 == 0 ? EngineRole::Prefill : EngineRole::Decode;
        view.reportAge = seconds(1);
        view.prefillTokensPerSecond = 8000;
        view.decodeTokensPerSecond = 600;
        engines.push_back(view);
        targets.push_back({view.instance, view.failureDomain, true, false, false});
    }
    RolePool pool;
    addDemand(pool.demand, {6500.0 * static_cast<double>(count), 100.0 * static_cast<double>(count)}, {}, TimePoint{} + seconds(1));
    const double roles = microsecondsOf(5, [&](int i) {
        planRoles(engines, pool, {}, {}, TimePoint{} + seconds(1000 + i));
    });
    ScaleState state;
    const TargetGroup group{.name = "g", .minTargets = 1, .maxTargets = 10000};
    const double scale = microsecondsOf(50, [&](int i) {
        planScale(state, targets, domains, 0.6 * static_cast<double>(count), group, {}, TimePoint{} + seconds(1000 + i));
    });
    // One process plans each pool once per second.
    return {std::to_string(count) + " engines in a pool", {{"roles_us", roles}, {"scale_us", scale}, {"core_part", bounds::models * (roles + scale) / 1e6}}};
}

bench::Row bodyCost(std::size_t bytes)
{
    const std::string body = R"({"model":"m","stream":true,"max_tokens":200,"messages":[{"role":"user","content":")" + std::string(bytes, 'a') + R"("}]})";
    const double estimate = microsecondsOf(200, [&](int) {
        estimateChat(body);
    });
    const double fingerprint = microsecondsOf(200, [&](int) {
        fingerprintOf(body);
    });
    return {std::to_string(bytes) + " bytes of prompt",
            {{"estimate_us", estimate}, {"print_us", fingerprint}, {"core_part", bounds::entryRequestsPerSecond * (estimate + fingerprint) / 1e6}}};
}

} // namespace

int main(int argc, char **argv)
{
    const bench::Report report("decisioncost", argc, argv);
    std::vector<bench::Row> rows;
    for (const std::size_t count : {10U, 16U, 64U, 100U, 500U, 1600U, 5600U}) {
        rows.push_back(targetCost(count));
    }
    report.table("target choice, part of a core at 33 requests/s", rows);
    rows.clear();
    for (const int count : {8, 64, 200, bounds::workspaces}) {
        rows.push_back(workspaceCost(count));
    }
    report.table("queue and admission, part of a core at 33 requests/s", rows);
    rows.clear();
    for (const std::size_t count : {10U, 20U, 100U, 320U, 1120U}) {
        rows.push_back(planCost(count));
    }
    report.table("plans, part of a core with 5 models planned each second", rows);
    rows.clear();
    for (const std::size_t bytes : {1000U, 20000U, 200000U}) {
        rows.push_back(bodyCost(bytes));
    }
    report.table("reading a request, part of a core at 33 requests/s", rows);
    return 0;
}
