#include <process/intentwriter.h>

#include <process/logclient.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <atomic>
#include <exception>
#include <limits>
#include <map>
#include <mutex>
#include <utility>

namespace asio = boost::asio;

namespace snipehill
{

namespace
{

constexpr milliseconds retryDelay{100};
constexpr Offset endOfStream = std::numeric_limits<Offset>::max();

using TimerPointer = std::shared_ptr<asio::steady_timer>;

} // namespace

/** Accessed on the strand only, except the atomics and the counters. */
struct IntentWriter::State : std::enable_shared_from_this<IntentWriter::State>
{
    State(IntentWriterOptions writerOptions, const asio::any_io_executor &executor)
        : options(std::move(writerOptions)), strand(asio::make_strand(executor)), workTimer(strand)
    {
        intents.self = options.self;
    }

    void count(std::uint64_t IntentCounts::*counter, std::uint64_t by = 1)
    {
        const std::lock_guard lock(countsMutex);
        counts.*counter += by;
    }

    void wake()
    {
        workPending = true;
        workTimer.cancel();
    }

    void wakeWaiters()
    {
        for (const auto &[claim, timer] : waiters) {
            timer->cancel();
        }
    }

    /** Updates the count that idle() reads. */
    void updateUnresolved()
    {
        unresolved = intents.outcomes.size() + outcomesInFlight + intents.pendingClaims.size();
    }

    void storeOutcome(IntentEntry entry);
    void postOutcome(IntentEntry entry);
    asio::awaitable<IntentClaim> claim(IntentKey key, std::string bodyHash, milliseconds timeout);
    asio::awaitable<bool> readUpTo(Offset last, TimePoint deadline, Reason &reason);
    asio::awaitable<std::optional<IntentState>> lookUp(IntentKey key, milliseconds timeout, Reason &reason);
    asio::awaitable<void> waitForBudget();
    /** Returns false if the append was not answered. */
    asio::awaitable<bool> appendBatch();
    /** One iteration of the loop; returns false if it must be retried after a delay. */
    asio::awaitable<bool> runOnce();
    asio::awaitable<void> loop();

    const IntentWriterOptions options;
    asio::strand<asio::any_io_executor> strand;
    asio::steady_timer workTimer;
    bool workPending = false;
    IntentWriterState intents;
    std::map<std::uint64_t, TimerPointer> waiters; //!< by claim id; cancelled to make the claim check for a result
    TimePoint nextAppendAt{}; //!< earliest time of the next append under the budget
    std::atomic<bool> stopped{false};
    std::size_t outcomesInFlight = 0;
    std::atomic<std::size_t> postedOutcomes{0}; //!< outcomes posted to the strand but not handled yet
    std::atomic<std::size_t> unresolved{0}; //!< pending claims and outcomes

