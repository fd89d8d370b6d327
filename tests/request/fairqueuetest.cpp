#include <request/fairqueue.h>

#include <fakes/random.h>

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace snipehill;

namespace
{

QueuedRequest requestOf(AttemptId attempt, const std::string &workspace, std::uint64_t cost, double weight = 1)
{
    QueuedRequest request;
    request.attempt = attempt;
    request.workspace = workspace;
    request.costTokens = cost;
    request.weight = weight;
    request.deadline = TimePoint{} + seconds(1000 + static_cast<int>(attempt));
    return request;
}

FairQueueSettings oneSlot()
{
    return {.slots = 1, .reservedSlots = 0};
}

} // namespace

TEST_CASE("Backlogged workspaces are served in proportion to their weights", "[request]")
{
    struct Case
    {
        const char *name;
        std::uint64_t costA;
        std::uint64_t costB;
        double weightB;
    };
    for (const Case &c : {Case{"equal", 100, 100, 1}, Case{"large and small requests", 1000, 50, 1}, Case{"triple weight", 100, 100, 3}}) {
        INFO(c.name);
        FairQueue queue;
        for (AttemptId i = 0; i < 2000; ++i) {
            REQUIRE(enqueue(queue, requestOf(2 * i, "a", c.costA), oneSlot()));
            REQUIRE(enqueue(queue, requestOf(2 * i + 1, "b", c.costB, c.weightB), oneSlot()));
        }
        std::map<std::string, double> served;
        while (served["a"] + served["b"] < 40000) {
            const auto next = dequeue(queue, oneSlot());
            REQUIRE(next);
            served[next->workspace] += static_cast<double>(next->costTokens);
            finish(queue, *next, next->costTokens);
        }
        CHECK(served["b"] / served["a"] == Approx(c.weightB).margin(0.1));
    }
}

TEST_CASE("A newly active workspace is served before the backlog of another one", "[request]")
{
    FairQueue queue;
    for (AttemptId i = 0; i < 100; ++i) {
        enqueue(queue, requestOf(i, "heavy", 100), oneSlot());
    }
    for (int i = 0; i < 10; ++i) {
        const auto next = dequeue(queue, oneSlot());
        finish(queue, *next, next->costTokens);
    }
    enqueue(queue, requestOf(1000, "light", 100), oneSlot());
    const auto first = dequeue(queue, oneSlot());
    finish(queue, *first, first->costTokens);
    const auto second = dequeue(queue, oneSlot());
    CHECK((first->workspace == "light" || second->workspace == "light"));
}

TEST_CASE("An idle workspace accumulates no credit", "[request]")
{
    FairQueue queue;
    for (AttemptId i = 0; i < 50; ++i) {
        enqueue(queue, requestOf(i, "steady", 100), oneSlot());
        const auto next = dequeue(queue, oneSlot());
        enqueue(queue, requestOf(1000 + i, "steady", 100), oneSlot()); // the target is never idle
        finish(queue, *next, next->costTokens);
        const auto other = dequeue(queue, oneSlot());
        finish(queue, *other, other->costTokens);
    }
    for (AttemptId i = 0; i < 20; ++i) {
        enqueue(queue, requestOf(2000 + i, "steady", 100), oneSlot());
        enqueue(queue, requestOf(3000 + i, "late", 100), oneSlot());
    }
    int late = 0;
    for (int i = 0; i < 10; ++i) {
        const auto next = dequeue(queue, oneSlot());
        late += next->workspace == "late" ? 1 : 0;
        finish(queue, *next, next->costTokens);
    }
    CHECK(late >= 4);
    CHECK(late <= 6);
}

TEST_CASE("The actual cost corrects an underestimate", "[request]")
{
    FairQueue queue;
    for (AttemptId i = 0; i < 100; ++i) {
        enqueue(queue, requestOf(2 * i, "liar", 1), oneSlot());
        enqueue(queue, requestOf(2 * i + 1, "honest", 100), oneSlot());
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 60; ++i) {
        const auto next = dequeue(queue, oneSlot());
        ++served[next->workspace];
        finish(queue, *next, 100);
    }
    CHECK(served["liar"] <= 32);
}

TEST_CASE("A workspace may use all slots only while no other uses the target", "[request]")
{
    const FairQueueSettings settings{.slots = 8, .reservedSlots = 1, .reserveWindow = 20};
    FairQueue queue;
    for (AttemptId i = 1000; i < 1020; ++i) {
        enqueue(queue, requestOf(i, "heavy", 100), settings);
    }
    std::vector<QueuedRequest> running;
    while (const auto next = dequeue(queue, settings)) {
        running.push_back(*next);
    }
    CHECK(running.size() == 8);
    enqueue(queue, requestOf(999, "light", 100), settings);
    while (!running.empty()) {
        finish(queue, running.back(), 100);
        running.pop_back();
        while (const auto next = dequeue(queue, settings)) {
            running.push_back(*next);
        }
    }
    // The other workspace has recently used the target.
    for (AttemptId i = 0; i < 20; ++i) {
        enqueue(queue, requestOf(i, "heavy", 100), settings);
    }
    int started = 0;
    while (dequeue(queue, settings)) {
        ++started;
    }
    CHECK(started == 7);
    enqueue(queue, requestOf(100, "light", 100), settings);
    const auto light = dequeue(queue, settings);
    REQUIRE(light);
    CHECK(light->workspace == "light");
    CHECK(enginePriority(queue, *light, settings) == 0);
    CHECK(enginePriority(queue, requestOf(0, "heavy", 100), settings) == 6);
}

