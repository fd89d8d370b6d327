#pragma once

#include <connection/endpoint.h>
#include <core/time.h>

#include <json/value.h>

#include <optional>
#include <string>
#include <vector>

namespace snipehill
{

/** Exit codes of snipehillctl, listed by --help. */
enum ExitCode {
    ExitSuccess = 0,
    ExitFindings = 1, //!< errors in records, differences, or a process that is not ready
    ExitUsage = 2,
    ExitUnreachable = 3, //!< a service or file that the command needs can't be reached or read
    ExitConflict = 4, //!< some records have no effect, because another operator changed the same objects first
    ExitLagging = 5, //!< published, but not in force in all processes before the timeout
    ExitUnknown = 6, //!< the log did not respond, so it is unknown whether the records are published; repeating is safe
};

/** Options and arguments of a command. */
struct CommandOptions
{
    std::optional<Endpoint> log; //!< log service of the platform
    std::optional<Endpoint> instances; //!< instance list of the platform
    bool json = false;
    bool prune = false; //!< withdraw objects that are in force but not declared
    milliseconds wait{10000}; //!< how long publish waits for the processes
    std::string workspace; //!< of a new key
    std::vector<std::string> arguments; //!< arguments after the command name
};

int runCheck(const CommandOptions &options);
int runDiff(const CommandOptions &options);
int runPublish(const CommandOptions &options);
int runStatus(const CommandOptions &options);
int runKey(const CommandOptions &options);
int runExplain(const CommandOptions &options);
int runTrace(const CommandOptions &options);
int runBlocks(const CommandOptions &options);

/** Prints the report if --json was given, otherwise the text. */
void printReport(const CommandOptions &options, const Json::Value &report, const std::string &text);

/** Prints an error message to standard error and returns the exit code. */
int failCommand(int exitCode, const std::string &detail);

} // namespace snipehill