    mutable std::mutex countsMutex;
    IntentCounts counts;
};

void IntentWriter::State::storeOutcome(IntentEntry entry)
{
    addOutcome(intents, std::move(entry), Clock::now());
    updateUnresolved();
    --postedOutcomes;
    wake();
}

void IntentWriter::State::postOutcome(IntentEntry entry)
{
    ++postedOutcomes;
    asio::post(strand, [self = shared_from_this(), entry = std::move(entry)]() mutable {
        self->storeOutcome(std::move(entry));
    });
}

asio::awaitable<IntentClaim> IntentWriter::State::claim(IntentKey key, std::string bodyHash, milliseconds timeout)
{
    const std::uint64_t id = randomId();
    const TimePoint deadline = Clock::now() + std::min(timeout, options.claimTimeout);
    addClaim(intents, id, std::move(key), std::move(bodyHash), deadline);
    const auto timer = std::make_shared<asio::steady_timer>(strand);
    waiters[id] = timer;
    count(&IntentCounts::claims);
    updateUnresolved();
    wake();
    std::optional<IntentClaim> result;
    while (!result) {
        boost::system::error_code ignored;
        timer->expires_at(deadline);
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        result = resolveClaim(intents, id, stopped ? TimePoint::max() : Clock::now());
    }
    waiters.erase(id);
    updateUnresolved();
    wake();
    if (std::holds_alternative<IntentOwned>(*result)) {
        count(&IntentCounts::owned);
    } else if (std::holds_alternative<IntentOwnedByOther>(*result)) {
        count(&IntentCounts::ownedByOther);
    } else {
        count(&IntentCounts::logUnavailable);
    }
    co_return *result;
}

asio::awaitable<bool> IntentWriter::State::readUpTo(Offset last, TimePoint deadline, Reason &reason)
{
    while (intents.table.next <= last && Clock::now() < deadline) {
        std::optional<LogPage> page;
        try {
            page = co_await readLog(options.log, options.stream, intents.table.next, milliseconds(0), reason);
        } catch (const std::exception &error) {
            reason = {Step::LogRead, toString(options.log), error.what()};
        }
        if (!page) {
            co_return false;
        }
        std::vector<std::pair<Offset, Json::Value>> records;
        for (const LogRecord &record : page->records) {
            records.emplace_back(record.offset, record.value);
        }
        applyIntentPage(intents, page->firstRetained, records);
        count(&IntentCounts::recordsRead, records.size());
        if (records.empty()) {
            co_return last == endOfStream;
        }
    }
    co_return intents.table.next > last;
}

asio::awaitable<std::optional<IntentState>> IntentWriter::State::lookUp(IntentKey key, milliseconds timeout, Reason &reason)
{
    const TimePoint deadline = Clock::now() + timeout;
    reason = {Step::RecordIntent, "", "the log was not read to its end in time"};
    const bool read = co_await readUpTo(endOfStream, deadline, reason);
    const IntentState *found = read ? findIntent(intents.table, key) : nullptr;
    if (read && !found) {
        reason = {Step::RecordIntent, "", "nothing is recorded under the key"};
    }
    co_return found ? std::optional(*found) : std::nullopt;
}

asio::awaitable<void> IntentWriter::State::waitForBudget()
{
    const TimePoint now = Clock::now();
    const TimePoint start = std::max(now, nextAppendAt);
    nextAppendAt = start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / options.appendsPerSecond));
    if (start > now) {
        count(&IntentCounts::budgetWaits);
        boost::system::error_code ignored;
        asio::steady_timer timer(strand, start);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<bool> IntentWriter::State::appendBatch()
{
    co_await waitForBudget();
    auto batch = takeNextBatch(intents);
    if (!batch) {
        co_return true;
    }
    std::vector<Json::Value> records{writeIntentRecord(batch->record)};
    outcomesInFlight = batch->outcomes.size();
    count(&IntentCounts::appends);
    count(&IntentCounts::entries, batch->record.entries.size());
    Reason reason;
    std::optional<Offset> offset;
    try {
        offset = co_await appendLog(options.log, options.stream, std::move(records), reason);
    } catch (const std::exception &) {
        offset = std::nullopt;
    }
    onAppendResult(intents, std::move(*batch), offset.has_value());
    outcomesInFlight = 0;
    updateUnresolved();
    if (!offset) {
        count(&IntentCounts::lostResponses);
    }
    if (!intents.pendingClaims.empty()) {
        // Without a response the offset is unknown, so the stream is read to its end to see whether the append took effect.
        const bool read = co_await readUpTo(offset.value_or(endOfStream), TimePoint::max(), reason);
        if (read && !offset) {
            requeueMissingClaims(intents);
        }
    }
    co_return offset.has_value();
}

asio::awaitable<bool> IntentWriter::State::runOnce()
{
    const auto due = appendDueAt(intents, Clock::now());
    bool done = true;
    if (due && *due <= Clock::now()) {
        done = co_await appendBatch();
    } else if (!intents.pendingClaims.empty()) {
        // The claims were appended, but the read that followed failed.
        Reason reason;
        done = co_await readUpTo(endOfStream, TimePoint::max(), reason);
        if (done) {
            requeueMissingClaims(intents);
        }
    }
    wakeWaiters();
    co_return done;
}

asio::awaitable<void> IntentWriter::State::loop()
{
    const auto self = shared_from_this();
    bool retry = false;
    while (!stopped) {
        const auto due = appendDueAt(intents, Clock::now());
        if (!workPending || retry) {
            boost::system::error_code ignored;
            const TimePoint soon = Clock::now() + retryDelay;
            workTimer.expires_at(retry ? soon : due.value_or(intents.pendingClaims.empty() ? TimePoint::max() : soon));
            co_await workTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        workPending = false;
        try {
            const bool done = co_await runOnce();
            retry = !done;
        } catch (const std::exception &) {
            retry = true; // a malformed response is treated as none
        }
    }
    wakeWaiters();
}

IntentWriter::IntentWriter(IntentWriterOptions options, const asio::any_io_executor &executor) : m_state(std::make_shared<State>(std::move(options), executor))
{
}

IntentWriter::~IntentWriter()
{
    m_state->stopped = true;
}

asio::awaitable<IntentClaim> IntentWriter::claim(IntentKey key, std::string bodyHash, milliseconds timeout)
{
    const auto state = m_state;
    auto run = state->claim(recordableKey(std::move(key)), std::move(bodyHash), timeout);
    co_return co_await asio::co_spawn(state->strand, std::move(run), asio::use_awaitable);
}

void IntentWriter::finished(const IntentKey &key, std::uint64_t claim, RecordedResponse response)
{
    IntentEntry entry{.verb = IntentVerb::Finished, .key = recordableKey(key), .claim = claim, .response = recordableResponse(std::move(response))};
    m_state->postOutcome(std::move(entry));
}

void IntentWriter::notRun(const IntentKey &key, std::uint64_t claim)
{
    IntentEntry entry{.verb = IntentVerb::NotRun, .key = recordableKey(key), .claim = claim};
    m_state->postOutcome(std::move(entry));
}

asio::awaitable<std::optional<IntentState>> IntentWriter::lookUp(IntentKey key, milliseconds timeout, Reason &reason)
{
    const auto state = m_state;
    auto run = state->lookUp(recordableKey(std::move(key)), timeout, reason);
    co_return co_await asio::co_spawn(state->strand, std::move(run), asio::use_awaitable);
}

bool IntentWriter::idle() const
{
    return m_state->postedOutcomes == 0 && m_state->unresolved == 0;
}

void IntentWriter::start()
{
    asio::co_spawn(m_state->strand, m_state->loop(), asio::detached);
}

void IntentWriter::stop()
{
    m_state->stopped = true;
    asio::post(m_state->strand, [state = m_state] {
        state->wake();
        state->wakeWaiters();
    });
}

IntentCounts IntentWriter::counts() const
{
    const std::lock_guard lock(m_state->countsMutex);
    return m_state->counts;
}

} // namespace snipehill
