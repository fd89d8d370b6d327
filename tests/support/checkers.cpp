#include "checkers.h"

#include <algorithm>
#include <cstdio>
#include <set>
#include <utility>

namespace snipehill::support
{

namespace
{

std::string requestIdOf(const Response &response)
{
    const auto found = response.headers.find("x-request-id");
    return found == response.headers.end() ? std::string() : found->second;
}

/** Events in which a service ran or an engine accepted a request. */
Journal acceptedRequests(const Journal &targets)
{
    Journal events = eventsOf(targets, "run");
    for (const Json::Value &event : eventsOf(targets, "received")) {
        if (event.isMember("resumeTokens") && !event["refused"].asBool()) {
            events.push_back(event);
        }
    }
    return events;
}

std::string describeEvent(const Json::Value &event)
{
    return event["standIn"].asString() + " at " + event["t"].asString();
}

bool isProblemResponse(const Response &response)
{
    const auto found = response.headers.find("content-type");
    return found != response.headers.end() && found->second.starts_with("application/problem+json");
}

Violations checkCompletion(const CallerRecord &caller, const Json::Value &body)
{
    const Completion completion = completionOf(caller.response);
    const std::string expected = expectedText(body);
    const std::string id = requestIdOf(caller.response);
    if (completion.text != expected) {
        return {"request " + id + " got unexpected text: " + completion.text + "instead of " + expected};
    }
    if (!completion.ended) {
        return {"the response to request " + id + " has no end"};
    }
    return {};
}

/** Checks that the epochs of one scope never decrease and that each belongs to one holder. */
struct EpochChecker
{
    std::int64_t highest = -1;
    std::map<std::int64_t, std::string> holders;

