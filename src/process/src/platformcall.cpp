#include "platformcall.h"

#include <connection/httpclient.h>
#include <core/jsontext.h>
#include <process/logclient.h>

namespace snipehill
{

namespace asio = boost::asio;

asio::awaitable<std::optional<Json::Value>> callPlatform(LeaseManager &leases, PlatformCall call, Reason &reason)
{
    const std::optional<Offset> epoch = leases.epoch(call.scope);
    if (!epoch || !leases.mayCall(call.scope, call.timeout)) {
        reason = {Step::Lease, "", "the lease is not held for as long as the call may take"};
        co_return std::nullopt;
    }
    call.body["holder"] = leases.self().instance;
    call.body["epoch"] = Json::Int64(*epoch);
    HttpCall http{.peer = call.service, .method = boost::beast::http::verb::post, .timeout = call.timeout, .step = call.step};
    http.target = call.path;
    http.body = writeJsonText(call.body);
    http.maySend = [&leases, scope = call.scope, timeout = call.timeout, epoch] {
        return leases.epoch(scope) == epoch && leases.mayCall(scope, timeout);
    };
    const auto response = co_await httpCall(std::move(http), reason);
    if (!response) {
        co_return std::nullopt;
    }
    if (response->result_int() != 200) {
        reason = {call.step, toString(call.service), "platform answered " + std::to_string(response->result_int())};
        co_return std::nullopt;
    }
    auto result = parseJsonText(response->body());
    if (result && !result->isObject()) {
        co_return std::nullopt;
    }
    co_return result;
}

asio::awaitable<bool> readLogToEnd(LogReader &reader, Reason &reason)
{
    while (true) {
        const auto page = co_await readLog(reader.log, reader.stream, reader.next, milliseconds(0), reason);
        if (!page) {
            co_return false;
        }
        if (reader.started && reader.next < page->firstRetained) {
            reader.onGap();
        }
        reader.started = true;
        for (const LogRecord &record : page->records) {
            reader.onRecord(record.offset, record.value);
        }
        if (page->records.empty()) {
            reader.next = page->next;
            co_return true;
        }
        reader.next = page->records.back().offset + 1;
    }
}

} // namespace snipehill
