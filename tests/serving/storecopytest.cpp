#include "serving/readerrun.h"

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <string>

using namespace snipehill;
using namespace snipehill::support;
namespace asio = boost::asio;

namespace
{

std::string configuration(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[]})";
}

} // namespace

// Guards against reading on past records that were written below the reader's offset after the store came back from an older copy.
TEST_CASE("A version written after the store came back from an older copy is in force within its time", "[era][direct]")
{
    struct Case
    {
        const char *what;
        int lost; //!< records of other keys that are lost with the last version
        int later; //!< records of other keys after the new version
    };
    for (const Case &c :
         {Case{"offsets end below the reader's", 2, 0}, Case{"offsets end at the reader's", 1, 1}, Case{"offsets have grown past the reader's", 0, 4}}) {
        INFO(c.what);
        ReaderRun run;
        run.write(platform::operatorTopic, platform::configurationKey, configuration(1));
        run.separate();
        run.write(platform::operatorTopic, platform::configurationKey, configuration(2));
        for (int record = 0; record < c.lost; ++record) {
            run.write(platform::operatorTopic, "other", "x");
        }
        asio::co_spawn(run.context, watchConfiguration(run.watch), asio::detached);
        REQUIRE(run.runUntil(
            [&] {
                return run.version() == 2;
            },
            seconds(5)));
        run.loseRecords();
        run.write(platform::operatorTopic, platform::configurationKey, configuration(3));
        for (int record = 0; record < c.later; ++record) {
            run.write(platform::operatorTopic, "other", "y");
        }
        CHECK(run.runUntil(
            [&] {
                return run.version() == 3;
            },
            configTimeout));
    }
}

// Guards against refusing what only a newer version allows because a copy that has lost this version seems to have the newest.
TEST_CASE("A configuration read from an older copy neither replaces the one in force nor confirms it", "[era][direct]")
{
    struct Case
    {
        const char *what;
        bool lost; //!< whether the copy lacks the version in force
        milliseconds unconfirmed; //!< after the copy was read
    };
    // What the copy has lost is written again within two seconds; longer if the copy shows that the operator has not done so yet.
    for (const Case &c : {Case{"the copy has the version in force", false, milliseconds(1800)}, Case{"the copy lacks it", true, milliseconds(4000)}}) {
        INFO(c.what);
        ReaderRun run;
        run.write(platform::operatorTopic, platform::configurationKey, configuration(1));
        if (c.lost) {
            run.separate();
        }
        run.write(platform::operatorTopic, platform::configurationKey, configuration(2));
        if (!c.lost) {
            run.separate();
        }
        asio::co_spawn(run.context, watchConfiguration(run.watch), asio::detached);
        REQUIRE(run.runUntil(
            [&] {
                return run.version() == 2;
            },
            seconds(5)));
        const auto isConfirmed = [&run] {
            return run.routing.age(Clock::now()) < configTimeout;
        };
        run.loseRecords();
        CHECK(!run.runUntil(isConfirmed, c.unconfirmed));
        CHECK(run.version() == 2);
        if (c.lost) {
            run.write(platform::operatorTopic, platform::configurationKey, configuration(2));
        }
        CHECK(run.runUntil(isConfirmed, seconds(3)));
        CHECK(run.version() == 2);
    }
}

namespace
{

std::string target(std::int64_t startTimeMs, int sequence, const std::string &state = "ready", const std::string &address = "10.0.0.1:80")
{
    return R"({"service":"g","address":")" + address + R"(","zone":"fd-a","slots":4,"state":")" + state + R"(","born":)" + std::to_string(startTimeMs)
        + R"(,"sequence":)" + std::to_string(sequence) + "}";
}

} // namespace

