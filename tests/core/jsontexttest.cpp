#include <core/jsontext.h>

#include "fakes/random.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace snipehill;

// Guards against texts from outside that end a reader by an exception, and against one odd value that makes all others unreadable.
TEST_CASE("A JSON text is parsed or rejected, and odd values of a text of several writers are read as null", "[json]")
{
    struct Case
    {
        const char *what;
        std::string text;
        bool readable; //!< by parseJsonText()
        std::string parts; //!< by parseJsonParts(), written again; empty if it rejects the text
    };
    const std::string deep = std::string(100000, '[') + std::string(100000, ']');
    const std::vector<Case> cases{
        {"plain", R"({"a":[1,"x",true]})", true, R"({"a":[1,"x",true]})"},
        {"empty", "", false, ""},
        {"cut off", R"({"a":)", false, ""},
        {"cut off in a string", R"({"a":"x\)", false, ""},
        {"depth at the limit", std::string(64, '[') + std::string(64, ']'), true, std::string(64, '[') + std::string(64, ']')},
        {"depth beyond the limit", R"({"a":)" + deep + R"(,"b":2})", false, ""},
        {"many open brackets", std::string(100000, '{'), false, ""},
        {"many closed brackets", std::string(1000, ']'), false, ""},
        {"number beyond all numbers", R"({"a":1e400,"b":-1e400,"c":2})", false, R"({"a":null,"b":null,"c":2})"},
        {"brackets in a string", R"({"a":"[[\"[{","b":2})", true, R"({"a":"[[\"[{","b":2})"},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        CHECK(parseJsonText(c.text).has_value() == c.readable);
        const auto parts = parseJsonParts(c.text);
        if (!c.parts.empty()) {
            REQUIRE(parts);
            CHECK(writeJsonText(*parts) == c.parts);
        }
    }
    const auto parts = parseJsonParts(R"({"a":)" + deep + R"(,"b":2})");
    REQUIRE(parts);
    CHECK((*parts)["b"] == 2);
}

// Guards against texts that no table has, for all readers that build on these functions.
TEST_CASE("No text makes the JSON functions throw", "[json]")
{
    constexpr int texts = 20000;
    const std::string seedText = R"({"service":"s","address":"10.0.0.1:80","x":[{"y":[1e9,-0.5,"z\"\\",null]},true],"born":1700000000123})";
    const std::string alphabet = "[]{}\",:\\0123456789eE+-.tfn \n\x01\xff";
    for (std::uint64_t seed = 1; seed <= texts; ++seed) {
        fakes::Random random{seed};
        std::string text = seedText;
        for (std::uint64_t change = random.between(1, 12); change > 0; --change) {
            const std::size_t at = random.between(0, text.size() - 1);
            const char character = alphabet[random.between(0, alphabet.size() - 1)];
            const std::string part(random.between(1, 3), character);
            text.replace(at, random.between(0, 3), part);
        }
        INFO("seed " << seed << ": " << text);
        const auto strict = parseJsonText(text);
        const auto parts = parseJsonParts(text);
        if (strict && !parts) {
            FAIL("a readable text is rejected as one of several writers");
        }
        for (const auto &value : {strict, parts}) {
            if (value && value->isObject()) {
                stringOf((*value)["service"]);
                intOf((*value)["born"]);
                unsignedOf((*value)["born"]);
            }
        }
    }
}
