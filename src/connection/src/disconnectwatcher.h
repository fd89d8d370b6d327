#pragma once

#include "httpinput.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace snipehill
{

/** State of the read that detects a disconnect while a handler runs. Used on the connection's strand. */
struct DisconnectWatcher
{
    explicit DisconnectWatcher(const boost::asio::any_io_executor &executor) : stopped(executor, TimePoint::max()) { }

    boost::asio::steady_timer stopped; //!< never expires; cancelled to signal that the pending read has ended
    std::function<void()> onDisconnect;
    bool reading = false;
    bool stopping = false;
};

/** Reads while the handler runs. Data is kept for the next request; an error or end of file means that the client has disconnected. */
void watchForDisconnect(const std::shared_ptr<DisconnectWatcher> &watcher, const std::shared_ptr<HttpStream> &stream, boost::beast::flat_buffer &buffer);

/** Cancels the pending read and waits for its end, after which nothing refers to the buffer and onDisconnect isn't called. */
boost::asio::awaitable<void> stopWatching(const std::shared_ptr<DisconnectWatcher> &watcher, const std::shared_ptr<HttpStream> &stream);

} // namespace snipehill
