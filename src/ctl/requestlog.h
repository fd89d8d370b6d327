#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace snipehill
{

/** One log line about a request. */
struct RequestLogLine
{
    std::string time;
    std::string instance;
    std::string message;
    std::vector<std::pair<std::string, std::string>> fields; //!< sorted by name
    bool warning = false;
};

/** Appends the log lines of a request. Text before the JSON object of a line, such as a process name, is skipped. */
void readRequestLog(std::istream &input, const std::string &requestId, std::vector<RequestLogLine> &logLines);

/** Formats the lines in order of time, followed by the event that ended the request. Empty if there are no lines. */
std::string formatRequestLog(std::vector<RequestLogLine> logLines);

} // namespace snipehill
