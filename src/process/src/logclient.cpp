#include <process/logclient.h>

#include <connection/httpclient.h>
#include <core/jsontext.h>
#include <process/log.h>
#include <process/metrics.h>

namespace snipehill
{

namespace
{

constexpr milliseconds callTimeout{2000};
constexpr int maxPageRecords = 500;

std::optional<Json::Value> parseResponse(const HttpResponse &response, const Endpoint &log, Step step, Reason &reason)
{
    auto value = response.result_int() == 200 ? parseJsonText(response.body()) : std::nullopt;
    if (!value || !value->isObject()) {
        reason = {step, toString(log), "log answered " + std::to_string(response.result_int())};
        return std::nullopt;
    }
    return value;
}

} // namespace

boost::asio::awaitable<std::optional<LogPage>> readLog(Endpoint log, std::string stream, Offset from, milliseconds wait, Reason &reason)
{
    HttpCall call{.peer = log, .timeout = callTimeout + wait, .step = Step::LogRead};
    call.target = "/streams/" + stream + "/records?from=" + std::to_string(from) + "&max=" + std::to_string(maxPageRecords)
        + "&waitMs=" + std::to_string(wait.count());
    const auto response = co_await httpCall(std::move(call), reason);
    if (!response) {
        co_return std::nullopt;
    }
    const auto result = parseResponse(*response, log, Step::LogRead, reason);
    if (!result) {
        co_return std::nullopt;
    }
    LogPage page;
    if (!(*result)["first"].isInt64() || !(*result)["next"].isInt64() || !(*result)["records"].isArray()) {
        reason = {Step::LogRead, toString(log), "the page lacks a field"};
        co_return std::nullopt;
    }
    page.firstRetained = (*result)["first"].asInt64();
    page.next = (*result)["next"].asInt64();
    if (page.next < from) {
        // Readers can't recover from this: the log's offsets must never fall.
        processMetrics().count(Counter::LogEraEvents, {"records_lost"});
        logEvent(LogComponent::Process,
                 LogLevel::Error,
                 "log has lost records",
                 {Step::LogRead, toString(log), "the stream " + stream + " ends before the next record"},
                 {{"next", page.next}, {"from", from}});
    }
    for (const Json::Value &entry : (*result)["records"]) {
        if (entry.isObject() && entry["offset"].isInt64()) {
            page.records.push_back({entry["offset"].asInt64(), entry["record"]});
        }
    }
    co_return page;
}

boost::asio::awaitable<std::optional<Offset>> appendLog(Endpoint log, std::string stream, std::vector<Json::Value> records, Reason &reason)
{
    Json::Value body(Json::arrayValue);
    for (Json::Value &record : records) {
        body.append(std::move(record));
    }
    HttpCall call{.peer = log, .method = boost::beast::http::verb::post, .timeout = callTimeout, .step = Step::LogAppend};
    call.target = "/streams/" + stream + "/records";
    call.body = writeJsonText(body);
    const auto response = co_await httpCall(std::move(call), reason);
    const auto result = response ? parseResponse(*response, log, Step::LogAppend, reason) : std::nullopt;
    processMetrics().count(Counter::LogAppends, {stream, result ? "answered" : "not_answered"});
    if (!result || !(*result)["first"].isInt64()) {
        co_return std::nullopt;
    }
    co_return (*result)["first"].asInt64();
}

LogAccess makeLogAccess(Endpoint log)
{
    LogAccess access;
    access.read = [log](std::string stream, Offset from, milliseconds wait, Reason &reason) {
        return readLog(log, std::move(stream), from, wait, reason);
    };
    access.append = [log](std::string stream, std::vector<Json::Value> records, Reason &reason) {
        return appendLog(log, std::move(stream), std::move(records), reason);
    };
    return access;
}

} // namespace snipehill
