#include <process/leasemanager.h>
#include <process/metrics.h>
#include <process/pause.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <mutex>
#include <thread>

using namespace snipehill;
namespace asio = boost::asio;

namespace
{

const LeaseSettings settings{.duration = milliseconds(3000), .margin = milliseconds(300)};
constexpr milliseconds pollInterval{20};
constexpr milliseconds longWait{20000};
constexpr milliseconds responseTime{2}; //!< of each read
constexpr milliseconds callTimeout{100};

/** Log in memory. Like the platform's, it responds at once to a read beyond its end. */
struct MemoryLog
{
    std::mutex mutex;
    bool tellsEra = true;
    LogEra era = 1;
    std::vector<Json::Value> records;
    std::size_t reads = 0;

    std::optional<LogPage> page(Offset from)
    {
        const std::lock_guard lock(mutex);
        const auto end = static_cast<Offset>(records.size());
        if (from == end) {
            return std::nullopt;
        }
        LogPage page{.era = tellsEra ? era : 0, .firstRetained = 0, .next = from > end ? 0 : end};
        for (Offset offset = from; offset < end; ++offset) {
            page.records.push_back({offset, records[static_cast<std::size_t>(offset)]});
        }
        return page;
    }

    asio::awaitable<std::optional<LogPage>> read(Offset from, milliseconds wait)
    {
        {
            const std::lock_guard lock(mutex);
            ++reads;
        }
        co_await pauseFor(responseTime);
        for (milliseconds waited{0}; waited < wait; waited += pollInterval) {
            if (auto found = page(from)) {
                co_return found;
            }
            co_await pauseFor(pollInterval);
        }
        if (auto found = page(from)) {
            co_return found;
        }
        co_return LogPage{.era = tellsEra ? era : 0, .firstRetained = 0, .next = from};
    }

    /** Forgets the latest records. */
    void returnToCopy(std::size_t kept)
    {
        const std::lock_guard lock(mutex);
        ++era;
        records.resize(std::min(kept, records.size()));
    }

    LogAccess access()
    {
        LogAccess log;
        log.read = [this](std::string, Offset from, milliseconds wait, Reason &) {
            return read(from, wait);
        };
        log.append = [this](std::string, std::vector<Json::Value> added, Reason &) -> asio::awaitable<std::optional<Offset>> {
            const std::lock_guard lock(mutex);
            records.insert(records.end(), added.begin(), added.end());
            co_return static_cast<Offset>(records.size() - added.size());
        };
        if (tellsEra) {
            log.era = [this] {
                const std::lock_guard lock(mutex);
                return era;
            };
        }
        return log;
    }
};

/** A lease manager on a thread of its own. */
struct RunningManager
{
    RunningManager(MemoryLog &log, const char *instance) : manager(io.get_executor(), log.access(), {instance, randomId()}, settings)
    {
        manager.addScope(scopes::duties);
        manager.start();
        thread = std::thread([this] {
            io.run();
        });
    }
    ~RunningManager()
    {
        io.stop();
        thread.join();
    }

    asio::io_context io{1};
    LeaseManager manager;
    std::thread thread;
};

template<typename Condition> bool becomesTrue(Condition condition)
{
    for (milliseconds waited{0}; waited < longWait; waited += pollInterval) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

std::optional<LeaseHold> holdOf(const RunningManager &running)
{
    return running.manager.hold(scopes::duties, callTimeout);
}

} // namespace

// Guards against a reader that goes on at its old position after the log has given offsets out again.
TEST_CASE("a holder claims anew with a higher token when the log comes back from an older copy", "[lease][era]")
{
    MemoryLog log;
    const RunningManager running(log, "a");
    REQUIRE(becomesTrue([&] {
        return holdOf(running).has_value();
    }));
    const auto before = holdOf(running);
    REQUIRE(before);
    REQUIRE(before->era == 1);
    log.returnToCopy(0);
    REQUIRE(becomesTrue([&] {
        const auto hold = holdOf(running);
        return hold && hold->era == 2;
    }));
    const auto after = holdOf(running);
    REQUIRE(after);
    REQUIRE(after->token > before->token);
    REQUIRE(after->tenure == before->tenure);
    REQUIRE(after->since == before->since);
    REQUIRE(after->eraKnownSince > before->eraKnownSince);
    const LeaseStatus status = running.manager.status().front();
    REQUIRE(status.era == 2);
    REQUIRE(status.valid);
    REQUIRE(status.validFor > milliseconds(0));
    REQUIRE(status.validFor <= settings.duration - settings.margin);
    REQUIRE(processMetrics().text().find("leases_restarted") != std::string::npos);
}

// Guards against a reader that takes all of the store's and its own processor time when the store responds at once.
TEST_CASE("a lease reader does not spin on a log that has nothing at its position", "[lease][era]")
{
    for (const bool tellsEra : {false, true}) {
        INFO("tells its era: " << tellsEra);
        MemoryLog log;
        log.tellsEra = tellsEra;
        const RunningManager running(log, "a");
        REQUIRE(becomesTrue([&] {
            return holdOf(running).has_value();
        }));
        // Without a rise of the era, as if the header were missing.
        {
            const std::lock_guard lock(log.mutex);
            log.records.clear();
            log.reads = 0;
        }
        std::this_thread::sleep_for(milliseconds(1000));
        const std::lock_guard lock(log.mutex);
        REQUIRE(log.reads <= 12);
    }
}

// Guards against a planned stop that costs the duties a lease.
TEST_CASE("a stopped holder hands its lease over at once", "[lease][era]")
{
    MemoryLog log;
    RunningManager first(log, "a");
    REQUIRE(becomesTrue([&] {
        return holdOf(first).has_value();
    }));
    const RunningManager second(log, "b");
    std::this_thread::sleep_for(settings.duration + 2 * settings.margin);
    REQUIRE_FALSE(holdOf(second));
    const Offset token = holdOf(first).value_or(LeaseHold{}).token;
    const TimePoint stopped = Clock::now();
    asio::co_spawn(first.io, first.manager.stop(), asio::use_future).get();
    REQUIRE_FALSE(holdOf(first));
    REQUIRE(becomesTrue([&] {
        return holdOf(second).has_value();
    }));
    REQUIRE(Clock::now() - stopped < settings.duration);
    REQUIRE(holdOf(second)->token > token);
}
