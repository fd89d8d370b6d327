#include "support/callers.h"
#include "support/checkers.h"
#include "support/cluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

ClusterOptions oneService()
{
    ClusterOptions options;
    options.entries = 1;
    options.targets = {{.kind = "service", .group = "licences"}};
    options.settings = R"({"timings": {"instancesPollMs": 200}, "link": {"heartbeatMs": 300}})";
    return options;
}

} // namespace

TEST_CASE("A restarted sidecar does not report a request as not run that ran before the restart", "[not-run]")
{
    struct Case
    {
        const char *what;
        std::string workspace;
        Call call;
    };
    // The target responds after 3000 ms, so that the sidecar is killed between the run and the response.
    const std::vector<Case> cases{
        {"lookup", "bureau", lookupCall("/status/4711?lateMs=3000")},
        {"posting", "kaspiy", postingCall("/fees/4711?lateMs=3000", "fee-4711", "{}")},
    };
    for (const Case &c : cases) {
        DYNAMIC_SECTION(c.what)
        {
            Cluster cluster(oneService());
            REQUIRE(cluster.start(defaultRecords()));
            auto pendingResponse = sendInBackground(cluster.entries[0].callers, c.workspace, c.call);
            REQUIRE(waitUntil([&] {
                return !cluster.targetJournal().empty();
            }));
            cluster.sidecars[0].process->kill();
            cluster.startDaemon(cluster.sidecars[0]);
            const CallerRecord record = pendingResponse.get();
            INFO(record.response.status << " " << record.response.body);
            CHECK(refusedRequestsDidNotRun({record}, cluster.targetJournal()) == noViolations);
            CHECK(noRequestRunTwice(cluster.targetJournal(), "/fees") == noViolations);
            CHECK(record.response.complete);
        }
    }
}
