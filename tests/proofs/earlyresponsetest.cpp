#include "support/callers.h"
#include "support/cluster.h"
#include "support/directcluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t smallUploadBytes = 60 * kilobyte; // fits into the socket buffers of the relay, which acknowledge it

/** A response to an upload that breaks off: after part of the body, or after it has ended in order. */
struct EarlyResponse
{
    const char *what;
    std::size_t uploadBytes;
    Relay::AfterResponse after;
};

const std::vector<EarlyResponse> earlyResponses{
    {"small upload, reset", smallUploadBytes, Relay::AfterResponse::Reset},
    {"upload, reset", 500 * kilobyte, Relay::AfterResponse::Reset},
    {"large upload, reset", 3900 * kilobyte, Relay::AfterResponse::Reset},
    {"upload, end and reset", 500 * kilobyte, Relay::AfterResponse::EndAndReset},
    {"large upload, end and reset", 3900 * kilobyte, Relay::AfterResponse::EndAndReset},
};

/** A success without a length, and the first part of its body. */
std::string bytesOf(const std::string &requestId, const char *contentType)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + requestId + "\r\nX-Request-Id: " + requestId + "\r\nServer-Seal: s\r\nContent-Type: " + contentType
        + "\r\n\r\nid: 1\ndata: part of the body\n\n";
}

} // namespace

// Guards against part of a body that callers take for a whole answer because it has no length.
TEST_CASE("No caller gets a success of a target that breaks off while it receives the request", "[direct][broken-response]")
{
    struct Route
    {
        const char *target;
        const char *path;
        bool prompt;
    };
    const std::vector<Route> routes{{"p1", "/post/x", false}, {"p1", "/read/x", false}, {"e1", "/review/x", true}, {"e1", "/ask/x", true}};
    DirectCluster host({{"p1", "plain", ""}, {"e1", "engines", "decode"}}, {.entries = 1, .useRelays = true});
    const std::string limit = R"("max_body_bytes":100000)";
    std::string configuration = defaultConfiguration(1);
    host.publish(configuration.replace(configuration.find(limit), limit.size(), R"("max_body_bytes":4194304)"));
    REQUIRE(host.waitUntilReady(0));
    int requests = 0;
    for (const EarlyResponse &early : earlyResponses) {
        for (const Route &route : routes) {
            const char *type = route.prompt ? "text/event-stream" : "text/plain";
            const auto answered = std::make_shared<std::atomic<int>>(0);
            const auto respond = [answered, type](const std::string &head) {
                ++*answered;
                return bytesOf(headerOf(head, "Attempt-Id"), type);
            };
            host.targetRelay(route.target).respondWith(respond, early.after);
            // A target that has failed gets no requests for a moment.
            const bool reached = waitUntil([&] {
                const std::string id = "r" + std::to_string(++requests);
                Call call = route.prompt ? promptCall(route.path, id, 100) : directCall("POST", route.path, id);
                call.method = "POST";
                call.body = std::string(early.uploadBytes, 'a');
                call.headers["Deadline-Ms"] = "3000";
                const Response response = host.call(0, call);
                INFO(early.what << " on " << route.path << ": status " << response.status << ", " << response.error << "\n" << response.body);
                CHECK((!response.complete || response.status == 502 || response.status == 503));
                CHECK((response.complete || route.prompt)); // a stream that has begun is cut
                return *answered > 0;
            });
            CHECK(reached);
        }
    }
}

TEST_CASE("No caller gets a success of a target that breaks off while it receives the request of a sidecar", "[whole-answer][broken-response]")
{
    ClusterOptions options;
    options.entries = 1;
    options.targets = {{}, {.kind = "service", .group = "licences"}};
    options.settings = R"({"timings": {"instancesPollMs": 200}, "link": {"heartbeatMs": 300}})";
    Cluster cluster(options);
    REQUIRE(cluster.start(defaultRecords()));
    int requests = 0;
    for (const EarlyResponse &early : earlyResponses) {
        const std::string upload(early.uploadBytes, 'a');
        std::vector<std::pair<std::size_t, Call>> calls{
            {1, postingCall("/status/x", "", upload)},
            {1, postingCall("/fees/x", "key-" + std::to_string(++requests), upload)},
        };
        if (early.uploadBytes == smallUploadBytes) {
            calls.emplace_back(0, chatCall(upload, 4)); // a longer prompt would be refused
        }
        for (const auto &[sidecar, planned] : calls) {
            const char *type = sidecar == 0 ? "text/event-stream" : "text/plain";
            const auto answered = std::make_shared<std::atomic<int>>(0);
            const auto respond = [answered, type](const std::string &head) {
                ++*answered;
                return bytesOf(headerOf(head, "X-Request-Id"), type);
            };
            cluster.sidecars[sidecar].targetRelay->respondWith(respond, early.after);
            Call call = planned;
            call.timeout = milliseconds(8000);
            const CallerRecord record = sendOnce(cluster.entries[0].callers, "bureau", call);
            INFO(early.what << " on " << call.target << ": status " << record.response.status << ", " << record.response.error << "\n" << record.response.body);
            CHECK(*answered > 0);
            CHECK((!record.response.complete || record.response.status >= 500));
            CHECK((record.response.complete || sidecar == 0));
        }
    }
}
