#include "storereader.h"

#include <process/metrics.h>
#include <process/pause.h>

#include <utility>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds minCallInterval{100}; // bounds the calls of a reader; short against the times within which changes take effect

asio::awaitable<void> spaceCalls(StoreReader &reader)
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(Clock::now() - reader.lastCall);
    if (elapsed < minCallInterval) {
        co_await pauseFor(minCallInterval - elapsed);
    }
    reader.lastCall = Clock::now();
}

} // namespace

bool isBehindEra(const StoreReader &reader, const platform::StoreClient &store)
{
    return reader.hasRead && store.era() > reader.era;
}

asio::awaitable<std::optional<ReaderPage>>
readNextPage(StoreReader &reader, platform::StoreClient &store, milliseconds wait, milliseconds timeout, Reason &reason)
{
    if (!reader.needsSnapshot && !isBehindEra(reader, store)) {
        co_await spaceCalls(reader);
        const TimePoint requestedAt = Clock::now();
        auto page = co_await store.read(reader.topic, reader.next, wait, timeout, reason);
        if (!page) {
            co_return std::nullopt;
        }
        if (!page->offsetDeleted && page->era == reader.era && !isBehindEra(reader, store)) {
            reader.next = page->next;
            co_return ReaderPage{.page = std::move(*page), .requestedAt = requestedAt, .eraBefore = reader.era};
        }
    }
    reader.needsSnapshot = true;
    co_await spaceCalls(reader);
    const TimePoint requestedAt = Clock::now();
    auto snapshot = co_await store.readNewest(reader.topic, timeout, reason);
    if (!snapshot) {
        co_return std::nullopt;
    }
    ReaderPage result{.page = std::move(*snapshot), .requestedAt = requestedAt, .isSnapshot = true, .eraBefore = reader.era, .offsetBefore = reader.next};
    result.afterOlderCopy = reader.hasRead && result.page.era > reader.era;
    reader.era = result.page.era;
    reader.next = result.page.next;
    reader.needsSnapshot = false;
    reader.hasRead = true;
    co_return result;
}

void logReaderRestart(const char *watch, const ReaderPage &page, LogFields fields)
{
    processMetrics().count(Counter::LogEraEvents, {"reader_restarted"});
    LogFields all{{"watch", watch}, {"era", page.page.era}, {"eraBefore", page.eraBefore}, {"offset", page.page.next}, {"offsetBefore", page.offsetBefore}};
    all.insert(all.end(), fields.begin(), fields.end());
    logEvent(LogComponent::Config, LogLevel::Info, "reader started anew", std::move(all));
}

} // namespace snipehill
