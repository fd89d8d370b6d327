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

void pause(milliseconds length)
{
    boost::asio::io_context context;
    boost::asio::steady_timer timer(context, length);
    timer.wait();
}

std::vector<Json::Value> recordsOf(const std::vector<Change> &changes)
{
    std::vector<Json::Value> records;
    records.reserve(changes.size());
    for (const Change &change : changes) {
        records.push_back(change.record);
    }
    return records;
}

/** What became of the appended changes, found by reading the stream back. */
struct Verdict
{
    std::vector<FileProblem> lost; //!< another operator's record came first
    Offset version = noOffset; //!< that holds the changes
};

std::optional<Verdict> judge(const Endpoint &log, const std::vector<Change> &changes, Offset first, Reason &reason)
{
    Verdict verdict{{}, first + static_cast<Offset>(changes.size()) - 1};
    const auto fold = readConfig(log, reason, [&](Offset offset, const ApplyResult &result) {
        if (offset >= first && offset <= verdict.version && result.outcome == ApplyOutcome::Rejected) {
            const Change &change = changes[static_cast<std::size_t>(offset - first)];
            verdict.lost.push_back({change.path, toText(change.object) + ": " + result.reason.detail});
        }
    });
    return fold ? std::optional(verdict) : std::nullopt;
}

/** After an append whose answer was lost: the version that holds all changes, empty if some are not in force. */
std::optional<Offset> resolveAppend(const Endpoint &log, const std::vector<Declaration> &declared, bool prune, Reason &reason)
{
    const auto fold = readConfig(log, reason);
    if (!fold || !planChanges(declared, fold->config, prune).empty()) {
        return std::nullopt;
    }
    return fold->config.offset;
}

/** A process that does not have the version yet, and why. */
struct Laggard
{
    std::string instance;
    std::string state;
};

struct Spread
{
    std::size_t live = 0; //!< processes on the instance list that are not leaving
    std::vector<Laggard> behind;
};

std::optional<Spread> readSpread(const Endpoint &instances, Offset version, Reason &reason)
{
    const auto processes = askProcesses(instances, reason);
    if (!processes) {
        return std::nullopt;
    }
    Spread spread;
    for (const ProcessReport &process : *processes) {
        if (process.member.leaving) {
            continue;
        }
        ++spread.live;
        const Offset offset = configOffset(process);
        if (offset < version) {
            spread.behind.push_back({process.member.instance, process.status ? "at version " + std::to_string(offset) : process.problem});
        }
    }
    return spread;
}

int waitUntilInForce(const CommandOptions &options, Offset version, Json::Value &report, std::string &text)
{
    const TimePoint deadline = Clock::now() + options.wait;
    for (;;) {
        Reason reason;
        const auto spread = readSpread(*options.instances, version, reason);
        if (spread && spread->behind.empty()) {
            text += "in force in all live processes, " + std::to_string(spread->live) + "\n";
            return ExitSuccess;
        }
        if (Clock::now() < deadline) {
            pause(pollInterval);
            continue;
        }
        if (!spread) {
            text += "published, but the instance list can't be read: " + toString(reason) + "\n";
            return ExitUnreachable;
        }
        for (const Laggard &process : spread->behind) {
            text.append("lagging: ").append(process.instance).append(", ").append(process.state).append("\n");
            report["lagging"].append(process.instance);
        }
        return ExitLagging;
    }
}

struct Published
{
    Offset version = noOffset;
    int exitCode = ExitSuccess;
};

Published appendChanges(const CommandOptions &options, const std::vector<Declaration> &declared, const std::vector<Change> &changes, std::string &text)
{
    Reason reason;
    const auto first = appendConfig(*options.log, recordsOf(changes), reason);
    if (!first) {
        const std::string lost = toString(reason);
        if (const auto version = resolveAppend(*options.log, declared, options.prune, reason)) {
            return {*version, ExitSuccess};
        }
        text += "unknown whether published, repeating is safe: " + lost + "\n";
        return {noOffset, ExitUnknown};
    }
    const auto verdict = judge(*options.log, changes, *first, reason);
    if (!verdict) {
        text += "appended, but not read back, repeating is safe: " + toString(reason) + "\n";
        return {noOffset, ExitUnknown};
    }
    if (!verdict->lost.empty()) {
        text += "another operator was first, these had no effect:\n" + toText(verdict->lost);
        return {verdict->version, ExitRace};
    }
    return {verdict->version, ExitSuccess};
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
    if (const auto problems = rejectedChanges(fold->config, changes); !problems.empty()) {
        return failCommand(ExitFindings, "nothing published:\n" + toText(problems));
    }
    std::string text = toText(changes);
    Published published{fold->config.offset, ExitSuccess};
    if (!changes.empty()) {
        published = appendChanges(options, declarations.records, changes, text);
    }
    Json::Value report;
    report["changes"] = toJson(changes);
    report["lagging"] = Json::Value(Json::arrayValue);
    if (published.exitCode == ExitSuccess) {
        text += "version " + std::to_string(published.version) + "\n";
        published.exitCode = waitUntilInForce(options, published.version, report, text);
    }
    report["version"] = Json::Int64(published.version);
    report["exitCode"] = published.exitCode;
    printReport(options, report, text);
    return published.exitCode;
}

} // namespace snipehill
