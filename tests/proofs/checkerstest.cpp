#include "support/checkers.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

/** Events from JSON texts. */
Journal journalOf(const std::vector<std::string> &lines)
{
    Journal journal;
    for (const std::string &line : lines) {
        journal.push_back(parseJson(line).value());
    }
    return journal;
}

struct JournalCase
{
    const char *what;
    std::vector<std::string> journal;
    bool valid;
};

void checkAll(const std::vector<JournalCase> &cases, const std::function<Violations(const Journal &)> &checker)
{
    for (const JournalCase &c : cases) {
        INFO(c.what);
        CHECK(checker(journalOf(c.journal)).empty() == c.valid);
    }
}

CallerRecord caller(const std::string &requestId, unsigned status, const std::string &type, const std::string &body)
{
    CallerRecord record;
    record.workspace = "bureau";
    record.call.target = "/status/1";
    record.response.complete = true;
    record.response.status = status;
    record.response.headers = {{"x-request-id", requestId}, {"content-type", type}};
    record.response.body = body;
    return record;
}

CallerRecord refused(const std::string &requestId, const std::string &outcome)
{
    return caller(requestId, 503, "application/problem+json", R"({"outcome":")" + outcome + "\"}");
}

const std::string chatBody = R"({"messages":[{"role":"user","content":"hello there"}],"max_tokens":3,"stream":true})";

std::string chunk(const std::string &text)
{
    return R"(data: {"choices":[{"delta":{"content":")" + text + "\"},\"finish_reason\":null}]}\n\n";
}

const std::string chatEnd = R"(data: {"choices":[{"delta":{},"finish_reason":"length"}],"usage":{"prompt_tokens":2,"completion_tokens":3}})"
                            "\n\ndata: [DONE]\n\n";

CallerRecord chat(const std::string &body)
{
    CallerRecord record = caller("r1", 200, "text/event-stream", body);
    record.call.body = chatBody;
    return record;
}

} // namespace

TEST_CASE("The checker for repeated runs reports them", "[checkers]")
{
    const std::string first = R"({"event":"run","method":"POST","path":"/fees","requestId":"r1","idempotencyKey":"k","headers":{"x-workspace":"a"}})";
    const std::string again = R"({"event":"run","method":"POST","path":"/fees","requestId":"r2","idempotencyKey":"k","headers":{"x-workspace":"a"}})";
    const std::string other = R"({"event":"run","method":"POST","path":"/fees","requestId":"r3","idempotencyKey":"k","headers":{"x-workspace":"b"}})";
    const std::string keyless = R"({"event":"run","method":"POST","path":"/fees","requestId":"r4","idempotencyKey":"","headers":{}})";
    const std::string lookup = R"({"event":"run","method":"GET","path":"/fees","requestId":"r5","idempotencyKey":"","headers":{}})";
    const std::string received = R"({"event":"received","method":"POST","path":"/fees","requestId":"r1","idempotencyKey":"k","headers":{"x-workspace":"a"}})";
    checkAll({{"nothing ran", {}, true},
              {"each once", {received, first, keyless}, true},
              {"same key, other workspace", {first, other}, true},
              {"a lookup repeated", {lookup, lookup}, true},
              {"same key again", {first, again}, false},
              {"same request id again", {keyless, keyless}, false}},
             [](const Journal &journal) {
                 return noRequestRunTwice(journal, "/fees");
             });
}

TEST_CASE("The checker for refusals reports those of requests that ran", "[checkers]")
{
    struct Case
    {
        const char *what;
        CallerRecord caller;
        std::vector<std::string> journal;
        bool valid;
    };
    const std::string run = R"({"event":"run","requestId":"r1"})";
    const std::string generation = R"({"event":"received","requestId":"r1","resumeTokens":0,"refused":false})";
    const std::string refusedByEngine = R"({"event":"received","requestId":"r1","resumeTokens":0,"refused":true})";
    const std::vector<Case> cases{
        {"true", refused("r1", "not_run"), {}, true},
        {"another ran", refused("r2", "not_run"), {run}, true},
        {"outcome unknown does not exclude a run", refused("r1", "outcome_unknown"), {run}, true},
        {"the engine refused it itself", refused("r1", "not_run"), {refusedByEngine}, true},
        {"ran on a service", refused("r1", "not_run"), {run}, false},
        {"ran on an engine", refused("r1", "not_run"), {generation}, false},
        {"without request id", refused("", "not_run"), {}, false},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        CHECK(refusedRequestsDidNotRun({c.caller}, journalOf(c.journal)).empty() == c.valid);
    }
}

