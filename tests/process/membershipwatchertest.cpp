#include <process/membershipwatcher.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace snipehill;

namespace
{

std::string item(const std::string &name, const std::string &role, const std::string &link, const std::string &rest)
{
    return R"({"instance":")" + name + R"(","role":")" + role + R"(","link":")" + link
        + R"(","admin":"127.0.0.1:2","region":"r1","failureDomain":"fd-a","state":"live")" + rest + "}";
}

} // namespace

TEST_CASE("an instance list is parsed item by item, and invalid items are skipped", "[members]")
{
    struct Case
    {
        std::string name;
        std::string items;
        std::vector<std::string> expected;
    };
    const std::string good = item("sc-1", "sidecar", "127.0.0.1:1", R"(,"targetGroup":"a")");
    const std::vector<Case> cases{
        {"empty", "", {}},
        {"entry without a group", item("e-1", "entry", "127.0.0.1:1", ""), {"e-1"}},
        {"sidecar without a group is left out", good + "," + item("sc-2", "sidecar", "127.0.0.1:1", ""), {"sc-1"}},
        {"bad address is left out", item("sc-3", "sidecar", "nowhere", R"(,"targetGroup":"a")") + "," + good, {"sc-1"}},
        {"very deep item is left out", std::string(100000, '[') + std::string(100000, ']') + "," + good, {"sc-1"}},
        {"very deep field is left out",
         item("sc-4", "sidecar", "127.0.0.1:1", R"(,"targetGroup":)" + std::string(5000, '[') + std::string(5000, ']')) + "," + good,
         {"sc-1"}},
        {"number beyond all numbers is left out", item("sc-5", "sidecar", "127.0.0.1:1", R"(,"targetGroup":1e400)") + "," + good, {"sc-1"}},
        {"brackets in a text are text", item("[{\\\"[", "entry", "127.0.0.1:1", "") + "," + good, {"[{\"[", "sc-1"}},
        {"port out of range is left out", item("sc-6", "sidecar", "127.0.0.1:70000", R"(,"targetGroup":"a")") + "," + good, {"sc-1"}},
        {"item that is no object is left out", "7," + good, {"sc-1"}},
    };
    for (const Case &c : cases) {
        INFO(c.name);
        Reason reason;
        const auto members = parseInstanceList(R"({"instances":[)" + c.items + "]}", reason);
        REQUIRE(members);
        std::vector<std::string> names;
        for (const Member &member : *members) {
            names.push_back(member.instance);
        }
        REQUIRE(names == c.expected);
    }
    Reason reason;
    for (const char *text : {"", "[]", "{}", R"({"instances":7})"}) {
        INFO(text);
        REQUIRE(!parseInstanceList(text, reason));
    }
}
