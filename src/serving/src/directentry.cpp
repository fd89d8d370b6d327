#include <serving/directentry.h>

#include "directcaches.h"
#include "directpeers.h"
#include "directrequest.h"
#include "directroles.h"
#include "directusage.h"
#include "directwatch.h"

#include <platform/messages.h>
#include <platform/settingsfile.h>
#include <process/metrics.h>
#include <process/pause.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>
#include <csignal>
#include <thread>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr std::uint16_t metricsPort = 9464; // the deploy file uses the same port
constexpr milliseconds flushInterval{200}; // for the log; a killed process loses at most this period
constexpr milliseconds sweepInterval{1000};
constexpr milliseconds restartPause{200}; // before a failed control task is restarted
constexpr milliseconds drainPollInterval{50};
constexpr milliseconds shutdownMargin{400}; // time reserved before the platform kills the process
constexpr milliseconds refusalMargin{400}; // before the end of the process, for refusing the requests that can't end in time
constexpr milliseconds handoverMargin{2000}; // before the end of the process: one call for the duties and one append
constexpr milliseconds balancerDelay{2000}; // until the load balancer stops sending connections: two readiness probes, one second apart
constexpr milliseconds rotationDelay = balancerDelay + milliseconds(2000); // the rest covers connections in flight
constexpr std::size_t responseMemoryDivisor = 4; // of the instance's memory; the rest is for connections, what is known, and unused parts of the heap
constexpr std::size_t requestMemoryDivisor = 3;
constexpr unsigned statusOk = 200;
constexpr unsigned unavailable = 503;
constexpr unsigned notFound = 404;

TargetRegistrySettings registrySettings(const DirectSettings &settings)
{
    TargetRegistrySettings registry;
    registry.instance = settings.instance;
    registry.failureDomain = settings.failureDomain;
    return registry;
}

HttpServerLimits limitsFrom(const CallerLimits &limits, MemoryBudget &requestMemory)
{
    constexpr milliseconds idleSlack{1000}; // callers may reuse a connection until the limit
    HttpServerLimits server;
    server.headerBytes = limits.headerBytes;
    server.bodyBytes = limits.bodyBytes;
    server.headTimeout = limits.headerTimeout;
    server.idleTimeout = limits.idleTimeout + idleSlack;
    server.requestMemory = &requestMemory;
    return server;
}

/** Limits of the ports for readiness checks and operators, whose requests have no bodies. */
HttpServerLimits operatorLimits()
{
    HttpServerLimits server;
    server.bodyBytes = 0;
    server.headerBytes = 8192;
    return server;
}

asio::awaitable<void> respondText(HttpExchange &exchange, unsigned status, std::string body)
{
    HeaderList headers;
    headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
    co_await exchange.respond(status, std::move(headers), std::move(body));
}

} // namespace

void recordReceived()
{
    processMetrics().count(Counter::RequestsReceived);
}

void recordEnd(RequestEnd end, std::string_view error)
{
    processMetrics().count(Counter::RequestsEnded, {toString(end)});
    if (!error.empty()) {
        logEvent(LogComponent::Entry, LogLevel::Error, "request handler failed", {{"end", toString(end)}, {"detail", error}});
    }
}

void recordRejected(unsigned status, std::string_view error, const std::string &client)
{
    processMetrics().count(Counter::RequestsRejected, {std::to_string(status)});
    const Reason reason{Step::Parse, client.substr(0, client.rfind(':')), std::string(error)}; // without the port, so that repeats are counted
    logEvent(LogComponent::Entry, LogLevel::Warning, "request rejected while it was received", reason, {{"status", status}});
}

