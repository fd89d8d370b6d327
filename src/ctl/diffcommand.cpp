#include "changes.h"
#include "command.h"
#include "configlog.h"

namespace snipehill
{

int runDiff(const CommandOptions &options)
{
    if (options.arguments.size() != 1 || !options.log) {
        return failCommand(ExitUsage, "diff needs a directory and --log");
    }
    const Declarations declarations = loadDeclarations(options.arguments[0]);
    if (!declarations.problems.empty()) {
        return failCommand(ExitFindings, "\n" + toText(declarations.problems));
    }
    Reason reason;
    const auto fold = readConfig(*options.log, reason);
    if (!fold) {
        return failCommand(ExitUnreachable, toString(reason));
    }
    const auto changes = planChanges(declarations.records, fold->config, options.prune);
    std::string text = toText(changes);
    Json::Value report;
    report["inForce"] = Json::Int64(fold->config.offset);
    report["changes"] = toJson(changes);
    report["undeclared"] = Json::Value(Json::arrayValue);
    for (const ObjectName &object : findUndeclaredObjects(declarations.records, fold->config)) {
        report["undeclared"].append(toText(object));
        text += options.prune ? "" : "undeclared " + toText(object) + " (stays in force without --prune)\n";
    }
    printReport(options, report, text);
    return changes.empty() ? ExitSuccess : ExitFindings;
}

} // namespace snipehill
