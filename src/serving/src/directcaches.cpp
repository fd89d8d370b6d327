#include "directcaches.h"

#include "targetstatements.h"

#include <connection/httpclient.h>
#include <platform/messages.h>
#include <process/log.h>
#include <process/metrics.h>
#include <process/pause.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <iterator>
#include <memory>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds peerWait{400}; // after the targets are loaded; other entries are found and answer within two or three of their updates
constexpr milliseconds pollInterval{20};
constexpr milliseconds listTimeout{1000};
constexpr std::size_t maxCalls = 4; // at a time; lists are parsed one after another on the control thread
constexpr unsigned statusOk = 200;

/** The engines still to be asked, shared by the coroutines that ask. */
struct PendingCalls
{
    std::vector<TargetEntry> engines;
    std::size_t next = 0;
    std::size_t active = 0; //!< coroutines
};

/** Asks one engine and applies its list. Returns the outcome for logs and metrics. */
asio::awaitable<const char *> askEngine(CacheContext &context, TargetRef engine, std::size_t &parts, std::size_t &bytes, Reason &reason)
{
    const HttpRequest request = platform::buildKvListRequest(engine.id);
    HttpCall call{.peer = engine.endpoint, .method = request.method(), .target = std::string(request.target()), .timeout = listTimeout};
    for (const auto &field : request) {
        call.headers.emplace_back(field.name_string(), field.value());
    }
    call.bodyLimit = platform::maxKvListBytes;
    bool barred = false;
    call.maySend = [&context, &engine, &barred] {
        barred = !maySendTo(context.targets, engine, SendPurpose::KvList, {});
        return !barred;
    };
    const auto response = co_await httpCall(std::move(call), reason);
    if (!response) {
        co_return barred ? "barred" : "not_answered";
    }
    bytes = response->body().size();
    const unsigned status = response->result_int();
    recordStatement(context.targets, engine, platform::parseTargetStatement(*response), status, SendPurpose::KvList, {});
    if (status != statusOk) {
        reason = {Step::RunOnTarget, toString(engine.endpoint), "answered " + std::to_string(status)};
        co_return "refused";
    }
    const auto list = platform::parseKvList(response->body(), reason);
    if (!list) {
        co_return "unusable";
    }
    parts = recordAnswer(context.exchange, context.targets, engine, *list, Clock::now());
    co_return "applied";
}

/** Asks engines until none is left. */
asio::awaitable<void> askEngines(CacheContext &context, std::shared_ptr<PendingCalls> pending)
{
    while (pending->next < pending->engines.size() && !context.stopped) {
        const TargetEntry &entry = pending->engines[pending->next++];
        Reason reason;
        const auto endpoint = parseEndpoint(entry.address, reason);
        if (!endpoint) {
            continue;
        }
        const TargetRef engine{.group = entry.group, .id = entry.id, .endpoint = *endpoint, .failureDomain = entry.failureDomain, .run = targetRun(entry)};
        const TimePoint began = Clock::now();
        std::size_t parts = 0;
        std::size_t bytes = 0;
        const std::string outcome = co_await askEngine(context, engine, parts, bytes, reason);
        const auto took = std::chrono::duration_cast<milliseconds>(Clock::now() - began);
        processMetrics().count(Counter::CacheLists, {outcome});
        logDistinctEvent(LogComponent::Entry,
                         LogLevel::Info,
                         "engine asked for its prefix cache",
                         {{"target", engine.id}, {"parts", parts}, {"bytes", bytes}, {"ms", took.count()}, {"outcome", outcome}, {"detail", reason.detail}});
    }
    --pending->active;
}

} // namespace

std::vector<TargetEntry> listEngines(const CacheContext &context)
{
    std::vector<TargetEntry> engines;
    const RoutingVersionPointer routing = context.routing.current();
    if (!routing) {
        return engines;
    }
    const std::vector<TargetEntry> entries = context.targets.entries(Clock::now());
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(engines), [&routing](const TargetEntry &entry) {
        const auto group = routing->groups.find(entry.group);
        return group != routing->groups.end() && group->second.engine;
    });
    return engines;
}

asio::awaitable<void> learnCaches(CacheContext &context)
{
    while (!context.stopped && (!context.targetsLoaded || !context.routing.current())) {
        co_await pauseFor(pollInterval);
    }
    co_await pauseFor(peerWait);
    const auto pending = std::make_shared<PendingCalls>();
    const std::vector<TargetEntry> engines = listEngines(context);
    pending->engines = enginesToAsk(context.exchange, context.targets, engines, Clock::now());
    logEvent(LogComponent::Entry,
             LogLevel::Info,
             "prefix caches to be asked for",
             {{"engines", engines.size()}, {"asked", pending->engines.size()}, {"peers", context.exchange.peers.size()}});
    const auto executor = co_await asio::this_coro::executor;
    for (std::size_t i = 0; i < std::min(maxCalls, pending->engines.size()); ++i) {
        ++pending->active;
        asio::co_spawn(executor, askEngines(context, pending), asio::detached);
    }
    while (pending->active > 0 && !context.stopped) {
        co_await pauseFor(pollInterval);
    }
    context.stopped = true;
}

} // namespace snipehill
