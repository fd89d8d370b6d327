#include "requestlog.h"

#include <core/jsontext.h>

#include <algorithm>
#include <set>

namespace snipehill
{

namespace
{

std::string textOf(const Json::Value &value)
{
    return value.isString() ? value.asString() : value.toStyledString().substr(0, value.toStyledString().find('\n'));
}

/** Log messages of the events that end a request, from the least to the most specific. */
const std::vector<std::string> decisiveMessages{"request ended", "stream cut", "refused"};

} // namespace

void readRequestLog(std::istream &input, const std::string &requestId, std::vector<RequestLogLine> &logLines)
{
    static const std::set<std::string> nonFieldKeys{"time", "instance", "message", "request", "part", "level"};
    for (std::string line; std::getline(input, line);) {
        const auto start = line.find('{');
        if (start == std::string::npos || line.find(requestId) == std::string::npos) {
            continue;
        }
        const auto parsed = parseJsonText(std::string_view(line).substr(start));
        if (!parsed || !parsed->isObject() || (*parsed)["request"] != requestId) {
            continue;
        }
        const Json::Value &value = *parsed;
        RequestLogLine entry{textOf(value["time"]), textOf(value["instance"]), textOf(value["message"]), {}, value["level"] == "warning"};
        for (const std::string &name : value.getMemberNames()) {
            if (!nonFieldKeys.contains(name)) {
                entry.fields.emplace_back(name, textOf(value[name]));
            }
        }
        logLines.push_back(std::move(entry));
    }
}

std::string formatRequestLog(std::vector<RequestLogLine> logLines)
{
    std::stable_sort(logLines.begin(), logLines.end(), [](const RequestLogLine &left, const RequestLogLine &right) {
        return left.time < right.time;
    });
    std::string text;
    const RequestLogLine *decisiveLine = nullptr;
    std::size_t rank = 0;
    for (const RequestLogLine &line : logLines) {
        text += line.time + " " + line.instance + " " + line.message;
        for (const auto &[name, value] : line.fields) {
            text += " " + name + "=" + (value.empty() ? "-" : value);
        }
        text += '\n';
        const auto found = std::find(decisiveMessages.begin(), decisiveMessages.end(), line.message);
        const auto lineRank = static_cast<std::size_t>(found - decisiveMessages.begin()) + 1;
        if (found != decisiveMessages.end() && lineRank >= rank) {
            decisiveLine = &line;
            rank = lineRank;
        }
    }
    if (decisiveLine) {
        text += "cause: " + decisiveLine->message;
        for (const auto &[name, value] : decisiveLine->fields) {
            if (!value.empty()) {
                text.append(", ").append(name).append(" ").append(value);
            }
        }
        text += '\n';
    }
    return text;
}

} // namespace snipehill
