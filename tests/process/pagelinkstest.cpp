#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <vector>

namespace
{

namespace fs = std::filesystem;

std::vector<fs::path> pages()
{
    const fs::path root = SNIPEHILL_SOURCE_DIR;
    std::vector<fs::path> found;
    for (const fs::path &folder : {root, root / "docs"}) {
        for (const auto &entry : fs::directory_iterator(folder)) {
            if (entry.path().extension() == ".md") {
                found.push_back(entry.path());
            }
        }
    }
    return found;
}

} // namespace

TEST_CASE("links between pages point to existing files", "[pages]")
{
    const std::regex link(R"(\]\(([^)#:]+)(#[^)]*)?\))");
    REQUIRE_FALSE(pages().empty());
    for (const fs::path &page : pages()) {
        std::ostringstream text;
        text << std::ifstream(page).rdbuf();
        const std::string content = text.str();
        for (std::sregex_iterator at(content.begin(), content.end(), link), end; at != end; ++at) {
            INFO(page.filename() << ": " << (*at)[1]);
            CHECK(fs::exists(page.parent_path() / (*at)[1].str()));
        }
    }
}
