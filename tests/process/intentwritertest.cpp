#include <process/intentwriter.h>

#include <fakes/fakelog.h>

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <future>
#include <string>
#include <vector>

using namespace snipehill;
using namespace snipehill::fakes;

namespace
{

constexpr const char *stream = "intents";

IntentWriterOptions optionsFor(const FakeLog &log, const std::string &instance, std::uint64_t number = 1)
{
    IntentWriterOptions options;
    options.log = log.endpoint();
    options.self = {instance, number};
    options.appendsPerSecond = 200;
    options.claimTimeout = milliseconds(3000);
    return options;
}

std::future<IntentClaim> claimLater(RunningContext &running, IntentWriter &writer, IntentKey key, milliseconds timeout = milliseconds(3000))
{
    return boost::asio::co_spawn(running.context, writer.claim(std::move(key), "hash", timeout), boost::asio::use_future);
}

IntentClaim claimNow(RunningContext &running, IntentWriter &writer, const std::string &key, milliseconds timeout = milliseconds(3000))
{
    return claimLater(running, writer, {"bureau", "fees", key}, timeout).get();
}

std::size_t entriesOf(FakeLog &log, const std::string &verb)
{
    std::size_t count = 0;
    for (const Json::Value &record : log.records(stream)) {
        for (const Json::Value &entry : record["entries"]) {
            count += entry["verb"].asString() == verb ? 1 : 0;
        }
    }
    return count;
}

} // namespace

TEST_CASE("the first claim on a key owns it", "[intents][at-most-once]")
{
    RunningContext running;
    FakeLog log(running.context);
    IntentWriter first(optionsFor(log, "sc-1"), running.context.get_executor());
    IntentWriter second(optionsFor(log, "sc-2"), running.context.get_executor());
    first.start();
    second.start();

    const IntentClaim owned = claimNow(running, first, "k");
    REQUIRE(std::holds_alternative<IntentOwned>(owned));
    const IntentClaim lost = claimNow(running, second, "k");
    REQUIRE(std::holds_alternative<IntentOwnedByOther>(lost));
    REQUIRE(std::get<IntentOwnedByOther>(lost).owner == Incarnation{"sc-1", 1});
    REQUIRE_FALSE(std::get<IntentOwnedByOther>(lost).finished);

    SECTION("its response is available to others")
    {
        first.finished({"bureau", "fees", "k"}, std::get<IntentOwned>(owned).claim, {200, "text/plain", "tag 7", true});
        REQUIRE(eventually([&] {
            return first.idle();
        }));
        const IntentClaim repeat = claimNow(running, second, "k");
        REQUIRE(std::get<IntentOwnedByOther>(repeat).finished);
        REQUIRE(std::get<IntentOwnedByOther>(repeat).finished->body == "tag 7");
    }
    SECTION("its claim can be abandoned")
    {
        first.notRun({"bureau", "fees", "k"}, std::get<IntentOwned>(owned).claim);
        REQUIRE(eventually([&] {
            return first.idle() && second.idle();
        }));
        REQUIRE(std::holds_alternative<IntentOwned>(claimNow(running, second, "k")));
    }
    SECTION("keys are separate for each workspace and route")
    {
        REQUIRE(std::holds_alternative<IntentOwned>(claimLater(running, second, {"kaspiy", "fees", "k"}).get()));
        REQUIRE(std::holds_alternative<IntentOwned>(claimLater(running, second, {"bureau", "tags", "k"}).get()));
    }
    SECTION("another incarnation of the instance is another owner")
    {
        IntentWriter restarted(optionsFor(log, "sc-1", 2), running.context.get_executor());
        restarted.start();
        REQUIRE(std::holds_alternative<IntentOwnedByOther>(claimNow(running, restarted, "k")));
        running.end();
    }
    running.end();
}

TEST_CASE("an append without a response is resolved by reading back", "[intents][at-most-once]")
{
    RunningContext running;
    FakeLog log(running.context);
    IntentWriter writer(optionsFor(log, "sc-1"), running.context.get_executor());
    writer.start();

    SECTION("the append took effect")
    {
        log.loseResponses = 1;
        REQUIRE(std::holds_alternative<IntentOwned>(claimNow(running, writer, "k")));
        REQUIRE(entriesOf(log, "claim") == 1);
    }
    SECTION("the append did not take effect")
    {
        log.loseAppends = 1;
        REQUIRE(std::holds_alternative<IntentOwned>(claimNow(running, writer, "k")));
        REQUIRE(entriesOf(log, "claim") == 1);
    }
    REQUIRE(writer.counts().lostResponses == 1);
    running.end();
}

TEST_CASE("a claim during a log outage is refused and never runs", "[intents][at-most-once][not-run]")
{
    RunningContext running;
    FakeLog log(running.context);
    IntentWriter writer(optionsFor(log, "sc-1"), running.context.get_executor());
    writer.start();
    log.down = true;
    REQUIRE(std::holds_alternative<IntentLogUnavailable>(claimNow(running, writer, "k", milliseconds(300))));
    log.down = false;
    // The claim was sent, so its outcome is recorded and the key becomes free.
    REQUIRE(eventually([&] {
        return writer.idle();
    }));
    REQUIRE(entriesOf(log, "notRun") == 1);
    REQUIRE(std::holds_alternative<IntentOwned>(claimNow(running, writer, "k")));
    running.end();
}

TEST_CASE("queued claims share an append", "[intents]")
{
    constexpr int claims = 100;
    RunningContext running;
    FakeLog log(running.context);
    IntentWriterOptions options = optionsFor(log, "sc-1");
    options.appendsPerSecond = 20;
    IntentWriter writer(options, running.context.get_executor());
    writer.start();
    std::vector<std::future<IntentClaim>> results;
    results.reserve(claims);
    for (int i = 0; i < claims; ++i) {
        results.push_back(claimLater(running, writer, {"bureau", "fees", std::to_string(i)}));
    }
    for (auto &result : results) {
        REQUIRE(std::holds_alternative<IntentOwned>(result.get()));
    }
    REQUIRE(writer.counts().appends < claims / 5);
    REQUIRE(writer.counts().entries == claims);
    running.end();
}

TEST_CASE("an idle writer does not read", "[intents]")
{
    RunningContext running;
    FakeLog log(running.context);
    log.append(stream, Json::Value("not an intent"));
    IntentWriter writer(optionsFor(log, "sc-1"), running.context.get_executor());
    writer.start();
    REQUIRE(writer.idle());
    REQUIRE(std::holds_alternative<IntentOwned>(claimNow(running, writer, "k")));
    const int reads = log.reads;
    REQUIRE_FALSE(eventually(
        [&] {
            return log.reads > reads;
        },
        milliseconds(300)));
    running.end();
}

TEST_CASE("keys of any bytes and length are accepted", "[intents][parse]")
{
    RunningContext running;
    FakeLog log(running.context);
    IntentWriter writer(optionsFor(log, "sc-1"), running.context.get_executor());
    writer.start();
    for (const std::string &key : {std::string(5000, 'k'), std::string("\xff\xfe\0x", 4), std::string()}) {
        REQUIRE(std::holds_alternative<IntentOwned>(claimNow(running, writer, key)));
        REQUIRE(std::holds_alternative<IntentOwnedByOther>(claimNow(running, writer, key)));
    }
    running.end();
}
