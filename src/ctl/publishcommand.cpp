#include "changes.h"
#include "command.h"
#include "configlog.h"
#include "processes.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace snipehill
{

namespace
{

constexpr milliseconds pollInterval{200};

void sleepFor(milliseconds length)
{
    boost::asio::io_context context;
    boost::asio::steady_timer timer(context, length);
    timer.wait();
}

std::vector<Json::Value> recordsToAppend(const std::vector<Change> &changes)
{
    std::vector<Json::Value> records;
    records.reserve(changes.size());
    for (const Change &change : changes) {
        records.push_back(change.record);
    }
    return records;
}

/** Result of the appended changes, determined by reading the stream back. */
struct AppendCheck
{
    std::vector<FileProblem> rejected; //!< changes without effect, because another operator's record came first
    Offset version = noOffset; //!< offset of the last change
};

std::optional<AppendCheck> checkAppendedChanges(const Endpoint &log, const std::vector<Change> &changes, Offset first, Reason &reason)
{
    AppendCheck appendCheck{{}, first + static_cast<Offset>(changes.size()) - 1};
    const auto fold = readConfig(log, reason, [&](Offset offset, const ApplyResult &result) {
        if (offset >= first && offset <= appendCheck.version && result.outcome == ApplyOutcome::Rejected) {
            const Change &change = changes[static_cast<std::size_t>(offset - first)];
            appendCheck.rejected.push_back({change.path, toText(change.object) + ": " + result.reason.detail});
        }
    });
    return fold ? std::optional(appendCheck) : std::nullopt;
}

/** After an append without a response: the version that contains all changes, or empty if any is not in force or the log can't be read. */
std::optional<Offset> resolveAppend(const Endpoint &log, const std::vector<Declaration> &declared, bool prune, Reason &reason)
{
    const auto fold = readConfig(log, reason);
    if (!fold || !planChanges(declared, fold->config, prune).empty()) {
        return std::nullopt;
    }
    return fold->config.offset;
}

/** A process in which the version is not in force yet. */
struct LaggingProcess
{
    std::string instance;
    std::string state; //!< its current version, or why that is unknown
};

/** How many processes run a version, and which don't yet. */
struct RolloutState
{
    std::size_t live = 0; //!< number of processes on the instance list that are not leaving
    std::vector<LaggingProcess> lagging;
};

std::optional<RolloutState> readRolloutState(const Endpoint &instances, Offset version, Reason &reason)
{
    const auto processes = fetchProcessReports(instances, reason);
    if (!processes) {
        return std::nullopt;
    }
    RolloutState rollout;
    for (const ProcessReport &process : *processes) {
        if (process.member.leaving) {
            continue;
        }
        ++rollout.live;
        const Offset offset = configOffset(process);
        if (offset < version) {
            rollout.lagging.push_back({process.member.instance, process.status ? "at version " + std::to_string(offset) : process.problem});
        }
    }
    return rollout;
}

int waitUntilInForce(const CommandOptions &options, Offset version, Json::Value &report, std::string &text)
{
    const TimePoint deadline = Clock::now() + options.wait;
    for (;;) {
        Reason reason;
        const auto rollout = readRolloutState(*options.instances, version, reason);
        if (rollout && rollout->lagging.empty()) {
            text += "in force in all live processes, " + std::to_string(rollout->live) + "\n";
            return ExitSuccess;
        }
        if (Clock::now() < deadline) {
            sleepFor(pollInterval);
            continue;
        }
        if (!rollout) {
            text += "published, but the instance list can't be read: " + toString(reason) + "\n";
            return ExitUnreachable;
        }
        for (const LaggingProcess &process : rollout->lagging) {
            text.append("lagging: ").append(process.instance).append(", ").append(process.state).append("\n");
            report["lagging"].append(process.instance);
        }
        return ExitLagging;
    }
}

/** Version that holds the published changes, and the exit code of the command. */
struct PublishResult
{
    Offset version = noOffset;
    int exitCode = ExitSuccess;
};

PublishResult appendChanges(const CommandOptions &options, const std::vector<Declaration> &declared, const std::vector<Change> &changes, std::string &text)
{
    Reason reason;
    const auto first = appendConfig(*options.log, recordsToAppend(changes), reason);
    if (!first) {
        const std::string appendError = toString(reason);
        if (const auto version = resolveAppend(*options.log, declared, options.prune, reason)) {
            return {*version, ExitSuccess};
        }
        text += "unknown whether published, repeating is safe: " + appendError + "\n";
        return {noOffset, ExitUnknown};
    }
    const auto appendCheck = checkAppendedChanges(*options.log, changes, *first, reason);
    if (!appendCheck) {
        text += "appended, but not read back, repeating is safe: " + toString(reason) + "\n";
        return {noOffset, ExitUnknown};
    }
    if (!appendCheck->rejected.empty()) {
        text += "another operator was first, these had no effect:\n" + toText(appendCheck->rejected);
        return {appendCheck->version, ExitConflict};
    }
    return {appendCheck->version, ExitSuccess};
}

} // namespace

int runPublish(const CommandOptions &options)
{
    if (options.arguments.size() != 1 || !options.log || !options.instances) {
        return failCommand(ExitUsage, "publish needs a directory, --log and --instances");
    }
    const Declarations declarations = loadDeclarations(options.arguments[0]);
    if (!declarations.problems.empty()) {
        return failCommand(ExitFindings, "nothing published:\n" + toText(declarations.problems));
    }
    Reason reason;
    const auto fold = readConfig(*options.log, reason);
    if (!fold) {
        return failCommand(ExitUnreachable, toString(reason));
    }
    const auto changes = planChanges(declarations.records, fold->config, options.prune);
    if (const auto problems = findRejectedChanges(fold->config, changes); !problems.empty()) {
        return failCommand(ExitFindings, "nothing published:\n" + toText(problems));
    }
    std::string text = toText(changes);
    PublishResult publishResult{fold->config.offset, ExitSuccess};
    if (!changes.empty()) {
        publishResult = appendChanges(options, declarations.records, changes, text);
    }
    Json::Value report;
    report["changes"] = toJson(changes);
    report["lagging"] = Json::Value(Json::arrayValue);
    if (publishResult.exitCode == ExitSuccess) {
        text += "version " + std::to_string(publishResult.version) + "\n";
        publishResult.exitCode = waitUntilInForce(options, publishResult.version, report, text);
    }
    report["version"] = Json::Int64(publishResult.version);
    report["exitCode"] = publishResult.exitCode;
    printReport(options, report, text);
    return publishResult.exitCode;
}

} // namespace snipehill
