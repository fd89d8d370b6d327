#include "command.h"
#include "requestlog.h"

#include <fstream>

namespace snipehill
{

int runExplain(const CommandOptions &options)
{
    if (options.arguments.size() < 2) {
        return failCommand(ExitUsage, "explain needs a request id and log files");
    }
    std::vector<RequestLogLine> logLines;
    for (std::size_t file = 1; file < options.arguments.size(); ++file) {
        std::ifstream input(options.arguments[file]);
        if (!input) {
            return failCommand(ExitUnreachable, options.arguments[file] + ": can't be read");
        }
        readRequestLog(input, options.arguments[0], logLines);
    }
    const std::string text = formatRequestLog(std::move(logLines));
    if (text.empty()) {
        return failCommand(ExitFindings, "no line about request " + options.arguments[0]);
    }
    Json::Value report;
    report["story"] = text;
    printReport(options, report, text);
    return ExitSuccess;
}

} // namespace snipehill
