#include "support/callers.h"
#include "support/cluster.h"
#include "support/directcluster.h"
#include "support/linkcall.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

const std::string brokenBody = "part of a broken response";

/** A response that no HTTP server may send. */
struct BrokenResponse
{
    const char *what;
    std::string statusLine;
    std::string field; //!< with its line end; may be empty
};

const std::vector<BrokenResponse> brokenResponses{
    {"status 000", "HTTP/1.1 000 Unknown", ""},
    {"status 099", "HTTP/1.1 099 Unknown", ""},
    {"status 101", "HTTP/1.1 101 Switching Protocols", ""},
    {"status 600", "HTTP/1.1 600 Unknown", ""},
    {"status 999", "HTTP/1.1 999 Unknown", ""},
    {"folded line", "HTTP/1.1 200 OK", " X-Odd: 1\r\n"},
    {"blank in a name", "HTTP/1.1 200 OK", "X Odd: 1\r\n"},
    {"blank before a colon", "HTTP/1.1 200 OK", "X-Odd : 1\r\n"},
    {"control byte in a name", "HTTP/1.1 200 OK", "X-\x01Odd: 1\r\n"},
    {"byte above 126 in a name", "HTTP/1.1 200 OK", "X-\x7fOdd: 1\r\n"},
    {"line without a colon", "HTTP/1.1 200 OK", "Odd\r\n"},
};

/** Ids of the requests that a broken response was sent to. Thread-safe. */
class AnsweredRequests
{
public:
    void add(const std::string &id)
    {
        const std::lock_guard lock(m_lock);
        m_ids.insert(id);
    }
    bool contains(const std::string &id)
    {
        const std::lock_guard lock(m_lock);
        return m_ids.contains(id);
    }

private:
    std::mutex m_lock;
    std::set<std::string> m_ids;
};

/** The whole response, in all else like one that the target might give to the request. */
std::string bytesOf(const BrokenResponse &response, const std::string &requestId, const char *contentType)
{
    return response.statusLine + "\r\nAttempt-Id: " + requestId + "\r\nX-Request-Id: " + requestId + "\r\nServer-Seal: s\r\nContent-Type: " + contentType
        + "\r\n" + response.field + "Content-Length: " + std::to_string(brokenBody.size()) + "\r\n\r\n" + brokenBody;
}

} // namespace

// Guards against broken responses that reach callers as answers, and against refusals that are not true.
TEST_CASE("A broken response of a target is no answer, and its request may have run", "[direct][broken-response]")
{
    struct Route
    {
        const char *target;
        const char *path;
        bool prompt;
    };
    const std::vector<Route> routes{{"p1", "/post/x", false}, {"p1", "/read/x", false}, {"e1", "/review/x", true}, {"e1", "/ask/x", true}};
    DirectCluster host({{"p1", "plain", ""}, {"e1", "engines", "decode"}}, {.entries = 1, .useRelays = true});
    host.publish(defaultConfiguration(1));
    REQUIRE(host.waitUntilReady(0));
    const auto answered = std::make_shared<AnsweredRequests>();
    int requests = 0;
    for (const BrokenResponse &broken : brokenResponses) {
        for (const Route &route : routes) {
            const char *type = route.prompt ? "text/event-stream" : "text/plain";
            host.targetRelay(route.target).respondWith([&broken, answered, type](const std::string &head) {
                const std::string id = headerOf(head, "Attempt-Id");
                answered->add(id);
                return bytesOf(broken, id, type);
            });
            // A target that has failed gets no requests for a moment; they are refused as not run.
            const bool reached = waitUntil([&] {
                const std::string id = "r" + std::to_string(++requests);
                Call call = route.prompt ? promptCall(route.path, id, 100) : directCall("POST", route.path, id, "fee");
                call.headers["Deadline-Ms"] = "3000";
                const Response response = host.call(0, call);
                INFO(broken.what << " on " << route.path << ": status " << response.status << ", " << response.error << "\n" << response.body);
                CHECK(response.complete);
                CHECK(response.body.find(brokenBody) == std::string::npos);
                const bool unknown = response.status == 502 && response.body.find("outcome_unknown") != std::string::npos;
                const bool notRun = response.status == 503 && response.body.find("not_run") != std::string::npos;
                CHECK((unknown || (notRun && !answered->contains(id))));
                return answered->contains(id);
            });
            CHECK(reached);
        }
    }
    host.targetRelay("p1").respondWith({});
    CHECK(waitUntil([&host, &requests] {
        return host.call(0, directCall("POST", "/post/x", "r" + std::to_string(++requests), "fee")).status == 200;
    }));
}

