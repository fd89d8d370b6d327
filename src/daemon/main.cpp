#include "run.h"

#include <platform/settingsfile.h>
#include <process/log.h>
#include <process/tracing.h>
#include <serving/directentry.h>

#include <malloc.h>
#include <popt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace
{

using namespace snipehill;

enum ExitCode {
    Success = 0,
    BadSettings = 1,
    BadUsage = 2,
};

/** Command-line options; popt stores pointers to memory that it allocates. */
struct Options
{
    char *settings = nullptr;
    char *checkSettings = nullptr;
    int platformEntry = 0;
    int version = 0;
};

/** Lets the allocator return large buffers to the system when they are freed. By default it soon keeps them, and the process stays at its peak. */
void returnLargeBuffers()
{
    constexpr int minReturnedBytes = 256 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, minReturnedBytes);
}

int checkSettings(const char *path)
{
    Reason reason;
    const auto settings = readSettingsFile(path, reason);
    if (!settings) {
        std::fprintf(stderr, "%s\n", reason.detail.c_str());
        return BadSettings;
    }
    std::printf("%s: good, %s %s\n", path, toString(settings->role), settings->instance.c_str());
    return Success;
}

int runProcess(const char *path)
{
    Reason reason;
    const auto settings = readSettingsFile(path, reason);
    if (!settings) {
        logEvent(LogComponent::Settings, LogLevel::Error, "cannot use the settings", reason);
        return BadSettings;
    }
    startLogging(settings->logging, settings->instance);
    if (!startTracing(settings->traces, settings->instance, reason)) {
        logEvent(LogComponent::Settings, LogLevel::Error, "cannot write traces", reason);
        return BadSettings;
    }
    const int code = settings->role == ProcessRole::Entry ? runEntry(*settings) : runSidecar(*settings);
    flushLog(TimePoint::max());
    return code;
}

int runPlatformEntry()
{
    LoggingSettings logging{.format = LogFormat::Json, .toStandardOutput = true};
    Reason reason;
    const auto settings = platform::readSettingsFile(reason);
    startLogging(logging, settings ? settings->instance : "unknown");
    int code = BadSettings;
    if (settings) {
        code = runDirectEntry(*settings);
    } else {
        logEvent(LogComponent::Settings, LogLevel::Error, "cannot use the settings", reason);
    }
    flushLog(TimePoint::max());
    stopLogging();
    return code;
}

} // namespace

int main(int argc, char **argv)
{
    returnLargeBuffers();
    std::signal(SIGHUP, SIG_IGN); // its default action ends the process; in effect until handlers are installed
    Options options;
    const poptOption table[] = {{"settings", 's', POPT_ARG_STRING, &options.settings, 0, "run with the settings in FILE", "FILE"},
                                {"check-settings", 'c', POPT_ARG_STRING, &options.checkSettings, 0, "check FILE and exit: 0 good, 1 with an error", "FILE"},
                                {"platform-entry", 'p', POPT_ARG_NONE, &options.platformEntry, 0, "run as an entry with the platform's settings", nullptr},
                                {"version", 'v', POPT_ARG_NONE, &options.version, 0, "print the version and exit", nullptr},
                                POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(poptGetContext("snipehilld", argc, const_cast<const char **>(argv), table, 0),
                                                                             poptFreeContext);
    const int parsed = poptGetNextOpt(context.get());
    if (parsed < -1) {
        std::fprintf(stderr, "%s: %s\n", poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(parsed));
        return BadUsage;
    }
    if (options.version) {
        std::printf("snipehilld %s\n", SNIPEHILL_VERSION);
        return Success;
    }
    if (options.checkSettings) {
        return checkSettings(options.checkSettings);
    }
    if (options.platformEntry) {
        return runPlatformEntry();
    }
    if (!options.settings || poptPeekArg(context.get())) {
        poptPrintUsage(context.get(), stderr, 0);
        return BadUsage;
    }
    return runProcess(options.settings);
}
