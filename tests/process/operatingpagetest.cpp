#include <process/metrics.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace snipehill;

TEST_CASE("the page for operators names exactly the metrics that exist", "[metrics][pages]")
{
    std::ostringstream page;
    page << std::ifstream(SNIPEHILL_SOURCE_DIR "/docs/OPERATIONS.md").rdbuf();
    const std::string text = page.str();
    const std::string shown = Metrics().text();

    std::set<std::string> existing;
    const std::regex typeLine("# TYPE (snipehill_[a-z_]+) ");
    for (std::sregex_iterator at(shown.begin(), shown.end(), typeLine), end; at != end; ++at) {
        existing.insert((*at)[1]);
    }
    REQUIRE_FALSE(existing.empty());

    std::set<std::string> named;
    const std::regex name("snipehill_[a-z_]+");
    for (std::sregex_iterator at(text.begin(), text.end(), name), end; at != end; ++at) {
        named.insert(at->str());
    }
    CHECK(named == existing);
}
