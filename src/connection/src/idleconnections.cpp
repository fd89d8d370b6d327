#include "idleconnections.h"

#include <boost/asio/post.hpp>

namespace snipehill
{

std::uint64_t IdleConnections::add(const std::shared_ptr<HttpStream> &stream)
{
    const std::lock_guard lock(m_lock);
    m_streams.emplace(m_next, stream);
    return m_next++;
}

void IdleConnections::remove(std::uint64_t number)
{
    const std::lock_guard lock(m_lock);
    m_streams.erase(number);
}

bool IdleConnections::contains(std::uint64_t number)
{
    const std::lock_guard lock(m_lock);
    return m_streams.contains(number);
}

void IdleConnections::cancelReads()
{
    const std::lock_guard lock(m_lock);
    for (const auto &[number, weak] : m_streams) {
        if (const auto stream = weak.lock()) {
            boost::asio::post(stream->get_executor(), [this, stream, number = number] {
                // The connection may have begun a request since, whose operations must not be cancelled.
                if (contains(number)) {
                    stream->cancel();
                }
            });
        }
    }
}

} // namespace snipehill
