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

/** What reaches an attempt at its entry. Exactly one member is set. */
struct AttemptMessage
{
    std::optional<wire::Frame> frame;
    std::optional<wire::Resolved> resolved;
    bool linkClosed = false;
};

/**
 * Queue between links and the coroutine that runs an attempt. post() from any thread, next() on the
 * attempt's strand only.
 */
class AttemptInbox : public std::enable_shared_from_this<AttemptInbox>
{
public:
    explicit AttemptInbox(boost::asio::any_io_executor strand);

    void post(AttemptMessage message);
    /** Next message; empty when none came by the given time. */
    boost::asio::awaitable<std::optional<AttemptMessage>> next(TimePoint until);
    bool empty() const noexcept;

private:
    boost::asio::steady_timer m_wakeUp;
    std::deque<AttemptMessage> m_messages;
};

/**
 * Finds the inbox of an attempt. Sharded by attempt id, each shard under its own lock. Frames of attempts
 * that have ended or were replaced find no inbox and are dropped.
 */
class AttemptRouter
{
public:
    void add(AttemptId attempt, const std::shared_ptr<AttemptInbox> &inbox, const Link *link);
    void remove(AttemptId attempt);
    /** Delivers to the attempt; false when it is not known, so the message is dropped. */
    bool deliver(AttemptId attempt, const Link *link, AttemptMessage message);
    /** Tells all attempts on the link that it is closed. */
    void linkClosed(const Link *link);

private:
    struct Slot
    {
        std::weak_ptr<AttemptInbox> inbox;
        const Link *link = nullptr; //!< only messages of this link count
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
