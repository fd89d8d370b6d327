#include <process/settings.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace snipehill;

namespace
{

std::string readPage(const std::string &path)
{
    std::ostringstream text;
    std::string file = SNIPEHILL_SOURCE_DIR;
    file += path;
    text << std::ifstream(file).rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("the page of settings lists each field with its range and default", "[settings][pages]")
{
    const std::string page = readPage("/docs/SETTINGS.md");
    REQUIRE_FALSE(page.empty());
    for (const SettingsField &field : settingsFields()) {
        const std::string row = "| `" + field.path + "` | " + field.allowed + " | " + (field.defaultValue.empty() ? "none" : "`" + field.defaultValue + "`")
            + " | ";
        INFO(row);
        REQUIRE(page.find(row) != std::string::npos);
    }
}

TEST_CASE("the page of settings lists no field that does not exist", "[settings][pages]")
{
    std::istringstream page(readPage("/docs/SETTINGS.md"));
    std::size_t rows = 0;
    for (std::string line; std::getline(page, line);) {
        rows += line.starts_with("| `") ? 1 : 0;
    }
    REQUIRE(rows == settingsFields().size());
}

TEST_CASE("the example settings are valid", "[settings][pages]")
{
    for (const char *name : {"entry", "sidecar"}) {
        std::string file = SNIPEHILL_SOURCE_DIR "/examples/";
        file.append(name).append(".json");
        Reason reason;
        const auto settings = readSettingsFile(file, reason);
        INFO(reason.detail);
        REQUIRE(settings);
        REQUIRE(toString(settings->role) == std::string(name));
    }
}
