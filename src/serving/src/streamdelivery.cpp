#include "streamdelivery.h"

#include <process/metrics.h>

#include <algorithm>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds minFlushTime{30000}; // as long as the server gives a caller for one write
constexpr unsigned statusOk = 200;

milliseconds::rep toMs(Duration time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

} // namespace

asio::awaitable<void> pauseForCaller(DirectRequest &request, DirectExchange &exchange, StreamProgress &progress)
{
    const EventWriter::Room room = progress.writer.room();
    processMetrics().count(Counter::StreamPauses, {toString(room)});
    // Only the first pause of a stream is logged: a slow caller makes room for one piece at a time.
    if (progress.pauses++ == 0) {
        logRequest(request,
                   LogLevel::Info,
                   "stream paused",
                   {{"target", exchange.target.id},
                    {"why", toString(room)},
                    {"queuedBytes", progress.writer.queuedBytes()},
                    {"usedBytes", request.context.responseMemory.usedBytes()},
                    {"events", progress.events.events()}});
    }
    const TimePoint began = Clock::now();
    co_await progress.writer.waitForRoom(request.deadline);
    const Duration paused = Clock::now() - began;
    progress.paused += paused;
    exchange.longestPause = std::max(exchange.longestPause, paused);
}

asio::awaitable<bool> flushEvents(DirectRequest &request, StreamProgress &progress)
{
    const std::size_t queued = progress.writer.queuedBytes();
    const TimePoint until = std::max(request.deadline, Clock::now() + minFlushTime);
    const bool written = co_await progress.writer.flush(until);
    if (!written && !progress.writer.hasFailed()) {
        logRequest(request,
                   LogLevel::Warning,
                   "caller too slow",
                   {{"queuedBytes", queued}, {"leftBytes", progress.writer.queuedBytes()}, {"pauses", progress.pauses}, {"pausedMs", toMs(progress.paused)}});
    }
    co_return written;
}

asio::awaitable<void> finishDelivery(DirectRequest &request, StreamProgress &progress)
{
    const bool flushed = co_await flushEvents(request, progress);
    if (!flushed && !progress.writer.hasFailed()) {
        request.exchange.abort(); // ends the pending write; the response must not look complete
    }
    const bool sent = flushed && co_await request.exchange.finish();
    if (progress.pauses > 0) {
        logRequest(request, LogLevel::Info, "stream was paused", {{"pauses", progress.pauses}, {"pausedMs", toMs(progress.paused)}});
    }
    recordOutcome(request, sent ? "complete" : "caller_left", statusOk);
}

} // namespace snipehill