TEST_CASE("The checker for complete responses reports truncated, swapped and duplicated ones", "[checkers]")
{
    const std::string t0 = chunk("w8fb319 ");
    const std::string t1 = chunk("w8fb31a ");
    const std::string t2 = chunk("w8fb31b ");
    CallerRecord brokenOff = chat(t0 + t1);
    brokenOff.response.complete = false;
    CallerRecord lost = brokenOff;
    lost.mayBeLost = true;
    CallerRecord echo = caller("r1", 200, "application/json", R"({"echo":"","path":"/status/1"})");
    CallerRecord crossed = caller("r1", 200, "application/json", R"({"echo":"","path":"/status/2"})");
    struct Case
    {
        const char *what;
        CallerRecord caller;
        bool valid;
    };
    const std::vector<Case> cases{
        {"whole", chat(t0 + t1 + t2 + chatEnd), true},
        {"refused", refused("r1", "not_run"), true},
        {"its entry was killed", lost, true},
        {"own echo", echo, true},
        {"token missing", chat(t0 + t2 + chatEnd), false},
        {"token twice", chat(t0 + t1 + t1 + t2 + chatEnd), false},
        {"tokens swapped", chat(t0 + t2 + t1 + chatEnd), false},
        {"no end", chat(t0 + t1 + t2), false},
        {"connection closed", brokenOff, false},
        {"echo of another request", crossed, false},
        {"error without outcome", caller("r1", 500, "text/plain", "oops"), false},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        CHECK(responsesComplete({c.caller}).empty() == c.valid);
    }
}

TEST_CASE("The checker for engine orders reports conflicting ones", "[checkers]")
{
    const auto order = [](const std::string &engine, const std::string &id, int fencingToken, bool accepted, const std::string &error) {
        return R"({"event":"order","standIn":")" + engine + R"(","orderId":")" + id + R"(","fence":)" + std::to_string(fencingToken) + R"(,"accepted":)"
            + (accepted ? "true" : "false") + R"(,"error":")" + error + "\"}";
    };
    checkAll({{"fencing tokens increase", {order("e1", "a", 1, true, ""), order("e1", "b", 2, true, "")}, true},
              {"one holder continues", {order("e1", "a", 2, true, ""), order("e1", "b", 2, true, "")}, true},
              {"fencing tokens are separate for each engine", {order("e1", "a", 2, true, ""), order("e2", "b", 1, true, "")}, true},
              {"an order with an old token refused by the engine", {order("e1", "a", 2, true, ""), order("e1", "b", 1, false, "old fence")}, true},
              {"an order with an old token accepted", {order("e1", "a", 2, true, ""), order("e1", "b", 1, true, "")}, false},
              {"the same order twice", {order("e1", "a", 2, true, ""), order("e1", "a", 2, true, "")}, false},
              {"order during a role change", {order("e1", "a", 2, true, ""), order("e1", "b", 2, false, "changing")}, false}},
             noConflictingEngineOrders);
    checkAll({{"idle engine", {R"({"event":"order","accepted":true,"running":0,"orderId":"a","standIn":"e1","t":1})"}, true},
              {"refused order", {R"({"event":"order","accepted":false,"running":1,"orderId":"a","standIn":"e1","t":1})"}, true},
              {"running request", {R"({"event":"order","accepted":true,"running":1,"orderId":"a","standIn":"e1","t":1})"}, false},
              {"interrupted generation", {R"({"event":"ended","how":"cut","requestId":"r1","standIn":"e1","t":1})"}, false}},
             ordersInterruptNoRequest);
}

TEST_CASE("The checker for platform orders reports two holders", "[checkers]")
{
    const auto start = [](const std::string &domain, const std::string &holder, int epoch) {
        return R"({"event":"target-start","orderId":"o","failureDomain":")" + domain + R"(","holder":")" + holder + R"(","epoch":)" + std::to_string(epoch)
            + "}";
    };
    const std::string stop = R"({"event":"target-stop","orderId":"o","instance":"i1","holder":"x","epoch":1})";
    const std::string unknown = R"({"event":"target-stop","orderId":"o","instance":"i2","holder":"x","epoch":1})";
    checkAll({{"handed over", {start("a", "x", 1), start("a", "y", 2)}, true},
              {"by domain", {start("a", "x", 2), start("b", "y", 1)}, true},
              {"stop under the same epoch", {start("a", "x", 1), stop}, true},
              {"old holder after new", {start("a", "x", 1), start("a", "y", 2), start("a", "x", 1)}, false},
              {"stop by the old holder", {start("a", "y", 2), stop}, false},
              {"one epoch, two holders", {start("a", "x", 1), start("a", "y", 1)}, false},
              {"unknown domain", {unknown}, false}},
             [](const Journal &journal) {
                 return platformOrdersFromOneHolder(journal, {{"i1", "a"}});
             });
}

