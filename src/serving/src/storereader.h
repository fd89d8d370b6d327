#pragma once

#include <platform/storeclient.h>
#include <process/log.h>

#include <optional>
#include <string>

namespace snipehill
{

/** Position of a reader that follows a keyed topic of the store. Plain data, used by one task. */
struct StoreReader
{
    std::string topic;
    LogEra era = 0; //!< era of the last page
    Offset next = noOffset; //!< of the next record
    bool needsSnapshot = true; //!< the next read is a snapshot with the newest record of each key
    bool hasRead = false; //!< a page has been read
    TimePoint lastCall{}; //!< when the last call to the store was made
};

/** Records for a reader to apply. */
struct ReaderPage
{
    platform::StorePage page;
    TimePoint requestedAt{}; //!< all records that the store held at this time are applied with this page and those before
    bool isSnapshot = false;
    bool afterOlderCopy = false; //!< a snapshot, because the store came back from an older copy since the last page
    LogEra eraBefore = 0; //!< era of the last page
    Offset offsetBefore = noOffset; //!< offset up to which the reader had read, if it starts anew with this snapshot
};

/** Whether the store is known to have come back from an older copy since the reader's last page. */
bool isBehindEra(const StoreReader &reader, const platform::StoreClient &store);

/**
 * Reads the next page for a reader; waits up to the given time for a record. The timeout of a call is in addition to the wait.
 *
 * A reader whose records may have been lost, or whose next record was deleted, starts anew with a snapshot; no record of one
 * era is returned after a page of another without a snapshot in between. Calls are spaced, also when the store responds at once.
 * Empty with a reason if a call failed.
 */
boost::asio::awaitable<std::optional<ReaderPage>>
readNextPage(StoreReader &reader, platform::StoreClient &store, milliseconds wait, milliseconds timeout, Reason &reason);

/** Logs and counts that a reader started anew after the store came back from an older copy. The fields say what was kept. */
void logReaderRestart(const char *watch, const ReaderPage &page, LogFields fields);

} // namespace snipehill
