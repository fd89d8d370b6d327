#include <platform/settingsfile.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace snipehill;

namespace
{

const std::string completeFile = R"(
node_name = "edge-a-1"
zone = "zone-a"
region = "region-a"
port_range = [7660,7675]
heartbeat_ms = 1200
some_new_field = [1, 2]
[listen]
front = "10.1.0.7:8405"
ready = "10.1.0.7:8406"
[limits]
cpu_share = 0.19
cores = 1
memory_mb = 260
[bounds]
drain_ms = 2000
config_ms = 2000
grace_s = 8
lease_ms = 3000
report_window_s = 5
usage_late_s = 10
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 52
[platform]
address = "10.200.1.7:8408"
[cloud]
address = "10.200.0.60:8408"
duties = ["usage_report","autoscale"]
)";

std::string without(const std::string &line)
{
    std::string text = completeFile;
    const auto at = text.find(line);
    return text.erase(at, text.find('\n', at) - at);
}

} // namespace

TEST_CASE("The platform's settings file is parsed and unknown fields are ignored", "[platform]")
{
    Reason reason;
    const auto settings = platform::parseSettingsFile(completeFile, reason);
    REQUIRE(settings);
    CHECK(settings->instance == "edge-a-1");
    CHECK(settings->failureDomain == "zone-a");
    CHECK(settings->callers == Endpoint{"10.1.0.7", 8405});
    CHECK(settings->readiness == Endpoint{"10.1.0.7", 8406});
    CHECK(settings->store == Endpoint{"10.200.1.7", 8408});
    CHECK(settings->duties == Endpoint{"10.200.0.60", 8408});
    CHECK(settings->reportsUsage);
    CHECK(settings->firstPort == 7660);
    CHECK(settings->grace == seconds(8));
    CHECK(settings->usageWindow == seconds(5));
    CHECK(settings->retrySlack == 52);
    CHECK(settings->memoryBytes == 260U << 20U);
}

TEST_CASE("An invalid settings file is rejected with the name of the field", "[platform]")
{
    struct Case
    {
        std::string text;
        std::string failedField;
    };
    const std::vector<Case> cases{{without("node_name"), "node_name"},
                                  {without("front ="), "listen.front"},
                                  {without("port_range"), "port_range"},
                                  {without("address = \"10.200.1.7"), "platform.address"},
                                  {"node_name = ", ""}};
    for (const Case &c : cases) {
        INFO(c.failedField);
        Reason reason;
        CHECK(!platform::parseSettingsFile(c.text, reason));
        CHECK(reason.step == Step::Settings);
        CHECK(reason.detail.find(c.failedField) != std::string::npos);
    }
}

// Guards against an instance whose memory is not known, or given as 0, that refuses every request.
TEST_CASE("Without a positive memory limit the default is used", "[platform]")
{
    const std::size_t usual = DirectSettings{}.memoryBytes;
    for (const char *limit : {"", "memory_mb = 0", "memory_mb = -1", "memory_mb = \"much\""}) {
        INFO(limit);
        std::string text = completeFile;
        const std::string line = "memory_mb = 260";
        text.replace(text.find(line), line.size(), limit);
        Reason reason;
        const auto settings = platform::parseSettingsFile(text, reason);
        REQUIRE(settings);
        CHECK(settings->memoryBytes == usual);
    }
}