TEST_CASE("The checker for usage reports finds differing counts and two holders", "[checkers]")
{
    const auto usage = [](const std::string &workspace, int window, int requests, const std::string &holder, int epoch) {
        return R"({"event":"usage","workspace":")" + workspace + R"(","window":)" + std::to_string(window) + R"(,"requests":)" + std::to_string(requests)
            + R"(,"promptTokens":1,"outputTokens":2,"holder":")" + holder + R"(","epoch":)" + std::to_string(epoch) + "}";
    };
    checkAll({{"once", {usage("a", 1, 5, "x", 1), usage("a", 2, 6, "x", 1), usage("b", 1, 7, "x", 1)}, true},
              {"repeated unchanged by the next holder", {usage("a", 1, 5, "x", 1), usage("a", 1, 5, "y", 2)}, true},
              {"differing", {usage("a", 1, 5, "x", 1), usage("a", 1, 6, "x", 1)}, false},
              {"old holder after new", {usage("a", 1, 5, "y", 2), usage("a", 2, 5, "x", 1)}, false},
              {"one epoch, two holders", {usage("a", 1, 5, "x", 1), usage("a", 2, 5, "y", 1)}, false}},
             usageOncePerWindow);
}

TEST_CASE("The checker for keys reports leaks, wrong workspaces and withdrawn keys", "[checkers]")
{
    const std::string own = R"({"event":"run","requestId":"r1","headers":{"x-workspace":"bureau"}})";
    const std::string foreign = R"({"event":"run","requestId":"r1","headers":{"x-workspace":"kaspiy"}})";
    const std::string leak = R"({"event":"received","requestId":"r1","headers":{"x-workspace":"bureau","authorization":"Bearer s3cret"}})";
    CallerRecord served = caller("r1", 200, "application/json", "{}");
    CallerRecord withdrawnServed = served;
    withdrawnServed.keyWithdrawn = true;
    CallerRecord withdrawnRefused = refused("r1", "rejected");
    withdrawnRefused.keyWithdrawn = true;
    struct Case
    {
        const char *what;
        CallerRecord caller;
        std::vector<std::string> journal;
        bool valid;
    };
    const std::vector<Case> cases{
        {"own workspace", served, {own}, true},
        {"withdrawn and refused", withdrawnRefused, {}, true},
        {"foreign workspace", served, {foreign}, false},
        {"key seen", served, {leak, own}, false},
        {"withdrawn and served", withdrawnServed, {}, false},
        {"withdrawn and refused, but ran", withdrawnRefused, {own}, false},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        CHECK(keysIsolated({c.caller}, journalOf(c.journal), {"s3cret"}).empty() == c.valid);
    }
}

TEST_CASE("The checker for leaving targets reports late work", "[checkers]")
{
    checkAll({{"before", {R"({"event":"received","standIn":"t1","t":1000})"}, true},
              {"within the time limit", {R"({"event":"received","standIn":"t1","t":5900})"}, true},
              {"another target", {R"({"event":"received","standIn":"t2","t":9000})"}, true},
              {"a response after the time limit", {R"({"event":"answered","standIn":"t1","t":9000})"}, true},
              {"late", {R"({"event":"received","standIn":"t1","t":6100})"}, false}},
             [](const Journal &journal) {
                 return drainingTargetGetsNoNewWork(journal, "t1", TimePoint(milliseconds(2000)), milliseconds(4000));
             });
}

TEST_CASE("The checkers for configuration report reverts and late activation", "[checkers]")
{
    const auto at = [](const std::string &process, int ms, Offset offset) {
        return ConfigObservation{process, TimePoint(milliseconds(ms)), offset};
    };
    struct Case
    {
        const char *what;
        std::vector<ConfigObservation> observations;
        bool steady;
        bool inTime; //!< offset 5, published at 1000 ms, within 4000 ms
    };
    const std::vector<Case> cases{
        {"reached", {at("a", 1000, 4), at("a", 2000, 5), at("b", 4900, 7)}, true, true},
        {"late", {at("a", 2000, 5), at("b", 4900, 4), at("b", 5100, 5)}, true, false},
        {"never", {at("a", 2000, 4)}, true, false},
        {"reverted", {at("a", 1500, 6), at("a", 2000, 5)}, false, true},
        {"no process observed", {}, true, false},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        CHECK(configNeverReverts(c.observations).empty() == c.steady);
        CHECK(configAppliedWithin(c.observations, 5, TimePoint(milliseconds(1000)), milliseconds(4000)).empty() == c.inTime);
    }
}
