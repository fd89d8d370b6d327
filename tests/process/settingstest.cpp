#include <process/settings.h>

#include <catch2/catch.hpp>

#include <random>

using namespace snipehill;

namespace
{

const std::string entryText = R"({
    // An entry with what has no default.
    "instance": "entry-1", "role": "entry",
    "callers": {"listen": "127.0.0.1:8080"},
    "link": {"listen": "127.0.0.1:9080"},
    "admin": {"listen": "127.0.0.1:9180"},
    "platform": {"log": "127.0.0.1:6001", "instances": "127.0.0.1:6002", "targets": "127.0.0.1:6003", "usage": "127.0.0.1:6004"}
})";

const std::string sidecarText = R"({
    "instance": "sc-1", "role": "sidecar", "region": "r1", "failureDomain": "fd-a",
    "link": {"listen": "[::1]:9081", "heartbeatMs": 200},
    "admin": {"listen": "127.0.0.1:9181"},
    "target": {"address": "127.0.0.1:7001", "group": "assistant", "kind": "engine", "slots": 4},
    "platform": {"log": "127.0.0.1:6001", "instances": "127.0.0.1:6002"},
    "peers": ["127.0.0.1:9080"], "logging": {"level": "debug", "format": "json"}
})";

std::string replaced(std::string text, const std::string &what, const std::string &by)
{
    const auto at = text.find(what);
    REQUIRE(at != std::string::npos);
    return text.replace(at, what.size(), by);
}

} // namespace

TEST_CASE("settings of both roles are read", "[settings]")
{
    Reason reason;
    const auto entry = parseSettings(entryText, reason);
    INFO(reason.detail);
    REQUIRE(entry);
    REQUIRE(entry->role == ProcessRole::Entry);
    REQUIRE(entry->callers.listen == Endpoint{"127.0.0.1", 8080});
    REQUIRE(entry->timings.lease == milliseconds(6000));
    const auto sidecar = parseSettings(sidecarText, reason);
    INFO(reason.detail);
    REQUIRE(sidecar);
    REQUIRE(sidecar->target.kind == TargetKind::Engine);
    REQUIRE(sidecar->target.slots == 4);
    REQUIRE(sidecar->link.listen == Endpoint{"::1", 9081});
    REQUIRE(sidecar->link.heartbeat == milliseconds(200));
    REQUIRE(sidecar->peers == std::vector<Endpoint>{{"127.0.0.1", 9080}});
    REQUIRE(sidecar->logging.format == LogFormat::Json);
    REQUIRE(sidecar->failureDomain == "fd-a");
}