    void check(const Json::Value &event, const std::string &scope, Violations &violations)
    {
        const std::int64_t epoch = event["epoch"].asInt64();
        const std::string holder = event["holder"].asString();
        if (epoch < highest) {
            violations.push_back(scope + ": " + holder + " acted under epoch " + std::to_string(epoch) + " after " + std::to_string(highest));
        }
        highest = std::max(highest, epoch);
        const auto [known, added] = holders.emplace(epoch, holder);
        if (known->second != holder) {
            violations.push_back(scope + ": epoch " + std::to_string(epoch) + " used by " + known->second + " and " + holder);
        }
    }
};

} // namespace

std::string outcomeOf(const Response &response)
{
    const auto body = isProblemResponse(response) ? parseJson(response.body) : std::nullopt;
    return body && body->isObject() ? (*body)["outcome"].asString() : std::string();
}

double journalTime(TimePoint time)
{
    return std::chrono::duration<double, std::milli>(time.time_since_epoch()).count();
}

Violations noRequestRunTwice(const Journal &targets, const std::string &pathPrefix)
{
    Violations violations;
    std::set<std::string> seen;
    for (const Json::Value &event : eventsOf(targets, "run")) {
        if (event["method"] != "POST" || !event["path"].asString().starts_with(pathPrefix)) {
            continue;
        }
        const bool keyed = !event["idempotencyKey"].asString().empty();
        const std::string identity = keyed ? event["headers"]["x-workspace"].asString() + " key " + event["idempotencyKey"].asString()
                                           : "request " + event["requestId"].asString();
        if (!seen.insert(identity).second) {
            violations.push_back(identity + " ran again on " + describeEvent(event));
        }
    }
    return violations;
}

Violations refusedRequestsDidNotRun(const std::vector<CallerRecord> &callers, const Journal &targets)
{
    std::map<std::string, std::string> accepted;
    for (const Json::Value &event : acceptedRequests(targets)) {
        accepted[event["requestId"].asString()] = describeEvent(event);
    }
    Violations violations;
    for (const CallerRecord &caller : callers) {
        const std::string id = requestIdOf(caller.response);
        if (outcomeOf(caller.response) != "not_run") {
            continue;
        }
        if (id.empty()) {
            violations.push_back("a refusal has no request id: " + caller.response.body);
        } else if (accepted.contains(id)) {
            violations.push_back("request " + id + " was refused as not run but ran on " + accepted[id]);
        }
    }
    return violations;
}

Violations responsesComplete(const std::vector<CallerRecord> &callers)
{
    Violations violations;
    for (const CallerRecord &caller : callers) {
        const Response &response = caller.response;
        if (caller.mayBeLost && !response.complete) {
            continue;
        }
        if (!response.complete) {
            violations.push_back("the response to " + caller.call.target + " is incomplete: " + response.error + ", after "
                                 + std::to_string(response.body.size()) + " bytes, status " + std::to_string(response.status));
            continue;
        }
        if (response.status != 200) {
            if (outcomeOf(response).empty()) {
                violations.push_back("status " + std::to_string(response.status) + " without an outcome: " + response.body);
            }
            continue;
        }
        const auto body = parseJson(caller.call.body);
        if (body && body->isObject() && body->isMember("messages")) {
            const Violations completionViolations = checkCompletion(caller, *body);
            violations.insert(violations.end(), completionViolations.begin(), completionViolations.end());
            continue;
        }
        const auto echoed = parseJson(response.body);
        if (!echoed || (*echoed)["echo"] != caller.call.body || (*echoed)["path"] != caller.call.target) {
            violations.push_back("request " + requestIdOf(response) + " for " + caller.call.target + " got the response to another request: " + response.body);
        }
    }
    return violations;
}

Violations noConflictingEngineOrders(const Journal &engines)
{
    Violations violations;
    std::map<std::string, std::int64_t> fencingTokens;
    std::set<std::pair<std::string, std::string>> ids;
    for (const Json::Value &order : eventsOf(engines, "order")) {
        const std::string engine = order["standIn"].asString();
        if (order["error"] == "changing") {
            violations.push_back("order " + order["orderId"].asString() + " arrived during a change on " + describeEvent(order));
        }
        if (!order["accepted"].asBool()) {
            continue;
        }
        const std::int64_t fencingToken = order["fence"].asInt64();
        const auto [known, first] = fencingTokens.emplace(engine, fencingToken);
        if (fencingToken < known->second) {
            violations.push_back("order with fencing token " + std::to_string(fencingToken) + " after " + std::to_string(known->second) + " on "
                                 + describeEvent(order));
        }
        known->second = std::max(known->second, fencingToken);
        if (!ids.emplace(engine, order["orderId"].asString()).second) {
            violations.push_back("order " + order["orderId"].asString() + " accepted twice by " + describeEvent(order));
        }
    }
    return violations;
}

Violations ordersInterruptNoRequest(const Journal &engines)
{
    Violations violations;
    for (const Json::Value &event : engines) {
        if (event["event"] == "order" && event["accepted"].asBool() && event["running"].asUInt64() > 0) {
            violations.push_back("order " + event["orderId"].asString() + " was accepted while requests were running on " + describeEvent(event));
        }
        if (event["event"] == "ended" && event["how"] == "cut") {
            violations.push_back("request " + event["requestId"].asString() + " was interrupted on " + describeEvent(event));
        }
    }
    return violations;
}

Violations platformOrdersFromOneHolder(const Journal &platform, const std::map<std::string, std::string> &domainOfInstance)
{
    Violations violations;
    std::map<std::string, EpochChecker> epochCheckers;
    for (const Json::Value &event : platform) {
        if (event["event"] != "target-start" && event["event"] != "target-stop") {
            continue;
        }
        std::string domain = event["failureDomain"].asString();
        const auto known = domainOfInstance.find(event["instance"].asString());
        if (domain.empty() && known != domainOfInstance.end()) {
            domain = known->second;
        }
        if (domain.empty()) {
            violations.push_back("unknown failure domain of order " + event["orderId"].asString());
            continue;
        }
        epochCheckers[domain].check(event, domain, violations);
    }
    return violations;
}

Violations usageOncePerWindow(const Journal &platform)
{
    Violations violations;
    EpochChecker epochChecker;
    std::map<std::string, std::string> reported;
    for (const Json::Value &event : eventsOf(platform, "usage")) {
        epochChecker.check(event, "usage", violations);
        const std::string window = event["workspace"].asString() + " window " + event["window"].asString();
        std::string totals = event["requests"].asString() + " requests, ";
        totals += event["promptTokens"].asString() + " + ";
        totals += event["outputTokens"].asString() + " tokens";
        const auto [known, added] = reported.emplace(window, totals);
        if (known->second != totals) {
            std::string violation = window;
            violation.append(" reported as ").append(known->second).append(" and as ").append(totals);
            violations.push_back(std::move(violation));
        }
    }
    return violations;
}

Violations keysIsolated(const std::vector<CallerRecord> &callers, const Journal &targets, const std::vector<std::string> &secrets)
{
    Violations violations;
    for (const Json::Value &event : targets) {
        const std::string text = writeJson(event);
        for (const std::string &secret : secrets) {
            if (text.find(secret) != std::string::npos) {
                violations.push_back("a key reached " + describeEvent(event));
            }
        }
    }
    std::map<std::string, const CallerRecord *> byId;
    for (const CallerRecord &caller : callers) {
        if (caller.keyWithdrawn && outcomeOf(caller.response).empty()) {
            violations.push_back("a withdrawn key was served: " + requestIdOf(caller.response));
        }
        byId[requestIdOf(caller.response)] = &caller;
    }
    for (const Json::Value &event : acceptedRequests(targets)) {
        const auto caller = byId.find(event["requestId"].asString());
        if (caller == byId.end()) {
            continue;
        }
        const std::string workspace = event["headers"]["x-workspace"].asString();
        if (workspace != caller->second->workspace) {
            violations.push_back("request " + caller->first + " of " + caller->second->workspace + " ran for \"" + workspace + "\"");
        }
        if (caller->second->keyWithdrawn) {
            violations.push_back("request " + caller->first + " ran with a withdrawn key");
        }
    }
    return violations;
}

Violations drainingTargetGetsNoNewWork(const Journal &targets, const std::string &standIn, TimePoint drainStarted, milliseconds timeout)
{
    Violations violations;
    for (const Json::Value &event : eventsOf(targets, "received")) {
        if (event["standIn"] == standIn && event["t"].asDouble() > journalTime(drainStarted + timeout)) {
            violations.push_back("request " + event["requestId"].asString() + " reached the draining " + describeEvent(event));
        }
    }
    return violations;
}

Violations configNeverReverts(const std::vector<ConfigObservation> &observations)
{
    Violations violations;
    std::map<std::string, Offset> latest;
    for (const ConfigObservation &seen : observations) {
        const auto [known, first] = latest.emplace(seen.process, seen.offset);
        if (seen.offset < known->second) {
            violations.push_back(seen.process + " went back from " + std::to_string(known->second) + " to " + std::to_string(seen.offset));
        }
        known->second = std::max(known->second, seen.offset);
    }
    return violations;
}

Violations configAppliedWithin(const std::vector<ConfigObservation> &observations, Offset offset, TimePoint published, milliseconds timeout)
{
    std::map<std::string, bool> reached;
    for (const ConfigObservation &seen : observations) {
        reached[seen.process] = reached[seen.process] || (seen.offset >= offset && seen.time <= published + timeout);
    }
    Violations violations;
    for (const auto &[process, inTime] : reached) {
        if (!inTime) {
            violations.push_back(process + " did not reach offset " + std::to_string(offset) + " in time");
        }
    }
    if (reached.empty()) {
        violations.emplace_back("no process was observed");
    }
    return violations;
}

std::string expectedText(const Json::Value &body)
{
    constexpr std::uint64_t offsetBasis = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    constexpr std::uint64_t modulus = 0x1000000; // tokens have six hexadecimal digits
    std::string prompt;
    for (const Json::Value &message : body["messages"]) {
        prompt += (prompt.empty() ? "" : "\n") + message["content"].asString();
    }
    std::uint64_t hash = offsetBasis;
    for (const char character : prompt) {
        hash = (hash ^ static_cast<unsigned char>(character)) * prime;
    }
    std::string text;
    for (std::uint64_t position = 0; position < body.get("max_tokens", 16).asUInt64(); ++position) {
        char token[16];
        std::snprintf(token, sizeof(token), "w%06llx ", static_cast<unsigned long long>((hash + position) % modulus));
        text += token;
    }
    return text;
}

} // namespace snipehill::support
