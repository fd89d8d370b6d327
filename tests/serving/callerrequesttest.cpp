#include <serving/src/callerrequest.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace snipehill;

namespace
{

namespace http = boost::beast::http;

ConfigPointer testConfig()
{
    auto config = std::make_shared<ConfigVersion>();
    config->workspaces["w"].value.name = "w";
    config->keys["k"].value = {"k", "w", sha256Hex("secret")};
    config->keyNameByHash[sha256Hex("secret")] = "k";
    config->targetGroups["engines"].value.kind = TargetKind::Engine;
    config->targetGroups["services"].value.kind = TargetKind::Service;
    config->routes["chat"].value = {.name = "chat", .prefix = "/chat", .targetGroup = "engines"};
    config->routes["fees"].value = {.name = "fees", .prefix = "/fees", .targetGroup = "services", .idempotent = false, .requireIdempotencyKey = true};
    config->routes["hours"].value = {.name = "hours", .prefix = "/hours", .targetGroup = "services", .open = true};
    return config;
}

http::request<http::string_body> request(const std::string &target, const std::string &authorization, const std::string &key, const std::string &body)
{
    http::request<http::string_body> result(http::verb::post, target, 11);
    if (!authorization.empty()) {
        result.set(http::field::authorization, authorization);
    }
    if (!key.empty()) {
        result.set("Idempotency-Key", key);
    }
    result.set("Cookie", "c");
    result.set(http::field::connection, "keep-alive");
    result.body() = body;
    return result;
}

} // namespace

TEST_CASE("a caller's request is accepted or refused with its status and step", "[caller]")
{
    struct Case
    {
        const char *what;
        std::string target;
        std::string authorization;
        std::string key;
        std::string body;
        Freshness freshness;
        unsigned status; //!< 0 if the request is accepted
        Outcome outcome;
        Step step;
    };
    const std::string chat = R"({"model":"m","messages":[{"role":"user","content":"hello"}]})";
    const std::string validAuthorization = "Bearer secret";
    const std::vector<Case> cases{
        {"valid request", "/chat", validAuthorization, "", chat, Freshness::Fresh, 0, {}, {}},
        {"valid request in an outage", "/chat", validAuthorization, "", chat, Freshness::Outage, 0, {}, {}},
        {"no route", "/none", validAuthorization, "", "", Freshness::Fresh, 404, Outcome::Rejected, Step::Parse},
        {"no key", "/chat", "", "", chat, Freshness::Fresh, 401, Outcome::Rejected, Step::Authenticate},
        {"wrong key", "/chat", "Bearer other", "", chat, Freshness::Fresh, 401, Outcome::Rejected, Step::Authenticate},
        {"other scheme", "/chat", "Basic secret", "", chat, Freshness::Fresh, 401, Outcome::Rejected, Step::Authenticate},
        {"empty secret", "/chat", "Bearer ", "", chat, Freshness::Fresh, 401, Outcome::Rejected, Step::Authenticate},
        {"stale configuration", "/chat", validAuthorization, "", chat, Freshness::Stale, 503, Outcome::NotRun, Step::Authenticate},
        {"open route, stale", "/hours", "", "", "", Freshness::Stale, 0, {}, {}},
        {"no chat body", "/chat", validAuthorization, "", "hello", Freshness::Fresh, 400, Outcome::Rejected, Step::Parse},
        {"nested too deeply",
         "/chat",
         validAuthorization,
         "",
         std::string(20, '[') + std::string(20, ']'),
         Freshness::Fresh,
         400,
         Outcome::Rejected,
         Step::Parse},
        {"key required", "/fees", validAuthorization, "", "x", Freshness::Fresh, 400, Outcome::Rejected, Step::Parse},
        {"key given", "/fees", validAuthorization, "f1", "x", Freshness::Fresh, 0, {}, {}},
        {"key too long", "/fees", validAuthorization, std::string(256, 'k'), "x", Freshness::Fresh, 400, Outcome::Rejected, Step::Parse},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        const RequestValidationContext validation{testConfig(), c.freshness, 8};
        const auto result = parseCallerRequest(request(c.target, c.authorization, c.key, c.body), validation, "id", TimePoint());
        const auto *refusal = std::get_if<Refusal>(&result);
        REQUIRE((refusal ? refusal->status : 0) == c.status);
        if (refusal) {
            CHECK(refusal->outcome == c.outcome);
            CHECK(refusal->reason.step == c.step);
            continue;
        }
        for (const auto &[name, value] : std::get<CallerRequest>(result).headers) {
            CHECK(name == "Cookie"); // credentials and connection headers are not forwarded
        }
    }
}

TEST_CASE("brackets within strings don't count as nesting", "[caller]")
{
    struct Case
    {
        std::string json;
        bool within;
    };
    const std::vector<Case> cases{
        {"", true},
        {"[[[]]]", true},
        {"[[[[]]]]", false},
        {R"(["[[[[[["])", true},
        {R"(["\"[[[[[["])", true},
        {R"({"a":{"b":{"c":{}}}})", false},
        {"]]]][[[", true},
    };
    for (const Case &c : cases) {
        INFO(c.json);
        CHECK(isNestingWithin(c.json, 3) == c.within);
    }
}
