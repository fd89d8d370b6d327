#include "command.h"
#include "spantree.h"

#include <fstream>

namespace snipehill
{

int runTrace(const CommandOptions &options)
{
    if (options.arguments.size() < 2) {
        return failCommand(ExitUsage, "trace needs a request id and files of spans");
    }
    std::vector<SpanRecord> spans;
    for (std::size_t file = 1; file < options.arguments.size(); ++file) {
        std::ifstream input(options.arguments[file]);
        if (!input) {
            return failCommand(ExitUnreachable, options.arguments[file] + ": can't be read");
        }
        readSpans(input, spans);
    }
    const std::string tree = renderRequestTraces(spans, options.arguments[0]);
    if (tree.empty()) {
        return failCommand(ExitFindings, "no span of request " + options.arguments[0]);
    }
    Json::Value report;
    report["tree"] = tree;
    printReport(options, report, tree);
    return ExitSuccess;
}

} // namespace snipehill
