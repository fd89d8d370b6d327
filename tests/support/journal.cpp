#include "journal.h"

#include "client.h"

#include <algorithm>
#include <iterator>
#include <sstream>

namespace snipehill::support
{

Journal parseJournal(const std::string &lines)
{
    Journal journal;
    std::istringstream stream(lines);
    for (std::string line; std::getline(stream, line);) {
        if (auto event = parseJson(line); event && event->isObject()) {
            journal.push_back(std::move(*event));
        }
    }
    return journal;
}

Journal mergeJournals(const std::vector<Journal> &journals)
{
    Journal all;
    for (const Journal &journal : journals) {
        all.insert(all.end(), journal.begin(), journal.end());
    }
    std::stable_sort(all.begin(), all.end(), [](const Json::Value &left, const Json::Value &right) {
        return left["t"].asDouble() < right["t"].asDouble();
    });
    return all;
}

Journal eventsOf(const Journal &journal, const std::string &event)
{
    Journal events;
    std::copy_if(journal.begin(), journal.end(), std::back_inserter(events), [&event](const Json::Value &entry) {
        return entry["event"] == event;
    });
    return events;
}

} // namespace snipehill::support
