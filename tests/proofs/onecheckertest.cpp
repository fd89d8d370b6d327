#include "support/onechecker.h"

#include <catch2/catch.hpp>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

struct Report
{
    int time; //!< ms
    const char *holder;
    std::int64_t token;
    int window;
    const char *counts;
};

Json::Value usageEvent(const Report &report)
{
    Json::Value event;
    event["event"] = "usage";
    event["t"] = report.time;
    event["headers"]["duty-holder"] = report.holder;
    event["headers"]["fencing-token"] = std::to_string(report.token);
    event["report"]["window_id"] = report.window;
    event["report"]["counts"] = parseJson(report.counts).value();
    return event;
}

struct Order
{
    int time; //!< ms
    const char *target;
    const char *holder;
    std::int64_t token;
};

Json::Value orderEvent(const Order &order)
{
    Json::Value event;
    event["event"] = "order";
    event["t"] = order.time;
    event["standIn"] = order.target;
    event["body"] = std::string(R"({"holder":")") + order.holder + R"(","fence":)" + std::to_string(order.token) + "}";
    return event;
}

constexpr std::int64_t tokenOfSecondEra = std::int64_t(2) << 32;

} // namespace

// Guards against a checker that passes a second holder, or a window with two figures, and against one that blames lawful changes.
TEST_CASE("The checker of one holder finds each kind of violation in usage reports", "[checkers][one]")
{
    struct Case
    {
        const char *what;
        std::vector<Report> reports;
        std::size_t violations;
    };
    const char *five = R"({"w1":5})";
    const std::vector<Case> cases{
        {"nothing", {}, 0},
        {"one holder", {{0, "a", 3, 1, five}, {100, "a", 3, 2, R"({"w1":6})"}}, 0},
        {"exact repeat", {{0, "a", 3, 1, five}, {100, "a", 3, 1, five}}, 0},
        {"exact repeat in another order of keys", {{0, "a", 3, 1, R"({"w1":5,"w2":1})"}, {100, "a", 3, 1, R"({"w2":1,"w1":5})"}}, 0},
        {"new holder with a higher token", {{0, "a", 3, 1, five}, {100, "b", 4, 1, five}}, 0},
        {"tokens of a later era", {{0, "a", 3, 1, five}, {100, "b", tokenOfSecondEra, 2, five}, {200, "b", tokenOfSecondEra + 1, 3, five}}, 0},
        {"back after the time limit", {{0, "a", 3, 1, five}, {100, "b", 4, 2, five}, {1000, "a", 5, 3, five}}, 0},
        {"three holders in a row", {{0, "a", 3, 1, five}, {100, "b", 4, 2, five}, {200, "c", 5, 3, five}}, 0},
        {"other counts by the same holder", {{0, "a", 3, 1, five}, {100, "a", 3, 1, R"({"w1":6})"}}, 1},
        {"other counts by the next holder", {{0, "a", 3, 1, five}, {100, "b", 4, 1, R"({"w1":4})"}}, 1},
        {"a tenant is missing from the repeat", {{0, "a", 3, 1, R"({"w1":5,"w2":0})"}, {100, "a", 3, 1, five}}, 1},
        {"one token, two holders", {{0, "a", 3, 1, five}, {2000, "b", 3, 2, five}}, 1},
        {"lower token of a new holder", {{0, "a", 3, 1, five}, {100, "b", 2, 2, five}}, 1},
        {"lower token of the same holder", {{0, "a", 3, 1, five}, {100, "a", 2, 2, five}}, 1},
        {"tokens begin anew", {{0, "a", tokenOfSecondEra, 1, five}, {2000, "b", 0, 2, five}}, 1},
        {"in turns within the time limit", {{0, "a", 3, 1, five}, {100, "b", 4, 2, five}, {999, "a", 5, 3, five}}, 1},
        {"in turns over a third holder", {{0, "a", 3, 1, five}, {100, "b", 4, 2, five}, {200, "c", 5, 3, five}, {300, "a", 6, 4, five}}, 1},
        {"two holders side by side", {{0, "a", 3, 1, five}, {100, "b", 4, 1, five}, {200, "a", 3, 2, five}}, 2},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        Journal journal;
        for (const Report &report : c.reports) {
            journal.push_back(usageEvent(report));
        }
        const Violations found = oneHolder(journal, milliseconds(1000));
        CAPTURE(found);
        CHECK(found.size() == c.violations);
    }
}

// Guards against orders of one target that are judged by those of another, and against orders that are not judged at all.
TEST_CASE("The checker of one holder finds each kind of violation in orders to targets", "[checkers][one]")
{
    struct Case
    {
        const char *what;
        std::vector<Order> orders;
        std::size_t violations;
    };
    const std::vector<Case> cases{
        {"one holder", {{0, "e1", "a", 3}, {100, "e1", "a", 3}}, 0},
        {"new holder with a higher token", {{0, "e1", "a", 3}, {100, "e1", "b", 4}}, 0},
        {"targets by themselves", {{0, "e1", "a", 4}, {100, "e2", "b", 3}, {200, "e1", "a", 4}}, 0},
        {"one token, two holders", {{0, "e1", "a", 3}, {100, "e1", "b", 3}}, 1},
        {"lower token", {{0, "e1", "a", 3}, {100, "e1", "b", 2}}, 1},
        {"in turns within the time limit", {{0, "e1", "a", 3}, {100, "e1", "b", 4}, {900, "e1", "a", 5}}, 1},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        Journal journal;
        for (const Order &order : c.orders) {
            journal.push_back(orderEvent(order));
        }
        const Violations found = oneHolder(journal, milliseconds(1000));
        CAPTURE(found);
        CHECK(found.size() == c.violations);
    }
}
