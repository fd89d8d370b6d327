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
    std::vector<std::pair<std::string, std::string>> fields; //!< in the order of their names
    bool warning = false;
};

/** Adds the lines about a request; a line may have anything before its JSON, such as the name of its process. */
void readRequestLog(std::istream &input, const std::string &requestId, std::vector<RequestLogLine> &logLines);

/** The story in order of time, and below it the decision that ended the request. Empty without lines. */
std::string formatRequestLog(std::vector<RequestLogLine> logLines);

} // namespace snipehill