/** All components of one direct entry. */
struct DirectEntry
{
    explicit DirectEntry(const DirectSettings &own)
        : settings(own)
        , responseMemory(settings.memoryBytes / responseMemoryDivisor)
        , requestMemory(settings.memoryBytes / requestMemoryDivisor)
        , store(settings.store)
        , targets(registrySettings(settings))
        , budgets(settings)
        , usage({settings.instance, randomId()}, settings.usageWindow)
        , quotas(Clock::now())
        , requestContext{settings, routing, targets, connections, budgets, crashes, usage, quotas, activeRequests, responseMemory, serving.get_executor()}
        , watchContext{settings,
                       store,
                       routing,
                       targets,
                       [this](const RoutingVersion &version) {
                           quotas.setRules(version, Clock::now());
                           callers.setLimits(limitsFrom(version.limits, requestMemory));
                       }}
        , leases(control.get_executor(), makeLogAccess(store), usage.self(), leaseSettingsFor(settings))
        , usageContext{settings, store, leases, usage, counts}
        , roleContext{settings, store, leases, routing, targets}
        , cacheContext{settings, routing, targets, watchContext.targetsLoaded, {.self = settings.instance, .started = Clock::now()}}
        , peerContext{settings, store, targets, budgets, crashes, leases, usage, quotas, counts, cacheContext}
        , callers(serving.get_executor(),
                  limitsFrom({}, requestMemory),
                  [this](HttpExchange &exchange) {
                      return serveDirect(requestContext, exchange);
                  },
                  {recordReceived, recordEnd, recordRejected})
        , readiness(control.get_executor(),
                    operatorLimits(),
                    [this](HttpExchange &exchange) {
                        return respondReadiness(exchange);
                    })
        , metrics(control.get_executor(), operatorLimits(), [this](HttpExchange &exchange) {
            return respondOperator(exchange);
        })
    {
        processMetrics().onScrape([this](Metrics &scraped) {
            scraped.set(Gauge::MemoryUsedBytes, {"requests"}, static_cast<double>(requestMemory.usedBytes()));
            scraped.set(Gauge::MemoryUsedBytes, {"responses"}, static_cast<double>(responseMemory.usedBytes()));
        });
    }

    bool isReady() const
    {
        return !draining && routing.current() && watchContext.targetsLoaded;
    }

    asio::awaitable<void> respondReadiness(HttpExchange &exchange)
    {
        if (exchange.request().target() != platform::readinessPath) {
            co_await respondText(exchange, notFound, "");
            co_return;
        }
        const bool ready = isReady();
        co_await respondText(exchange, ready ? statusOk : unavailable, ready ? "ready\n" : "not ready\n");
    }

    /** Metrics; what is blocked because it crashes targets; release of such a block. */
    asio::awaitable<void> respondOperator(HttpExchange &exchange)
    {
        constexpr std::string_view blockedPath = "/blocked";
        constexpr std::string_view releaseSuffix = "/release";
        std::string_view path(exchange.request().target().data(), exchange.request().target().size());
        if (!path.starts_with(blockedPath)) {
            co_await respondText(exchange, statusOk, processMetrics().text());
            co_return;
        }
        path.remove_prefix(blockedPath.size());
        const bool release = exchange.request().method() == boost::beast::http::verb::post && path.ends_with(releaseSuffix);
        if (!path.empty() && (!release || !releaseBlock(path.substr(0, path.size() - releaseSuffix.size())))) {
            co_await respondText(exchange, notFound, "");
            co_return;
        }
        co_await respondText(exchange, statusOk, crashes.blockedAsJson(Clock::now()));
    }

    /** Releases the cause that is named in hexadecimal after a slash. */
    bool releaseBlock(std::string_view path)
    {
        constexpr int hexadecimal = 16;
        CrashCause cause = 0;
        const std::string_view text = path.substr(std::min<std::size_t>(1, path.size()));
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), cause, hexadecimal);
        const bool released = error == std::errc() && end == text.data() + text.size() && crashes.release(cause, Clock::now());
        logEvent(LogComponent::Entry, LogLevel::Info, "release asked for by an operator", {{"cause", text}, {"released", released ? 1 : 0}});
        return released;
    }

    const DirectSettings settings;
    MemoryBudget responseMemory; // both budgets like activeRequests
    MemoryBudget requestMemory;
    ActiveRequests activeRequests; // used by frames that are destroyed with the contexts
    asio::io_context control{1};
    asio::io_context serving{1};
    platform::StoreClient store;
    RoutingHolder routing;
    TargetRegistry targets;
    TargetConnectionPool connections;
    GroupRetryBudgets budgets;
    CrashGuard crashes;
    UsageCounter usage;
    QuotaTable quotas;
    MergedUsage counts;
    DirectContext requestContext;
    WatchContext watchContext;
    LeaseManager leases;
    UsageContext usageContext;
    RoleContext roleContext;
    CacheContext cacheContext;
    PeerContext peerContext;
    HttpServer callers;
    HttpServer readiness;
    HttpServer metrics;
    std::atomic<bool> draining{false};
    bool handedOver = false; // on the control thread
};

