#pragma once

#include <connection/link.h>
#include <core/ids.h>
#include <core/time.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <link.pb.h>

#include <array>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace snipehill
{

/** A message to an attempt at its entry. Exactly one member is set. */
struct AttemptMessage
{
    std::optional<wire::Frame> frame;
    std::optional<wire::Resolved> resolved;
    bool linkClosed = false;
};

/**
 * Message queue from links to the coroutine that runs an attempt. post() may be called on any thread, next() only on
 * the attempt's strand.
 */
class AttemptInbox : public std::enable_shared_from_this<AttemptInbox>
{
public:
    explicit AttemptInbox(boost::asio::any_io_executor strand);

    void post(AttemptMessage message);
    /** Waits for the next message; empty if none arrived by the given time. */
    boost::asio::awaitable<std::optional<AttemptMessage>> next(TimePoint until);
    bool empty() const noexcept;

private:
    boost::asio::steady_timer m_wakeUp;
    std::deque<AttemptMessage> m_messages;
};

/**
 * Routes messages to the inboxes of attempts. Sharded by attempt id, with one lock per shard. Messages for attempts
 * that have ended, or from a link that was replaced, are dropped. Thread-safe.
 */
class AttemptRouter
{
public:
    void add(AttemptId attempt, const std::shared_ptr<AttemptInbox> &inbox, const Link *link);
    void remove(AttemptId attempt);
    /** Delivers a message to the attempt; false if the attempt or the link is not registered and the message was dropped. */
    bool deliver(AttemptId attempt, const Link *link, AttemptMessage message);
    /** Notifies all attempts on the link that it has closed. */
    void linkClosed(const Link *link);

private:
    struct Slot
    {
        std::weak_ptr<AttemptInbox> inbox;
        const Link *link = nullptr; //!< messages from other links are dropped
    };
    struct Shard
    {
        std::mutex lock;
        std::unordered_map<AttemptId, Slot> slots;
    };
    static constexpr std::size_t shardCount = 16;
    Shard &shardOf(AttemptId attempt);
    std::array<Shard, shardCount> m_shards;
};

} // namespace snipehill
