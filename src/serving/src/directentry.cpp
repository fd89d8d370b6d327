#include <serving/directentry.h>

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
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <thread>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr std::uint16_t metricsPort = 9464; // named by the deploy file too
constexpr milliseconds flushInterval{200}; // of the log: a killed process loses lines of at most this
constexpr milliseconds sweepInterval{1000};
constexpr milliseconds restartPause{200}; // after control work failed unexpectedly
constexpr milliseconds drainPoll{50};
constexpr milliseconds endMargin{400}; // before the platform's kill
constexpr milliseconds leaveRotation{4000}; // the balancer takes two of its questions, a second apart, to stop sending connections; rest for those on the way
constexpr unsigned statusOk = 200;
constexpr unsigned unavailable = 503;
constexpr unsigned notFound = 404;

TargetBookSettings bookSettings(const DirectSettings &settings)
{
    TargetBookSettings book;
    book.instance = settings.instance;
    book.failureDomain = settings.failureDomain;
    return book;
}

HttpServerLimits limitsFrom(const CallerLimits &limits)
{
    constexpr milliseconds idleSlack{1000}; // callers may use a connection up to the limit
    HttpServerLimits server;
    server.headerBytes = limits.headerBytes;
    server.bodyBytes = limits.bodyBytes;
    server.headTimeout = limits.headerTimeout;
    server.idleTimeout = limits.idleTimeout + idleSlack;
    return server;
}

asio::awaitable<void> answerText(HttpExchange &exchange, unsigned status, std::string body)
{
    HeaderList headers;
    headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
    co_await exchange.respond(status, std::move(headers), std::move(body));
}

} // namespace

/** Everything that one entry consists of. */
struct DirectEntry
{
    explicit DirectEntry(const DirectSettings &own)
        : settings(own)
        , store(settings.store)
        , targets(bookSettings(settings))
        , budgets(settings)
        , usage({settings.instance, randomId()}, settings.usageWindow)
        , context{settings, routing, targets, connections, budgets, crashes, usage}
        , watch{settings,
                store,
                routing,
                targets,
                [this](const RoutingVersion &version) {
                    callers.setLimits(limitsFrom(version.limits));
                }}
        , leases(control.get_executor(), accessStore(store), usage.self(), leaseSettingsFor(settings))
        , usageWork{settings, store, leases, usage, counts}
        , roles{settings, leases, routing, targets}
        , peers{settings, store, targets, budgets, crashes, leases, usage, counts}
        , callers(serving.get_executor(),
                  limitsFrom({}),
                  [this](HttpExchange &exchange) {
                      return serveDirect(context, exchange);
                  })
        , readiness(control.get_executor(),
                    {},
                    [this](HttpExchange &exchange) {
                        return answerReadiness(exchange);
                    })
        , metrics(control.get_executor(), {}, [](HttpExchange &exchange) {
            return answerText(exchange, statusOk, processMetrics().text());
        })
    {
    }

    bool isReady() const
    {
        return !draining && routing.current() && watch.targetsKnown;
    }

    asio::awaitable<void> answerReadiness(HttpExchange &exchange)
    {
        if (exchange.request().target() != platform::readinessPath) {
            co_await answerText(exchange, notFound, "");
            co_return;
        }
        const bool ready = isReady();
        co_await answerText(exchange, ready ? statusOk : unavailable, ready ? "ready\n" : "not ready\n");
    }

    const DirectSettings settings;
    asio::io_context control{1};
    asio::io_context serving{1};
    platform::StoreClient store;
    RoutingHolder routing;
    TargetBook targets;
    TargetConnectionPool connections;
    GroupBudgets budgets;
    CrashGuard crashes;
    UsageBook usage;
    CollectedCounts counts;
    DirectContext context;
    WatchContext watch;
    LeaseKeeper leases;
    UsageContext usageWork;
    RoleContext roles;
    PeerContext peers;
    HttpServer callers;
    HttpServer readiness;
    HttpServer metrics;
    std::atomic<bool> draining{false};
};