namespace
{

/** Runs a control task repeatedly until stopped; restarts it after an exception, which only unexpected input can cause. */
template<typename Work> asio::awaitable<void> runRepeatedly(const char *name, const std::atomic<bool> &stopped, Work work)
{
    while (!stopped) {
        bool failed = false;
        try {
            co_await work();
        } catch (const std::exception &error) {
            failed = true;
            logEvent(LogComponent::Process, LogLevel::Error, "control task failed", {{"work", name}, {"detail", error.what()}});
        }
        if (failed) {
            co_await pauseFor(restartPause);
        }
    }
}

void startBackgroundTasks(DirectEntry &entry)
{
    const auto start = [&entry](const char *name, auto work) {
        asio::co_spawn(entry.control, runRepeatedly(name, entry.watchContext.stopped, std::move(work)), asio::detached);
    };
    start("configuration", [&entry] {
        return watchConfiguration(entry.watchContext);
    });
    start("targets", [&entry] {
        return watchTargets(entry.watchContext);
    });
    start("housekeeping", []() -> asio::awaitable<void> {
        co_await pauseFor(flushInterval);
        flushLog(Clock::now());
    });
    asio::co_spawn(entry.control,
                   runRepeatedly("peers",
                                 entry.peerContext.stopped,
                                 [&entry] {
                                     return exchangePeerUpdates(entry.peerContext);
                                 }),
                   asio::detached);
    asio::co_spawn(entry.control,
                   runRepeatedly("prefix caches",
                                 entry.cacheContext.stopped,
                                 [&entry] {
                                     return learnCaches(entry.cacheContext);
                                 }),
                   asio::detached);
    entry.leases.addScope(scopes::duties);
    entry.leases.start();
    start("engine roles", [&entry] {
        return planEngineRoles(entry.roleContext);
    });
    if (entry.settings.reportsUsage) {
        start("usage counts", [&entry] {
            return publishUsage(entry.usageContext);
        });
        start("usage reports", [&entry] {
            return reportUsage(entry.usageContext);
        });
    }
    asio::co_spawn(entry.serving,
                   runRepeatedly("connections",
                                 entry.watchContext.stopped,
                                 [&entry]() -> asio::awaitable<void> {
                                     co_await pauseFor(sweepInterval);
                                     entry.connections.sweep(Clock::now());
                                 }),
                   asio::detached);
}

/** Releases the leases, so that another entry takes the duties over now instead of after the end of the lease. */
void startHandover(DirectEntry &entry)
{
    asio::co_spawn(
        entry.control,
        [&entry]() -> asio::awaitable<void> {
            co_await entry.leases.stop();
            entry.handedOver = true;
        },
        asio::detached);
}

/** Leaves the load balancer's rotation, serves remaining requests, and stops when all connections are closed or shortly before the kill. */
asio::awaitable<void> drain(DirectEntry &entry)
{
    const TimePoint began = Clock::now();
    entry.draining = true;
    entry.callers.closeAfterResponses();
    logEvent(LogComponent::Process, LogLevel::Info, "draining", {{"active", entry.callers.activeExchanges()}});
    const TimePoint shutdownDeadline = began + entry.settings.grace - shutdownMargin;
    const TimePoint refusalTime = shutdownDeadline - refusalMargin;
    entry.activeRequests.setEnd({.rotationEnd = began + balancerDelay, .answerBy = refusalTime, .end = shutdownDeadline});
    const TimePoint stopAcceptingAt = std::min(began + rotationDelay, refusalTime);
    while (Clock::now() < stopAcceptingAt) {
        co_await pauseFor(drainPollInterval);
    }
    entry.callers.stopAccepting();
    // The duties are kept until then: in a rolling restart, no other entry may be able to claim the lease earlier.
    const TimePoint handoverTime = shutdownDeadline - handoverMargin;
    bool handoverStarted = false;
    while (!(entry.callers.hasEnded() && entry.handedOver) && Clock::now() < shutdownDeadline) {
        if (!handoverStarted && (entry.callers.hasEnded() || Clock::now() >= handoverTime)) {
            handoverStarted = true;
            startHandover(entry);
        }
        // Repeated, because a request may have been admitted right before.
        if (Clock::now() >= refusalTime) {
            asio::post(entry.serving, [&entry] {
                endUnanswered(entry.activeRequests);
            });
        }
        co_await pauseFor(drainPollInterval);
    }
    entry.watchContext.stopped = true;
    entry.usageContext.stopped = true;
    entry.roleContext.stopped = true;
    entry.peerContext.stopped = true;
    entry.cacheContext.stopped = true;
    entry.usage.settleClock(); // a process that ends right after its start publishes its counts too
    co_await flushUsage(entry.usageContext);
    entry.serving.stop();
    entry.control.stop();
}

/** Logs the requests that are in progress after the serving thread has ended. */
void logCutRequests(const DirectEntry &entry)
{
    for (const auto &[id, received] : entry.activeRequests.all()) {
        const auto age = std::chrono::duration_cast<milliseconds>(Clock::now() - received);
        processMetrics().count(Counter::RequestsEnded, {"process_ended"});
        logRequestEvent(LogComponent::Entry, LogLevel::Warning, "request cut by the end of the process", id, {{"tookMs", age.count()}});
    }
    logEvent(LogComponent::Process, LogLevel::Info, "ended", {{"cut", entry.callers.activeExchanges()}});
}

/** Logs whether addresses in the settings file changed; changes take effect at the next start. */
void reload(const DirectEntry &entry)
{
    Reason reason;
    const auto settings = platform::readSettingsFile(reason);
    if (!settings) {
        logEvent(LogComponent::Settings, LogLevel::Error, "changed settings are invalid, keeping the current ones", reason);
        return;
    }
    const bool addressesChanged = settings->callers != entry.settings.callers || settings->store != entry.settings.store;
    logEvent(LogComponent::Settings, LogLevel::Info, "reloaded", {{"addressesChanged", addressesChanged ? 1 : 0}});
}

asio::awaitable<void> handleSignals(DirectEntry &entry)
{
    asio::signal_set signals(entry.control, SIGTERM, SIGINT, SIGHUP);
    while (true) {
        auto [error, signal] = co_await signals.async_wait(asio::as_tuple(asio::use_awaitable));
        if (error) {
            co_return;
        }
        if (signal == SIGHUP) {
            reload(entry);
        } else if (!entry.draining) {
            asio::co_spawn(entry.control, drain(entry), asio::detached);
        }
    }
}

} // namespace

int runDirectEntry(const DirectSettings &settings)
{
    DirectEntry entry(settings);
    Reason reason;
    const Endpoint metricsEndpoint{settings.callers.address, metricsPort};
    if (!entry.callers.start(settings.callers, reason) || !entry.readiness.start(settings.readiness, reason)) {
        logEvent(LogComponent::Process, LogLevel::Error, "cannot start listeners", reason);
        return 1;
    }
    if (!entry.metrics.start(metricsEndpoint, reason)) {
        logEvent(LogComponent::Process, LogLevel::Warning, "cannot serve metrics", reason);
    }
    asio::co_spawn(entry.control, handleSignals(entry), asio::detached);
    startBackgroundTasks(entry);
    logEvent(LogComponent::Process, LogLevel::Info, "started", {{"failureDomain", settings.failureDomain}, {"callers", toString(settings.callers)}});
    std::thread servingThread([&entry] {
        const auto work = asio::make_work_guard(entry.serving);
        entry.serving.run();
    });
    entry.control.run();
    servingThread.join();
    logCutRequests(entry);
    return 0;
}

} // namespace snipehill
