#include "support/directcluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr milliseconds callInterval{20};
constexpr milliseconds entryNoticeTime{2000}; // by then an entry has read what was written to the store

unsigned statusOf(DirectCluster &cluster, const std::string &key, const std::string &id)
{
    Call call = directCall("GET", "/read/x", id);
    call.headers["X-Api-Key"] = key;
    return cluster.call(0, call).status;
}

} // namespace

// Guards against honouring a withdrawn key, refusing a valid one and calling a target that has left, as an older copy of the store says.
TEST_CASE("Configuration and targets in force survive the return of the store from an older copy", "[era][direct]")
{
    struct Case
    {
        const char *what;
        int copies;
        milliseconds away; //!< before and after each copy together
    };
    for (const Case &c :
         {Case{"one copy", 1, milliseconds(0)}, Case{"two in a row", 2, milliseconds(0)}, Case{"two, the store was away", 2, milliseconds(400)}}) {
        INFO(c.what);
        DirectCluster cluster({{"p1", "plain", ""}, {"p2", "plain", ""}}, 1);
        cluster.publish(defaultConfiguration(1, "key-1"));
        REQUIRE(cluster.waitUntilReady(0));
        sleepFor(milliseconds(300));
        const TimePoint copied = Clock::now();
        sleepFor(milliseconds(300));
        cluster.publish(defaultConfiguration(2, "key-2"));
        cluster.registerTarget({"p1", "plain", ""}, "");
        REQUIRE(waitUntil([&] {
            return statusOf(cluster, "key-2", "before") == 200 && statusOf(cluster, "key-1", "before") == 401;
        }));
        sleepFor(entryNoticeTime);
        const std::size_t runsBefore = cluster.events("p1", "run").size();
        std::set<unsigned> withdrawn;
        std::set<unsigned> valid;
        int calls = 0;
        const auto callFor = [&](milliseconds time) {
            for (const TimePoint end = Clock::now() + time; Clock::now() < end; sleepFor(callInterval)) {
                const std::string id = std::to_string(++calls);
                withdrawn.insert(statusOf(cluster, "key-1", "w" + id));
                valid.insert(statusOf(cluster, "key-2", "v" + id));
            }
        };
        for (int copy = 0; copy < c.copies; ++copy) {
            const auto age = std::chrono::duration_cast<milliseconds>(Clock::now() + c.away / 2 - copied);
            if (c.away > milliseconds(0)) {
                cluster.setFaults("store", R"({"down": true})");
                callFor(c.away / 2);
            }
            cluster.bringBackCopy(age);
            if (c.away > milliseconds(0)) {
                callFor(c.away / 2);
                cluster.setFaults("store", R"({"down": null})");
            }
            callFor(entryNoticeTime);
        }
        cluster.writeAgain();
        callFor(entryNoticeTime);
        INFO(cluster.logOf(0));
        CHECK(valid == std::set<unsigned>{200});
        for (const unsigned status : withdrawn) {
            CHECK((status == 401 || status == 503));
        }
        CHECK(cluster.events("p1", "run").size() == runsBefore);
        CHECK(waitUntil([&] {
            return statusOf(cluster, "key-1", "after") == 401;
        }));
        cluster.registerTarget({"p1", "plain", ""}, "ready");
        CHECK(waitUntil([&] {
            return statusOf(cluster, "key-2", "after") == 200 && cluster.events("p1", "run").size() > runsBefore;
        }));
    }
}
