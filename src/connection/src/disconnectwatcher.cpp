#include "disconnectwatcher.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

void watchForDisconnect(const std::shared_ptr<DisconnectWatcher> &watcher, const std::shared_ptr<HttpStream> &stream, boost::beast::flat_buffer &buffer)
{
    if (buffer.size() >= readAheadBytes) {
        return;
    }
    watcher->reading = true;
    stream->socket().async_read_some(buffer.prepare(readBytes), [watcher, stream, &buffer](const boost::system::error_code &error, std::size_t read) {
        buffer.commit(read);
        watcher->reading = false;
        if (watcher->stopping) {
            watcher->stopped.cancel();
        } else if (error) {
            watcher->onDisconnect();
        } else {
            watchForDisconnect(watcher, stream, buffer);
        }
    });
}

asio::awaitable<void> stopWatching(const std::shared_ptr<DisconnectWatcher> &watcher, const std::shared_ptr<HttpStream> &stream)
{
    watcher->stopping = true;
    if (!watcher->reading) {
        co_return;
    }
    boost::system::error_code ignored;
    stream->socket().cancel(ignored);
    while (watcher->reading) {
        co_await watcher->stopped.async_wait(useTuple);
    }
}

} // namespace snipehill
