#include "run.h"

#include <process/log.h>
#include <serving/entry.h>
#include <serving/sidecar.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <functional>
#include <thread>
#include <vector>

namespace snipehill
{

namespace
{

namespace asio = boost::asio;

/** The first signal starts draining, after which the process ends. Later signals only log how many requests an end would cut off. */
template<typename Role> void waitForSignal(asio::signal_set &signals, asio::io_context &context, Role &role, bool draining)
{
    signals.async_wait([&signals, &context, &role, draining](const boost::system::error_code &error, int) {
        if (error) {
            return;
        }
        if (draining) {
            logEvent(LogComponent::Process, LogLevel::Warning, "still draining", {{"wouldCut", role.active()}});
        } else {
            logEvent(LogComponent::Process, LogLevel::Info, "draining", {{"active", role.active()}});
            role.drain([&context] {
                context.stop();
            });
        }
        waitForSignal(signals, context, role, true);
    });
}

constexpr seconds logFlushInterval{1};

/** Periodically logs the counts of suppressed repeated events. */
void flushLogRegularly(asio::steady_timer &timer)
{
    timer.expires_after(logFlushInterval);
    timer.async_wait([&timer](const boost::system::error_code &error) {
        if (!error) {
            flushLog(Clock::now());
            flushLogRegularly(timer);
        }
    });
}

template<typename Role> int run(const Settings &settings)
{
    asio::io_context context(static_cast<int>(settings.threads));
    Role role(context, settings);
    Reason reason;
    if (!role.start(reason)) {
        logEvent(LogComponent::Process, LogLevel::Error, "cannot start", reason);
        return 1;
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    waitForSignal(signals, context, role, false);
    asio::steady_timer flushTimer(context);
    flushLogRegularly(flushTimer);
    logEvent(LogComponent::Process, LogLevel::Info, "started", {{"instance", settings.instance}, {"role", toString(settings.role)}});
    std::vector<std::thread> threads;
    for (std::uint32_t i = 1; i < settings.threads; ++i) {
        threads.emplace_back([&context] {
            context.run();
        });
    }
    context.run();
    for (std::thread &thread : threads) {
        thread.join();
    }
    logEvent(LogComponent::Process, LogLevel::Info, "ended");
    return 0;
}

} // namespace

int runEntry(const Settings &settings)
{
    return run<Entry>(settings);
}

int runSidecar(const Settings &settings)
{
    return run<Sidecar>(settings);
}

} // namespace snipehill