// Guards against undoing what is known of targets with entries that an older copy brings back or has lost.
TEST_CASE("Target entries read from an older copy don't undo what is known", "[era][direct]")
{
    ReaderRun run;
    run.write(platform::targetTopic, "draining", target(1, 1));
    run.write(platform::targetTopic, "steady", target(1, 1));
    run.separate();
    run.write(platform::targetTopic, "draining", target(1, 2, "draining"));
    run.write(platform::targetTopic, "lost", target(1, 1));
    run.write(platform::targetTopic, "lost for good", target(1, 1));
    asio::co_spawn(run.context, watchTargets(run.watch), asio::detached);
    REQUIRE(run.runUntil(
        [&] {
            return run.watch.targetsLoaded.load() && run.accepts("lost for good");
        },
        seconds(5)));
    run.loseRecords();
    const TimePoint copied = Clock::now();
    while (Clock::now() < copied + milliseconds(900)) {
        run.runUntil(
            [] {
                return false;
            },
            milliseconds(50));
        CHECK(!run.accepts("draining"));
        CHECK(run.accepts("steady"));
        CHECK(run.accepts("lost"));
        CHECK(run.accepts("lost for good"));
    }
    run.write(platform::targetTopic, "lost", target(1, 2));
    run.write(platform::targetTopic, "draining", target(2, 1));
    CHECK(run.runUntil(
        [&] {
            return run.accepts("draining");
        },
        seconds(1)));
    CHECK(run.runUntil(
        [&] {
            return !run.accepts("lost for good");
        },
        seconds(3)));
    CHECK(run.accepts("lost"));
}

// Guards against sending requests to a target that has left because an older copy still has its entry.
TEST_CASE("A target that has left does not come back with an older copy", "[era][direct]")
{
    ReaderRun run;
    run.write(platform::targetTopic, "t1", target(1, 1));
    run.write(platform::targetTopic, "t2", target(1, 1, "ready", "10.0.0.2:80"));
    asio::co_spawn(run.context, watchTargets(run.watch), asio::detached);
    REQUIRE(run.runUntil(
        [&] {
            return run.accepts("t1") && run.accepts("t2");
        },
        seconds(5)));
    run.separate();
    run.write(platform::targetTopic, "t1", "");
    REQUIRE(run.runUntil(
        [&] {
            return !run.accepts("t1");
        },
        seconds(5)));
    run.loseRecords();
    run.runUntil(
        [&] {
            return run.accepts("t1");
        },
        seconds(1));
    CHECK(!run.accepts("t1"));
    CHECK(run.accepts("t2"));
    run.write(platform::targetTopic, "t1", target(2, 1));
    CHECK(run.runUntil(
        [&] {
            return run.accepts("t1");
        },
        seconds(1)));
}

// Guards against a reader that asks again at once for as long as the store doesn't have the requested offset.
TEST_CASE("A store that never has the requested offset is asked a bounded number of times a second", "[era][direct]")
{
    constexpr int maxCallsPerSecond = 30; // by one reader
    struct Case
    {
        const char *what;
        bool eraRises;
        asio::awaitable<void> (*reader)(WatchContext &);
    };
    for (const Case &c : {Case{"configuration", false, watchConfiguration},
                          Case{"configuration, an era after the other", true, watchConfiguration},
                          Case{"targets", false, watchTargets},
                          Case{"targets, an era after the other", true, watchTargets}}) {
        INFO(c.what);
        asio::io_context context;
        int calls = 0;
        HttpServer server(context.get_executor(), {}, [&](HttpExchange &exchange) -> asio::awaitable<void> {
            ++calls;
            const bool newest = std::string_view(exchange.request().target()).starts_with("/api/log-newest");
            const HeaderList headers{{"Store-Era", std::to_string(c.eraRises ? calls : 1)}};
            co_await exchange.respond(newest ? 200 : 410, headers, newest ? R"({"items":[],"has_more":false,"end_offset":100})" : R"({"first_offset":0})");
        });
        Reason reason;
        REQUIRE(server.start({"127.0.0.1", 0}, reason));
        const DirectSettings settings = settingsFor({"127.0.0.1", server.port()});
        platform::StoreClient store(settings.store);
        RoutingHolder routing;
        TargetRegistry targets({.instance = "entry-1", .failureDomain = "fd-a"});
        WatchContext watch{settings, store, routing, targets, [](const RoutingVersion &) {}};
        asio::co_spawn(context, c.reader(watch), asio::detached);
        context.run_for(seconds(1));
        CHECK(calls > 1);
        CHECK(calls <= maxCallsPerSecond);
    }
}
