#include "streamwriter.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <deque>
#include <utility>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t blockBytes = 16384; // small events are joined up to this size while the caller is slow
constexpr milliseconds budgetPollInterval{50}; // other requests return memory without notice

} // namespace

struct EventWriter::State
{
    State(const asio::any_io_executor &ownExecutor, HttpExchange &ownExchange, MemoryBudget &budget)
        : executor(ownExecutor), exchange(ownExchange), changed(ownExecutor), memory(&budget)
    {
    }

    /** Charges what the queue takes; on failure, what was charged before stays charged. */
    void charge()
    {
        overBudget = !memory.resize(bytes, budgetDivisor);
    }

    Room room() const
    {
        return bytes >= maxQueuedBytes ? Room::StreamFull : overBudget ? Room::BudgetFull : Room::Free;
    }

    /** Waits for a change of the queue or the time; the caller checks its condition again. */
    asio::awaitable<void> waitForChange(TimePoint until)
    {
        changed.expires_at(until);
        co_await changed.async_wait(useTuple);
    }

    asio::any_io_executor executor;
    HttpExchange &exchange;
    asio::steady_timer changed; //!< cancelled at each change that the request's coroutine may wait for
    MemoryBudget::Share memory;
    std::deque<std::string> queue;
    std::size_t bytes = 0; //!< memory of the queue and of the block that is being written
    bool overBudget = false;
    bool writing = false;
    bool failed = false;
    bool stopped = false;
};

EventWriter::EventWriter(const asio::any_io_executor &executor, HttpExchange &exchange, MemoryBudget &budget)
    : m_state(std::make_shared<State>(executor, exchange, budget))
{
}

EventWriter::~EventWriter()
{
    m_state->stopped = true;
}

asio::awaitable<void> EventWriter::writeQueue(std::shared_ptr<State> state)
{
    while (!state->queue.empty() && !state->failed && !state->stopped) {
        const std::string block = std::move(state->queue.front());
        state->queue.pop_front();
        bool written = false;
        try {
            written = co_await state->exchange.write(block);
        } catch (const std::exception &) {
            written = false; // handled like a connection that failed
        }
        state->failed = !written;
        state->bytes -= block.capacity();
        state->charge();
        state->changed.cancel();
    }
    state->writing = false;
    state->changed.cancel();
}

void EventWriter::push(std::string events)
{
    State &state = *m_state;
    if (events.empty() || state.failed || state.stopped) {
        return;
    }
    if (!state.queue.empty() && state.queue.back().size() + events.size() <= blockBytes) {
        std::string &last = state.queue.back();
        state.bytes -= last.capacity();
        last += events;
        state.bytes += last.capacity();
    } else {
        state.bytes += events.capacity();
        state.queue.push_back(std::move(events));
    }
    state.charge();
    if (!std::exchange(state.writing, true)) {
        asio::co_spawn(state.executor, writeQueue(m_state), asio::detached);
    }
}

EventWriter::Room EventWriter::room() const
{
    return m_state->room();
}

std::size_t EventWriter::queuedBytes() const
{
    return m_state->bytes;
}

bool EventWriter::hasFailed() const
{
    return m_state->failed;
}

asio::awaitable<void> EventWriter::waitForRoom(TimePoint until)
{
    const auto state = m_state;
    while (state->room() != Room::Free && !state->failed && Clock::now() < until) {
        co_await state->waitForChange(std::min(until, state->overBudget ? Clock::now() + budgetPollInterval : until));
        state->charge();
    }
}

asio::awaitable<bool> EventWriter::flush(TimePoint until)
{
    const auto state = m_state;
    while (state->writing && Clock::now() < until) {
        co_await state->waitForChange(until);
    }
    co_return !state->writing && !state->failed;
}

asio::awaitable<void> EventWriter::stop()
{
    const auto state = m_state;
    state->stopped = true;
    while (state->writing) {
        co_await state->waitForChange(TimePoint::max());
    }
}

const char *toString(EventWriter::Room room) noexcept
{
    switch (room) {
    case EventWriter::Room::Free:
        return "none";
    case EventWriter::Room::StreamFull:
        return "bound";
    case EventWriter::Room::BudgetFull:
        return "budget";
    }
    return "";
}

} // namespace snipehill
