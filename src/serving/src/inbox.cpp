#include "inbox.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <vector>

namespace snipehill
{

namespace asio = boost::asio;

AttemptInbox::AttemptInbox(asio::any_io_executor strand) : m_wakeUp(strand) { }

void AttemptInbox::post(AttemptMessage message)
{
    asio::post(m_wakeUp.get_executor(), [self = shared_from_this(), message = std::move(message)]() mutable {
        self->m_messages.push_back(std::move(message));
        self->m_wakeUp.cancel();
    });
}

asio::awaitable<std::optional<AttemptMessage>> AttemptInbox::next(TimePoint until)
{
    while (m_messages.empty() && Clock::now() < until) {
        m_wakeUp.expires_at(until);
        co_await m_wakeUp.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (m_messages.empty()) {
        co_return std::nullopt;
    }
    AttemptMessage message = std::move(m_messages.front());
    m_messages.pop_front();
    co_return message;
}

bool AttemptInbox::empty() const noexcept
{
    return m_messages.empty();
}

AttemptRouter::Shard &AttemptRouter::shardOf(AttemptId attempt)
{
    return m_shards[attempt % shardCount];
}

void AttemptRouter::add(AttemptId attempt, const std::shared_ptr<AttemptInbox> &inbox, const Link *link)
{
    Shard &shard = shardOf(attempt);
    const std::lock_guard lock(shard.lock);
    shard.slots[attempt] = {inbox, link};
}

void AttemptRouter::remove(AttemptId attempt)
{
    Shard &shard = shardOf(attempt);
    const std::lock_guard lock(shard.lock);
    shard.slots.erase(attempt);
}

bool AttemptRouter::deliver(AttemptId attempt, const Link *link, AttemptMessage message)
{
    Shard &shard = shardOf(attempt);
    const std::lock_guard lock(shard.lock);
    const auto slot = shard.slots.find(attempt);
    if (slot == shard.slots.end() || slot->second.link != link) {
        return false;
    }
    const auto inbox = slot->second.inbox.lock();
    if (!inbox) {
        return false;
    }
    inbox->post(std::move(message));
    return true;
}

void AttemptRouter::linkClosed(const Link *link)
{
    for (Shard &shard : m_shards) {
        const std::lock_guard lock(shard.lock);
        for (auto &[attempt, slot] : shard.slots) {
            if (slot.link != link) {
                continue;
            }
            if (const auto inbox = slot.inbox.lock()) {
                AttemptMessage message;
                message.linkClosed = true;
                inbox->post(std::move(message));
            }
        }
    }
}

} // namespace snipehill
