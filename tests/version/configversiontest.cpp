#include <version/configversion.h>

#include <catch2/catch.hpp>

using namespace snipehill;

TEST_CASE("the longest prefix that ends at a segment boundary wins", "[config]")
{
    ConfigVersion config;
    config.routes["a"].value = {.name = "a", .prefix = "/v1"};
    config.routes["b"].value = {.name = "b", .prefix = "/v1/fees"};
    struct Case
    {
        const char *path;
        const char *route;
    };
    for (const Case &c : {Case{"/v1/fees", "b"}, {"/v1/fees?x=1", "b"}, {"/v1/feesx", "a"}, {"/v1/fees/3", "b"}, {"/v2", ""}}) {
        const Route *route = findRoute(config, c.path);
        INFO(c.path);
        REQUIRE((route ? route->name : "") == c.route);
    }
}
