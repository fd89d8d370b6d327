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
    ExitFindings = 1, //!< errors in the records, or differences
    ExitUsage = 2,
    ExitUnreachable = 3, //!< a service or file that the command needs
    ExitConflict = 4, //!< another operator was first: some records have no effect
    ExitLagging = 5, //!< published, but not in force everywhere in time
    ExitUnknown = 6, //!< the log did not answer: the records may be published; repeating is safe
};

/** Command line after the command's name. */
struct CommandOptions
{
    std::optional<Endpoint> log;
    std::optional<Endpoint> instances;
    bool json = false;
    bool prune = false; //!< withdraw what is in force and not declared
    milliseconds wait{10000};
    std::string workspace;
    std::vector<std::string> arguments;
};

int runCheck(const CommandOptions &options);
int runDiff(const CommandOptions &options);
int runPublish(const CommandOptions &options);
int runStatus(const CommandOptions &options);
int runKey(const CommandOptions &options);
int runExplain(const CommandOptions &options);
int runTrace(const CommandOptions &options);

/** Prints the report as JSON where asked for, else the text. */
void printReport(const CommandOptions &options, const Json::Value &report, const std::string &text);

/** Prints one line on standard error and returns the exit code. */
int failCommand(int exitCode, const std::string &detail);

} // namespace snipehill