TEST_CASE("an invalid setting is an error that names the field and its allowed values", "[settings]")
{
    struct Case
    {
        const char *what;
        const char *by;
        const char *field;
        const char *says;
    };
    for (const Case &c : {
             Case{"\"callers\"", "\"caller\"", "caller:", "unknown field"},
             {"\"instance\": \"entry-1\",", "", "instance:", "missing"},
             {"entry-1", "entry 1", "instance:", "a name of letters"},
             {"\"entry-1\"", "\"\"", "instance:", "a name of letters"},
             {"\"entry-1\"", "7", "instance:", "a name of letters"},
             {"\"role\": \"entry\"", "\"role\": \"proxy\"", "role:", "\"entry\" or \"sidecar\""},
             {"\"role\": \"entry\"", "\"role\": \"sidecar\"", "callers.listen:", "not used by role sidecar"},
             {"\"callers\": {\"listen\": \"127.0.0.1:8080\"},", "", "callers.listen:", "missing"},
             {"127.0.0.1:8080", "localhost:8080", "callers.listen:", "IP address and port"},
             {"127.0.0.1:8080", "127.0.0.1:0", "callers.listen:", "IP address and port"},
             {"127.0.0.1:8080", "127.0.0.1:65536", "callers.listen:", "IP address and port"},
             {"127.0.0.1:8080", "127.0.0.1:9080", "listen:", "can't share"},
             {"127.0.0.1:9180", "0.0.0.0:9180", "admin.listen:", "loopback"},
             {"{\"listen\": \"127.0.0.1:8080\"}", "[]", "callers:", "object"},
             {"8080\"}", "8080\", \"headerBytes\": 100}", "callers.headerBytes:", "from 1024 to"},
             {"8080\"}", "8080\", \"headerBytes\": -1}", "callers.headerBytes:", "from 1024 to"},
             {"8080\"}", "8080\", \"headerBytes\": 2048.5}", "callers.headerBytes:", "an integer"},
             {"8080\"}", "8080\", \"headerBytes\": \"2048\"}", "callers.headerBytes:", "an integer"},
             {"8080\"}", "8080\", \"headerBytes\": 1e300}", "callers.headerBytes:", "an integer"},
             {"8080\"}", "8080\", \"headerBytes\": 1e400}", "Line 4", "is not a number"},
             {"8080\"}", "8080\", \"colour\": 1}", "callers.colour:", "unknown field; known here are bodyBytes"},
             {"8080\"}", "8080\", \"listen\": \"127.0.0.1:8081\"}", "listen", "Duplicate key"},
             {"\"platform\": {", "\"schemaVersion\": 2, \"platform\": {", "schemaVersion:", "must be 1"},
             {"\"platform\": {", "\"target\": {\"slots\": 2}, \"platform\": {", "target.slots:", "not used by role entry"},
             {"\"platform\": {", "\"peers\": [\"x\"], \"platform\": {", "peers:", "array"},
             {"\"platform\": {", "\"peers\": \"127.0.0.1:1\", \"platform\": {", "peers:", "array"},
             {"\"platform\": {", "\"traces\": {\"enabled\": 1}, \"platform\": {", "traces.enabled:", "true or false"},
             {"\"platform\": {", "\"logging\": {\"level\": \"loud\"}, \"platform\": {", "logging.level:", "\"debug\" or"},
             {"\"platform\": {", "\"timings\": {\"leaseMs\": 2000}, \"platform\": {", "timings.leaseMarginMs:", "less than half"},
             {"\"platform\": {", "\"timings\": {\"grantMs\": 6000}, \"platform\": {", "timings.grantMs:", "less than timings.leaseMs"},
             {"\"platform\": {", "\"drain\": {\"boundMs\": 5}, \"platform\": {", "drain.balancerDelayMs:", "at most"},
             {", \"usage\": \"127.0.0.1:6004\"", "", "platform.usage:", "missing"},
         }) {
        Reason reason;
        const std::string text = replaced(entryText, c.what, c.by);
        INFO(c.what << " -> " << c.by);
        REQUIRE_FALSE(parseSettings(text, reason));
        INFO(reason.detail);
        REQUIRE(reason.step == Step::Settings);
        REQUIRE(reason.detail.find(c.field) != std::string::npos);
        REQUIRE(reason.detail.find(c.says) != std::string::npos);
    }
}

TEST_CASE("malformed settings are refused with a reason", "[settings][fuzz]")
{
    const std::string deep(100000, '[');
    for (const std::string &text : {std::string(),
                                    std::string("null"),
                                    std::string("[]"),
                                    std::string("{"),
                                    std::string("{\"a\":}"),
                                    deep,
                                    std::string("{}{}"),
                                    std::string("\0{}", 3),
                                    std::string("{\"instance\":\"\xff\"}"),
                                    entryText + "}"}) {
        Reason reason;
        REQUIRE_FALSE(parseSettings(text, reason));
        REQUIRE_FALSE(reason.detail.empty());
    }
}

TEST_CASE("mutated settings never pass without a reason", "[settings][fuzz]")
{
    constexpr unsigned seed = 20240611;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    for (int round = 0; round < 3000; ++round) {
        std::string text = round % 2 ? entryText : sidecarText;
        for (unsigned edit = 0; edit < 1 + random() % 3; ++edit) {
            text[random() % text.size()] = char(random() % 256);
        }
        Reason reason;
        const auto settings = parseSettings(text, reason);
        REQUIRE((settings || !reason.detail.empty()));
        if (settings) {
            REQUIRE(settings->threads >= 1);
            REQUIRE(!settings->instance.empty());
        }
    }
}

TEST_CASE("a settings file that can't be read is named", "[settings]")
{
    Reason reason;
    REQUIRE_FALSE(readSettingsFile("/nonexistent/settings.json", reason));
    REQUIRE(reason.detail.find("/nonexistent/settings.json") != std::string::npos);
}
