#pragma once

#include <connection/httpserver.h>
#include <core/memorybudget.h>
#include <core/time.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace snipehill
{

/**
 * Writes the events of one stream to its caller while further events are read from the target.
 *
 * Targets abort a response that stays unread for some seconds, so what a slow caller has not taken yet is queued, within a bound for
 * each stream and half of the memory budget for responses. The other half remains for the bodies and events of other requests. Events
 * are written in the order of push(), each as soon as those before it are written.
 *
 * Owned by the coroutine that serves the request and used on its executor only. Await stop() before the exchange ends.
 */
class EventWriter
{
public:
    static constexpr std::size_t maxQueuedBytes = 1U << 20U; //!< of one stream; 50 s of a stream of 100 events of 200 bytes per second
    static constexpr std::size_t budgetDivisor = 2; //!< all queues together take at most this part of the budget

    /** What a stream waits for before more of it is read. */
    enum class Room {
        Free, //!< nothing: more events may be pushed
        StreamFull, //!< the bound for each stream is reached
        BudgetFull, //!< the queues of all streams take the part of the budget that is meant for them
    };

    EventWriter(const boost::asio::any_io_executor &executor, HttpExchange &exchange, MemoryBudget &budget);
    ~EventWriter();
    EventWriter(const EventWriter &) = delete;
    EventWriter &operator=(const EventWriter &) = delete;

    /** Queues events and starts writing them. Accepted also without room, because they have been read already. */
    void push(std::string events);
    Room room() const;
    /** Bytes that are queued or being written. */
    std::size_t queuedBytes() const;
    /** Whether a write has failed; nothing is written any more. */
    bool hasFailed() const;
    /** Waits until there is room, a write has failed or the time is up. */
    boost::asio::awaitable<void> waitForRoom(TimePoint until);
    /** Waits until everything has been written; false if a write failed or the time is up. */
    boost::asio::awaitable<bool> flush(TimePoint until);
    /** Writes nothing further and waits for the end of the write in progress. */
    boost::asio::awaitable<void> stop();

private:
    struct State;
    static boost::asio::awaitable<void> writeQueue(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

/** "bound" or "budget", for logs and metrics. */
const char *toString(EventWriter::Room room) noexcept;

} // namespace snipehill
