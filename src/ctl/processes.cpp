#include "processes.h"

#include <connection/httpclient.h>
#include <core/ids.h>
#include <version/jsonfields.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace snipehill
{

namespace
{

constexpr milliseconds callTimeout{2000};

boost::asio::awaitable<void> fetchStatus(ProcessReport &report)
{
    Reason reason;
    HttpCall call{.peer = report.member.admin, .timeout = callTimeout};
    call.target = "/status";
    const auto response = co_await httpCall(std::move(call), reason);
    if (!response || response->result_int() != 200) {
        report.problem = response ? "answered " + std::to_string(response->result_int()) : toString(reason);
        co_return;
    }
    report.status = parseJson(response->body(), reason);
    if (!report.status) {
        report.problem = toString(reason);
    }
}

boost::asio::awaitable<void> fetchAllStatuses(Endpoint instances, std::optional<std::vector<ProcessReport>> &reports, Reason &reason)
{
    HttpCall call{.peer = instances, .timeout = callTimeout};
    call.target = "/instances";
    const auto response = co_await httpCall(std::move(call), reason);
    if (!response) {
        co_return;
    }
    const auto members = parseInstanceList(response->body(), reason);
    if (!members) {
        co_return;
    }
    reports.emplace();
    reports->reserve(members->size());
    const auto executor = co_await boost::asio::this_coro::executor;
    for (const Member &member : *members) {
        // The capacity was reserved above, so references to the elements stay valid.
        reports->push_back({member, std::nullopt, ""});
        boost::asio::co_spawn(executor, fetchStatus(reports->back()), boost::asio::detached);
    }
}

} // namespace

std::optional<std::vector<ProcessReport>> fetchProcessReports(const Endpoint &instances, Reason &reason)
{
    boost::asio::io_context context;
    std::optional<std::vector<ProcessReport>> reports;
    boost::asio::co_spawn(context, fetchAllStatuses(instances, reports, reason), boost::asio::detached);
    context.run();
    return reports;
}

Offset configOffset(const ProcessReport &report)
{
    if (!report.status || !report.status->isObject() || !(*report.status)["config"].isObject()) {
        return noOffset;
    }
    const Json::Value &offset = (*report.status)["config"]["offset"];
    return offset.isInt64() ? offset.asInt64() : noOffset;
}

} // namespace snipehill
