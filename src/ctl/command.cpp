#include "command.h"

#include <json/writer.h>

#include <cstdio>

namespace snipehill
{

void printReport(const CommandOptions &options, const Json::Value &report, const std::string &text)
{
    if (!options.json) {
        std::fputs(text.c_str(), stdout);
        return;
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    std::printf("%s\n", Json::writeString(builder, report).c_str());
}

int failCommand(int exitCode, const std::string &detail)
{
    std::fprintf(stderr, "snipehillctl: %s\n", detail.c_str());
    return exitCode;
}

} // namespace snipehill
