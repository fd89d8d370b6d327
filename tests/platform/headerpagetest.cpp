#include <catch2/catch.hpp>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace
{

std::string readFile(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(SNIPEHILL_SOURCE_DIR "/" + path).rdbuf();
    return text.str();
}

} // namespace

// Guards against a header of responses that nobody has decided about: it is parsed, or listed as internal, and stands in no table.
TEST_CASE("The page on the platform lists each header that the adapter reads from responses", "[platform][pages]")
{
    const std::set<std::string> requestHeaders{"Deadline-Ms",
                                               "X-Api-Key",
                                               "Expect-Instance",
                                               "Token-Counts",
                                               "Prompt-Prefix",
                                               "Request-Urgency",
                                               "Serving-Stage",
                                               "Kv-Source",
                                               "Kv-Fetch",
                                               "Last-Event-Id",
                                               "Duty-Holder",
                                               "Fencing-Token",
                                               "Expect-Version",
                                               "Kv-Hold",
                                               "Kv-Backup",
                                               "Pin-Ms",
                                               "Wait-Ms",
                                               "Proxy-Connection",
                                               "Transfer-Encoding"};
    const std::string page = readFile("docs/PLATFORM.md");
    const std::string code = readFile("platform/src/messages.cpp") + readFile("platform/src/storeclient.cpp");
    const std::regex name("\"([A-Z][A-Za-z]*(?:-[A-Z][A-Za-z]*)+)\"");
    std::set<std::string> read;
    for (std::sregex_iterator at(code.begin(), code.end(), name), end; at != end; ++at) {
        if (!requestHeaders.contains((*at)[1])) {
            read.insert((*at)[1]);
        }
    }
    CHECK(read.size() >= 6);
    for (const std::string &header : read) {
        INFO(header);
        CHECK(std::regex_search(page, std::regex("\\n\\|[^|]*`" + header + "`")));
    }
}
