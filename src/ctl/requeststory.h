#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace snipehill
{

/** One log line about a request. */
struct StoryLine
{
    std::string time;
    std::string instance;
    std::string message;
    std::vector<std::pair<std::string, std::string>> fields; //!< in the order of their names
    bool warning = false;
};

/** Adds the lines about a request; a line may have anything before its JSON, such as the name of its process. */
void readStory(std::istream &input, const std::string &requestId, std::vector<StoryLine> &story);

/** The story in order of time, and below it the decision that ended the request. Empty without lines. */
std::string tellStory(std::vector<StoryLine> story);

} // namespace snipehill
