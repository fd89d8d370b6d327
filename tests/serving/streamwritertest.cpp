#include "serving/slowexchange.h"

#include <serving/src/answersizes.h>
#include <serving/src/streamwriter.h>

#include <catch2/catch.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <future>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace snipehill;

namespace
{

namespace asio = boost::asio;
using Room = EventWriter::Room;

/** Runs what can run now. */
void run(asio::io_context &context)
{
    context.restart();
    context.poll();
}

/** Runs the awaitable until it has ended and returns its result. */
template<typename T> T await(asio::io_context &context, asio::awaitable<T> work)
{
    auto result = asio::co_spawn(context, std::move(work), asio::use_future);
    context.restart();
    while (result.wait_for(seconds(0)) != std::future_status::ready) {
        context.run_one();
    }
    return result.get();
}

} // namespace

// Guards against events that are lost, repeated or reordered while a caller reads slowly.
TEST_CASE("A stream writer writes all events in order at the pace of the caller", "[streamwriter]")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        asio::io_context context;
        MemoryBudget budget(64U << 20U);
        SlowExchange exchange(context);
        EventWriter writer(context.get_executor(), exchange, budget);
        std::string expected;
        for (int i = 0; i < 200; ++i) {
            std::string event = "id: " + std::to_string(i) + "\ndata: " + std::string(std::uniform_int_distribution<std::size_t>(0, 3000)(random), 'x')
                + "\n\n";
            expected += event;
            writer.push(std::move(event));
            exchange.take(std::uniform_int_distribution<int>(0, 1)(random));
            run(context);
            CHECK(expected.starts_with(exchange.written));
        }
        exchange.take(200);
        CHECK(await(context, writer.flush(Clock::now() + seconds(10))));
        CHECK(exchange.written == expected);
        CHECK(writer.queuedBytes() == 0);
        CHECK(budget.usedBytes() == 0);
    }
}

// Guards against events that wait although the caller can take them.
TEST_CASE("A stream writer writes each event at once to a caller that reads", "[streamwriter]")
{
    asio::io_context context;
    MemoryBudget budget(64U << 20U);
    SlowExchange exchange(context);
    exchange.take(10);
    EventWriter writer(context.get_executor(), exchange, budget);
    std::string expected;
    for (int i = 0; i < 10; ++i) {
        expected += "data: " + std::to_string(i) + "\n\n";
        writer.push("data: " + std::to_string(i) + "\n\n");
        run(context);
        CHECK(exchange.written == expected);
    }
}

// Guards against queues without bound, of one stream and of all streams, and against queues that leave nothing to other responses.
TEST_CASE("A stream writer has no room beyond its bound or half of the budget", "[streamwriter]")
{
    struct Case
    {
        const char *what;
        std::size_t budgetBytes;
        std::size_t writers;
        Room room;
        std::size_t maxCountedBytes;
    };
    const std::vector<Case> cases{
        {"one stream", 64U << 20U, 1, Room::StreamFull, EventWriter::maxQueuedBytes + 20000},
        {"many streams", 4U << 20U, 50, Room::BudgetFull, (4U << 20U) / EventWriter::budgetDivisor},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        asio::io_context context;
        MemoryBudget budget(c.budgetBytes);
        std::list<SlowExchange> exchanges;
        std::vector<std::unique_ptr<EventWriter>> writers;
        for (std::size_t i = 0; i < c.writers; ++i) {
            writers.push_back(std::make_unique<EventWriter>(context.get_executor(), exchanges.emplace_back(context), budget));
            for (int piece = 0; piece < 1000 && writers.back()->room() == Room::Free; ++piece) {
                writers.back()->push(std::string(10000, 'x'));
                run(context);
            }
            CHECK(writers.back()->queuedBytes() <= EventWriter::maxQueuedBytes + 20000);
        }
        CHECK(writers.back()->room() == c.room);
        CHECK(budget.usedBytes() <= c.maxCountedBytes);
        MemoryBudget::Share other(&budget);
        CHECK(other.resize(c.budgetBytes / 3));
        other.resize(0);
        // Waiting ends at its time while the caller reads nothing, and once the caller has taken some of the queue.
        await(context, [](EventWriter &writer) -> asio::awaitable<int> {
            co_await writer.waitForRoom(Clock::now() + milliseconds(20));
            co_return 0;
        }(*writers.back()));
        CHECK(writers.back()->room() == c.room);
        for (SlowExchange &exchange : exchanges) {
            exchange.take(100000);
        }
        await(context, [](EventWriter &writer) -> asio::awaitable<int> {
            co_await writer.waitForRoom(Clock::now() + seconds(10));
            co_return 0;
        }(*writers.back()));
        CHECK(writers.back()->room() == Room::Free);
        for (const auto &writer : writers) {
            CHECK(await(context, writer->flush(Clock::now() + seconds(10))));
        }
        CHECK(budget.usedBytes() == 0);
    }
}

// Guards against a stream that looks complete although its caller hasn't got all of it.
TEST_CASE("A stream writer reports that a caller left or did not read in time", "[streamwriter]")
{
    asio::io_context context;
    MemoryBudget budget(64U << 20U);
    SlowExchange exchange(context);
    EventWriter writer(context.get_executor(), exchange, budget);
    writer.push("data: 1\n\n");
    run(context);
    writer.push("data: 2\n\n");
    CHECK(!await(context, writer.flush(Clock::now() + milliseconds(20))));
    CHECK(!writer.hasFailed());
    exchange.breakConnection();
    run(context);
    CHECK(writer.hasFailed());
    CHECK(!await(context, writer.flush(Clock::now() + seconds(10))));
    CHECK(exchange.written.empty());
}

// Guards against one large response that lets all requests of its route reserve as much.
TEST_CASE("The memory reserved for a response follows the mean of its route", "[streamwriter]")
{
    AnswerSizes sizes;
    CHECK(sizes.expected("r") == 0);
    sizes.record("r", 2000);
    CHECK(sizes.expected("r") == 2000);
    sizes.record("r", 32000000);
    CHECK(sizes.expected("r") < 32000000 / 15);
    CHECK(sizes.expected("s") == 0);
    for (int i = 0; i < 200; ++i) {
        sizes.record("r", 6000000);
    }
    CHECK(sizes.expected("r") > 5900000);
}