// Guards against a broken response that ends a request which another target could have served.
TEST_CASE("A request that may be repeated goes to another target after a broken response", "[direct][broken-response]")
{
    constexpr int lookups = 10;
    DirectCluster host({{"p1", "plain", ""}, {"p2", "plain", ""}}, {.entries = 1, .useRelays = true});
    host.publish(defaultConfiguration(1));
    REQUIRE(host.waitUntilReady(0));
    const auto answered = std::make_shared<AnsweredRequests>();
    host.targetRelay("p1").respondWith([answered](const std::string &head) {
        answered->add(headerOf(head, "Attempt-Id"));
        return bytesOf(brokenResponses.front(), headerOf(head, "Attempt-Id"), "text/plain");
    });
    int repeated = 0;
    for (int i = 0; i < lookups || (repeated == 0 && i < 20 * lookups); ++i) {
        const std::string id = "r" + std::to_string(i);
        const Response response = host.call(0, directCall("GET", "/read/x", id));
        INFO(id << ": status " << response.status << ", " << response.body);
        CHECK(response.status == 200);
        CHECK(response.body.starts_with("ran " + id + " at p2"));
        repeated += answered->contains(id) ? 1 : 0;
    }
    CHECK(repeated > 0);
}

TEST_CASE("A broken response of a target to a sidecar is no answer", "[whole-answer][broken-response]")
{
    ClusterOptions options;
    options.entries = 1;
    options.targets = {{}, {.kind = "service", .group = "licences"}};
    options.settings = R"({"timings": {"instancesPollMs": 200}, "link": {"heartbeatMs": 300}})";
    Cluster cluster(options);
    REQUIRE(cluster.start(defaultRecords()));
    const auto answered = std::make_shared<AnsweredRequests>();
    int requests = 0;
    for (const BrokenResponse &broken : brokenResponses) {
        ++requests;
        const std::vector<std::pair<std::size_t, Call>> calls{
            {0, chatCall("household file " + std::to_string(requests), 4)},
            {1, lookupCall("/status/" + std::to_string(requests))},
            {1, postingCall("/fees/x", "key-" + std::to_string(requests), "fee")},
        };
        for (const auto &[sidecar, planned] : calls) {
            Relay &relay = *cluster.sidecars[sidecar].targetRelay;
            const char *type = sidecar == 0 ? "text/event-stream" : "text/plain";
            relay.respondWith([&broken, answered, type](const std::string &head) {
                answered->add(headerOf(head, "X-Request-Id"));
                return bytesOf(broken, headerOf(head, "X-Request-Id"), type);
            });
            Call call = planned;
            call.timeout = milliseconds(8000);
            const CallerRecord record = sendOnce(cluster.entries[0].callers, "bureau", call);
            INFO(broken.what << " on " << call.target << ": status " << record.response.status << ", " << record.response.error << "\n"
                             << record.response.body);
            CHECK(answered->contains(record.response.headers.at("x-request-id")));
            CHECK(record.response.complete);
            CHECK(record.response.status >= 500);
            CHECK(record.response.status <= 504);
            CHECK(record.response.body.find(brokenBody) == std::string::npos);
        }
    }
}

// Guards against an order that the engine took being reported as refused.
TEST_CASE("A broken response of an engine to an order leaves its outcome to the engine's state", "[engine-orders][broken-response]")
{
    constexpr milliseconds callTimeout{2000};
    const std::string holder = "holder";
    const std::string orderId = "order-1";
    ClusterOptions options;
    options.entries = 1;
    options.targets = {{}};
    options.settings = R"({"timings": {"instancesPollMs": 200}, "link": {"heartbeatMs": 300}})";
    Cluster cluster(options);
    REQUIRE(cluster.start(defaultRecords()));
    const Endpoint sidecar = cluster.sidecars[0].link;
    const auto callSidecar = [&](const std::string &method, const Json::Value &params) {
        Reason reason;
        return callOverLink(holder, sidecar, method, params, callTimeout, reason);
    };
    cluster.sidecars[0].targetRelay->respondWith([&orderId](const std::string &head) {
        if (head.starts_with("POST /orders")) {
            return bytesOf(brokenResponses.front(), "", "text/plain");
        }
        const std::string state = R"({"role": "decode", "changing": false, "lastFence": 10, "lastOrderId": ")" + orderId + "\"}";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(state.size()) + "\r\n\r\n" + state;
    });
    Json::Value grantRequest;
    grantRequest["instance"] = holder;
    grantRequest["incarnation"] = 1;
    grantRequest["fence"] = 10;
    std::optional<Json::Value> grant;
    REQUIRE(waitUntil([&] {
        grant = callSidecar("grant.request", grantRequest);
        return grant.has_value();
    }));
    Json::Value order;
    order["orderId"] = orderId;
    order["grant"] = (*grant)["grant"];
    order["kind"] = "role";
    order["role"] = "decode";
    REQUIRE(callSidecar("order.run", order));
    std::optional<Json::Value> progress;
    CHECK(waitUntil([&] {
        progress = callSidecar("order.state", order);
        return progress && (*progress)["final"].asBool();
    }));
    INFO((progress ? writeJson(*progress) : std::string("no state")));
    CHECK((progress && (*progress)["state"] == "done"));
}