namespace
{

/** Runs control work again when it throws, which only input that nobody expected can make it do. */
template<typename Work> asio::awaitable<void> keepRunning(const char *name, const std::atomic<bool> &stopped, Work work)
{
    while (!stopped) {
        bool failed = false;
        try {
            co_await work();
        } catch (const std::exception &error) {
            failed = true;
            logEvent(Part::Process, Level::Error, "control work failed", {{"work", name}, {"detail", error.what()}});
        }
        if (failed) {
            co_await pauseFor(restartPause);
        }
    }
}

void startControl(DirectEntry &entry)
{
    const auto start = [&entry](const char *name, auto work) {
        asio::co_spawn(entry.control, keepRunning(name, entry.watch.stopped, std::move(work)), asio::detached);
    };
    start("configuration", [&entry] {
        return watchConfiguration(entry.watch);
    });
    start("targets", [&entry] {
        return watchTargets(entry.watch);
    });
    start("housekeeping", []() -> asio::awaitable<void> {
        co_await pauseFor(flushInterval);
        flushLog(Clock::now());
    });
    asio::co_spawn(entry.control,
                   keepRunning("peers",
                               entry.peers.stopped,
                               [&entry] {
                                   return talkToPeers(entry.peers);
                               }),
                   asio::detached);
    entry.leases.addScope(scopes::duties);
    entry.leases.start();
    start("engine roles", [&entry] {
        return planEngineRoles(entry.roles);
    });
    if (entry.settings.reportsUsage) {
        start("usage counts", [&entry] {
            return publishUsage(entry.usageWork);
        });
        start("usage reports", [&entry] {
            return reportUsage(entry.usageWork);
        });
    }
    asio::co_spawn(entry.serving,
                   keepRunning("connections",
                               entry.watch.stopped,
                               [&entry]() -> asio::awaitable<void> {
                                   co_await pauseFor(sweepInterval);
                                   entry.connections.sweep(Clock::now());
                               }),
                   asio::detached);
}

/** Leaves the balancer's rotation, answers what still comes, and ends when nothing is left or shortly before the kill. */
asio::awaitable<void> drain(DirectEntry &entry)
{
    const TimePoint began = Clock::now();
    entry.draining = true;
    entry.callers.closeAfterAnswers();
    logEvent(Part::Process, Level::Info, "draining", {{"active", entry.callers.activeExchanges()}});
    const TimePoint lastEnd = began + entry.settings.grace - endMargin;
    const TimePoint leave = std::min(began + leaveRotation, lastEnd);
    while (Clock::now() < leave) {
        co_await pauseFor(drainPoll);
    }
    entry.callers.stopAccepting();
    while (entry.callers.activeExchanges() > 0 && Clock::now() < lastEnd) {
        co_await pauseFor(drainPoll);
    }
    entry.watch.stopped = true;
    entry.usageWork.stopped = true;
    entry.roles.stopped = true;
    entry.peers.stopped = true;
    co_await flushUsage(entry.usageWork);
    logEvent(Part::Process, Level::Info, "ended", {{"cut", entry.callers.activeExchanges()}});
    entry.serving.stop();
    entry.control.stop();
}

/** Tells which settings changed; they take effect with the next start. */
void reload(const DirectEntry &entry)
{
    Reason reason;
    const auto settings = platform::readSettingsFile(reason);
    if (!settings) {
        logEvent(Part::Settings, Level::Error, "changed settings not usable, those in force stay", reason);
        return;
    }
    const bool moved = settings->callers != entry.settings.callers || settings->store != entry.settings.store;
    logEvent(Part::Settings, Level::Info, "reloaded", {{"addressesChanged", moved ? 1 : 0}});
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
        logEvent(Part::Process, Level::Error, "cannot start", reason);
        return 1;
    }
    if (!entry.metrics.start(metricsEndpoint, reason)) {
        logEvent(Part::Process, Level::Warning, "metrics are not served", reason);
    }
    asio::co_spawn(entry.control, handleSignals(entry), asio::detached);
    startControl(entry);
    logEvent(Part::Process, Level::Info, "started", {{"failureDomain", settings.failureDomain}, {"callers", toString(settings.callers)}});
    std::thread servingThread([&entry] {
        const auto work = asio::make_work_guard(entry.serving);
        entry.serving.run();
    });
    entry.control.run();
    servingThread.join();
    return 0;
}

} // namespace snipehill
