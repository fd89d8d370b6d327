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

TEST_CASE("A sidecar that was restarted does not call not run what ran before", "[not-run]")
{
    struct Case
    {
        const char *what;
        std::string workspace;
        Call call;
    };
    // The answer is late, so that the sidecar's death falls between the run and the answer.
    const std::vector<Case> cases{
        {"lookup", "bureau", lookupCall("/status/4711?lateMs=3000")},
        {"posting", "kaspiy", postingCall("/fees/4711?lateMs=3000", "fee-4711", "{}")},
    };
    for (const Case &c : cases) {
        DYNAMIC_SECTION(c.what)
        {
            Cluster cluster(oneService());
            REQUIRE(cluster.start(defaultRecords()));
            auto answer = sendInBackground(cluster.entries[0].callers, c.workspace, c.call);
            REQUIRE(waitUntil([&] {
                return !cluster.targetJournal().empty();
            }));
            cluster.sidecars[0].process->kill();
            cluster.startDaemon(cluster.sidecars[0]);
            const CallerRecord record = answer.get();
            INFO(record.response.status << " " << record.response.body);
            CHECK(refusedRequestsDidNotRun({record}, cluster.targetJournal()) == noViolations);
            CHECK(noRequestRunTwice(cluster.targetJournal(), "/fees") == noViolations);
            CHECK(record.response.complete);
        }
    }
}