TEST_CASE("Requests waiting past their deadline are removed", "[request]")
{
    FairQueue queue;
    enqueue(queue, requestOf(1, "a", 1), oneSlot());
    const auto running = dequeue(queue, oneSlot());
    enqueue(queue, requestOf(2, "a", 1), oneSlot());
    QueuedRequest suspect = requestOf(3, "b", 1);
    suspect.isolated = true;
    enqueue(queue, suspect, oneSlot());
    CHECK(takeExpired(queue, TimePoint{} + seconds(1000)).empty());
    const auto expired = takeExpired(queue, TimePoint{} + seconds(1003));
    REQUIRE(expired.size() == 2); // the running request is not waiting
    CHECK(expired[0].attempt == 2);
    CHECK(expired[1].attempt == 3);
    CHECK(waitingCount(queue) == 0);
    finish(queue, *running, 1);
    CHECK(queue.workspaces.empty());
}

TEST_CASE("A request cancelled while waiting never runs, and a started one can't be cancelled", "[request]")
{
    FairQueue queue;
    enqueue(queue, requestOf(1, "a", 1), oneSlot());
    enqueue(queue, requestOf(2, "a", 1), oneSlot());
    CHECK_FALSE(enqueue(queue, requestOf(2, "a", 1), oneSlot())); // the attempt is already queued
    REQUIRE(dequeue(queue, oneSlot()));
    CHECK_FALSE(cancelWaiting(queue, 1));
    CHECK(cancelWaiting(queue, 2));
    CHECK_FALSE(cancelWaiting(queue, 2));
    CHECK_FALSE(dequeue(queue, {.slots = 8}));
}

TEST_CASE("An isolated request runs with no other request on the target, and others resume afterwards", "[request]")
{
    const FairQueueSettings settings{.slots = 4, .reservedSlots = 0};
    FairQueue queue;
    QueuedRequest suspect = requestOf(500, "a", 1);
    suspect.isolated = true;
    enqueue(queue, requestOf(0, "a", 1), settings);
    const auto first = dequeue(queue, settings);
    enqueue(queue, suspect, settings);
    for (AttemptId i = 1; i <= 20; ++i) {
        enqueue(queue, requestOf(i, "b", 1), settings);
    }
    std::vector<QueuedRequest> running{*first};
    bool ranIsolated = false;
    int steps = 0;
    while (!running.empty() && ++steps < 100) {
        while (const auto next = dequeue(queue, settings)) {
            running.push_back(*next);
        }
        for (const QueuedRequest &request : running) {
            CHECK((!request.isolated || running.size() == 1));
            ranIsolated = ranIsolated || request.isolated;
        }
        const QueuedRequest done = running.front();
        running.erase(running.begin());
        finish(queue, done, 1);
        while (const auto next = dequeue(queue, settings)) {
            running.push_back(*next);
        }
    }
    CHECK(ranIsolated);
    CHECK(waitingCount(queue) == 0);
    CHECK(queue.running == 0);
}

TEST_CASE("Random operations keep the queue consistent", "[request]")
{
    const std::uint64_t seed = 20240521;
    INFO("seed " << seed);
    fakes::Random random{seed};
    const FairQueueSettings settings{.slots = 6, .reservedSlots = 1, .maxWaiting = 50};
    FairQueue queue;
    std::vector<QueuedRequest> running;
    AttemptId next = 0;
    std::size_t entered = 0;
    std::size_t left = 0;
    for (int i = 0; i < 20000; ++i) {
        const std::uint64_t action = random.between(0, 9);
        if (action < 5) {
            QueuedRequest request = requestOf(next++, "w" + std::to_string(random.between(0, 20)), random.between(1, 500));
            request.isolated = random.between(0, 30) == 0;
            entered += enqueue(queue, request, settings) ? 1 : 0;
        } else if (action < 8 && !running.empty()) {
            const std::size_t position = random.between(0, running.size() - 1);
            finish(queue, running[position], random.between(1, 500));
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(position));
            ++left;
        } else if (action == 8) {
            left += cancelWaiting(queue, random.between(0, next)) ? 1 : 0;
        } else {
            left += takeExpired(queue, TimePoint{} + seconds(1000 + static_cast<int>(next) - 30)).size();
        }
        while (const auto request = dequeue(queue, settings)) {
            running.push_back(*request);
        }
        REQUIRE(queue.running == running.size());
        REQUIRE(waitingCount(queue) + running.size() + left == entered);
        REQUIRE(running.size() <= settings.slots);
    }
}
