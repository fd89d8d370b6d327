#include <process/configtree.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace snipehill;

namespace
{

std::vector<TreeMember> makeMembers(std::size_t count, std::size_t regions)
{
    std::vector<TreeMember> members;
    for (std::size_t i = 0; i < count; ++i) {
        members.push_back({"i" + std::to_string(i), "r" + std::to_string(i % regions), i % 7 == 0});
    }
    return members;
}

} // namespace

TEST_CASE("every member has one position in a tree of bounded degree", "[config]")
{
    struct Case
    {
        std::size_t count;
        std::size_t regions;
        TreeLimits limits;
        std::size_t readers;
        std::size_t depth;
    };
    for (const Case &c : {Case{0, 1, {}, 0, 0},
                          {1, 1, {}, 1, 0},
                          {64, 1, {}, 64, 0},
                          {65, 1, {}, 4, 2},
                          {200, 2, {}, 8, 3},
                          {200, 2, {.maxDirectFleet = 10, .readersPerRegion = 2, .fanOut = 10, .fallbackParents = 1}, 4, 2},
                          {500, 4, {}, 16, 3}}) {
        INFO(c.count << " members in " << c.regions << " regions");
        std::vector<TreeMember> members = makeMembers(c.count, c.regions);
        std::map<std::string, TreePosition> places;
        for (const TreeMember &member : members) {
            places[member.instance] = computeTreePosition(members, member.instance, c.limits);
        }
        std::size_t readers = 0;
        std::size_t depth = 0;
        std::size_t children = 0;
        for (const auto &[name, position] : places) {
            readers += position.readsLog ? 1 : 0;
            depth = std::max(depth, position.depth);
            children += position.children.size();
            REQUIRE(position.children.size() <= c.limits.fanOut);
            REQUIRE(position.parents.empty() == position.readsLog);
            REQUIRE(position.parents.size() <= c.limits.fallbackParents + 1);
            REQUIRE(std::find(position.parents.begin(), position.parents.end(), name) == position.parents.end());
            for (const std::string &child : position.children) {
                REQUIRE(places[child].parents.front() == name);
                REQUIRE(places[child].depth == position.depth + 1);
            }
        }
        REQUIRE(readers == c.readers);
        REQUIRE(depth == c.depth);
        REQUIRE(children == c.count - readers);
    }
}

TEST_CASE("positions do not depend on the order of the list", "[config]")
{
    std::vector<TreeMember> members = makeMembers(300, 3);
    const TreePosition position = computeTreePosition(members, "i77", {});
    std::reverse(members.begin(), members.end());
    const TreePosition again = computeTreePosition(members, "i77", {});
    REQUIRE(position.parents == again.parents);
    REQUIRE(position.children == again.children);
    REQUIRE(computeTreePosition(members, "unknown", {}).readsLog);
}
