#include <request/estimate.h>
#include <request/prefixindex.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace snipehill;

TEST_CASE("Tokens of a chat-completions body are estimated", "[request]")
{
    struct Case
    {
        const char *name;
        std::string body;
        bool parsed;
        std::uint64_t promptTokens;
        std::uint64_t outputTokens;
        bool stream;
    };
    const std::string deep(2000, '[');
    for (const Case &c : std::vector<Case>{
             {"plain", R"({"model":"m","messages":[{"role":"user","content":"0123456789"}],"max_tokens":7,"stream":true})", true, 5, 7, true},
             {"parts", R"({"messages":[{"role":"user","content":[{"type":"text","text":"0123456789"}]}]})", true, 5, 256, false},
             {"max_completion_tokens takes precedence", R"({"messages":[],"max_tokens":7,"max_completion_tokens":9})", true, 1, 9, false},
             {"max_tokens is bounded", R"({"messages":[],"max_tokens":999999999})", true, 1, 4096, false},
             {"negative max_tokens", R"({"messages":[],"max_tokens":-4})", true, 1, 256, false},
             {"not JSON", "twelve bytes", false, 4, 256, false},
             {"no messages", R"({"model":"m"})", false, 4, 256, false},
             {"unexpected types", R"({"messages":[1,{"role":2,"content":{}}],"stream":"yes"})", true, 1, 256, false},
             {"nested too deeply", deep, false, 501, 256, false},
             {"empty", "", false, 1, 256, false},
         }) {
        INFO(c.name);
        const CostEstimate estimate = estimateChat(c.body);
        CHECK(estimate.parsed == c.parsed);
        CHECK(estimate.promptTokens == c.promptTokens);
        CHECK(estimate.outputTokens == c.outputTokens);
        CHECK(estimate.stream == c.stream);
    }
}

TEST_CASE("Prefix hashes are equal exactly for the common prefix of two prompts", "[request]")
{
    const std::string common(3 * prefixBlockBytes, 'a');
    const auto one = prefixHashes("m", common + std::string(prefixBlockBytes, 'b'), 64);
    const auto two = prefixHashes("m", common + std::string(prefixBlockBytes, 'c'), 64);
    const auto other = prefixHashes("n", common, 64);
    REQUIRE(one.size() == 4);
    CHECK(std::vector(one.begin(), one.begin() + 3) == std::vector(two.begin(), two.begin() + 3));
    CHECK(one[3] != two[3]);
    CHECK(other[0] != one[0]);
    CHECK(prefixHashes("m", std::string(prefixBlockBytes - 1, 'a'), 64).empty());
    CHECK(prefixHashes("m", common, 2).size() == 2);
}

TEST_CASE("The prefix index keeps routed blocks until they are evicted or invalidated", "[request]")
{
    PrefixIndex index;
    const std::vector<std::uint64_t> hashes{1, 2, 3, 4};
    applyCacheEpoch(index, "t", 5, 1);
    recordRoutedPrefix(index, "t", hashes);
    CHECK(cachedBlocks(index, "t", hashes) == 4);
    CHECK(cachedBlocks(index, "u", hashes) == 0);

    SECTION("an evicted block ends the cached prefix")
    {
        recordCacheEvent(index, "t", 3, false);
        CHECK(cachedBlocks(index, "t", hashes) == 2);
        recordCacheEvent(index, "t", 3, true);
        CHECK(cachedBlocks(index, "t", hashes) == 4);
    }
    SECTION("the same epoch changes nothing")
    {
        applyCacheEpoch(index, "t", 5, 1);
        CHECK(cachedBlocks(index, "t", hashes) == 4);
    }
    SECTION("a new cache epoch, which follows a gap in events, invalidates all blocks")
    {
        applyCacheEpoch(index, "t", 5, 2);
        CHECK(cachedBlocks(index, "t", hashes) == 0);
    }
    SECTION("a new incarnation invalidates all blocks")
    {
        applyCacheEpoch(index, "t", 6, 1);
        CHECK(cachedBlocks(index, "t", hashes) == 0);
    }
    SECTION("the number of hashes is bounded and leading blocks are evicted last")
    {
        index.maxHashesPerTarget = 3;
        removeTarget(index, "t");
        recordRoutedPrefix(index, "t", hashes);
        CHECK(index.targets.at("t").recent.size() == 3);
        CHECK(cachedBlocks(index, "t", hashes) == 3);
    }
}
