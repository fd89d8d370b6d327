#include "requeststory.h"

#include <json/reader.h>
#include <json/value.h>

#include <algorithm>
#include <memory>
#include <set>

namespace snipehill
{

namespace
{

std::string textOf(const Json::Value &value)
{
    return value.isString() ? value.asString() : value.toStyledString().substr(0, value.toStyledString().find('\n'));
}

/** Decisions that end a request, least telling first. */
const std::vector<std::string> causes{"request ended", "stream cut", "refused"};

} // namespace

void readStory(std::istream &input, const std::string &requestId, std::vector<StoryLine> &story)
{
    static const std::set<std::string> heading{"time", "instance", "message", "request", "part", "level"};
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    for (std::string line; std::getline(input, line);) {
        const auto start = line.find('{');
        if (start == std::string::npos || line.find(requestId) == std::string::npos) {
            continue;
        }
        Json::Value value;
        if (!reader->parse(line.data() + start, line.data() + line.size(), &value, nullptr) || !value.isObject() || value["request"] != requestId) {
            continue;
        }
        StoryLine entry{textOf(value["time"]), textOf(value["instance"]), textOf(value["message"]), {}, value["level"] == "warning"};
        for (const std::string &name : value.getMemberNames()) {
            if (!heading.contains(name)) {
                entry.fields.emplace_back(name, textOf(value[name]));
            }
        }
        story.push_back(std::move(entry));
    }
}

std::string tellStory(std::vector<StoryLine> story)
{
    std::stable_sort(story.begin(), story.end(), [](const StoryLine &left, const StoryLine &right) {
        return left.time < right.time;
    });
    std::string text;
    const StoryLine *cause = nullptr;
    std::size_t rank = 0;
    for (const StoryLine &line : story) {
        text += line.time + " " + line.instance + " " + line.message;
        for (const auto &[name, value] : line.fields) {
            text += " " + name + "=" + (value.empty() ? "-" : value);
        }
        text += '\n';
        const auto found = std::find(causes.begin(), causes.end(), line.message);
        const auto lineRank = static_cast<std::size_t>(found - causes.begin()) + 1;
        if (found != causes.end() && lineRank >= rank) {
            cause = &line;
            rank = lineRank;
        }
    }
    if (cause) {
        text += "cause: " + cause->message;
        for (const auto &[name, value] : cause->fields) {
            if (!value.empty()) {
                text.append(", ").append(name).append(" ").append(value);
            }
        }
        text += '\n';
    }
    return text;
}

} // namespace snipehill
