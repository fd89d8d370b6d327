#include "configlog.h"

#include "blocking.h"

#include <process/logclient.h>

namespace snipehill
{

namespace
{

boost::asio::awaitable<std::optional<ConfigFold>> readConfigStream(Endpoint log, Reason &reason, const RecordObserver &observer)
{
    ConfigFold fold;
    for (;;) {
        const auto page = co_await readLog(log, streams::config, fold.nextRead, milliseconds(0), reason);
        if (!page) {
            co_return std::nullopt;
        }
        beginPage(fold, page->firstRetained);
        for (const LogRecord &record : page->records) {
            const ApplyResult result = advance(fold, record.offset, record.value);
            if (observer) {
                observer(record.offset, result);
            }
        }
        if (page->records.empty()) {
            break;
        }
    }
    if (!fold.complete) {
        reason = {Step::LogRead, toString(log), "the log holds no whole configuration: earlier records aged out and no snapshot follows"};
        co_return std::nullopt;
    }
    co_return std::move(fold);
}

} // namespace

std::optional<ConfigFold> readConfig(const Endpoint &log, Reason &reason, const RecordObserver &observer)
{
    return runBlocking(readConfigStream(log, reason, observer));
}

std::optional<Offset> appendConfig(const Endpoint &log, const std::vector<Json::Value> &records, Reason &reason)
{
    return runBlocking(appendLog(log, streams::config, records, reason));
}

} // namespace snipehill
