#include "command.h"
#include "declarations.h"

namespace snipehill
{

int runCheck(const CommandOptions &options)
{
    if (options.arguments.size() != 1) {
        return failCommand(ExitUsage, "check needs a directory");
    }
    Declarations declarations = loadDeclarations(options.arguments[0]);
    // References are checked only if every file was read, because an unreadable file would cause errors in the files that refer to it.
    if (declarations.problems.empty()) {
        declarations.problems = checkConsistency(declarations.records);
    }
    Json::Value report;
    report["records"] = Json::UInt64(declarations.records.size());
    report["problems"] = toJson(declarations.problems);
    const std::string summary = std::to_string(declarations.records.size()) + " records good, " + std::to_string(declarations.problems.size()) + " problems\n";
    printReport(options, report, toText(declarations.problems) + summary);
    return declarations.problems.empty() ? ExitSuccess : ExitFindings;
}

} // namespace snipehill
