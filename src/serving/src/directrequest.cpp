#include "directrequest.h"

#include "directquota.h"

#include <platform/messages.h>
#include <process/metrics.h>
#include <request/estimate.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds noConfigurationRetry{500}; // about the time an entry needs to load its configuration at startup
constexpr milliseconds minRetryTime{20}; // a connect and a response of another target take about as long
constexpr milliseconds drainRetryAfter{100}; // another entry serves the request at once
constexpr milliseconds tokenTime{10}; // per output token on a loaded engine, whose steps take 6 ms and more
constexpr std::uint64_t maxExpectedTokens = 1000000; // far beyond any output; keeps the expected time within the range of its type
constexpr unsigned badRequest = 400;
constexpr unsigned unauthorized = 401;
constexpr unsigned notFound = 404;
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gatewayTimeout = 504;

std::string formatSeconds(milliseconds time)
{
    std::string text = std::to_string(static_cast<double>(time.count()) / 1000);
    return text.substr(0, text.find('.') + 4);
}

/** Adds a random delay of up to half of the time, so that callers refused together do not all retry at once. */
milliseconds addJitter(milliseconds time)
{
    static thread_local std::minstd_rand generator(std::random_device{}());
    return time + milliseconds(std::uniform_int_distribution<milliseconds::rep>(0, time.count() / 2)(generator));
}

} // namespace

bool promisesNotRun(unsigned status) noexcept
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

milliseconds timeUntil(TimePoint end, TimePoint now) noexcept
{
    return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(end - now));
}

milliseconds remainingTime(const DirectRequest &request) noexcept
{
    return timeUntil(request.deadline, Clock::now());
}

bool hasTimedOut(const DirectRequest &request) noexcept
{
    return Clock::now() >= request.deadline;
}

bool hasTimeForRetry(const DirectRequest &request) noexcept
{
    return Clock::now() + minRetryTime <= request.deadline;
}

void logRequest(const DirectRequest &request, LogLevel level, std::string_view message, LogFields fields)
{
    logRequestEvent(LogComponent::Entry, level, message, request.caller.id, std::move(fields));
}

void recordOutcome(const DirectRequest &request, std::string_view outcome, unsigned status)
{
    const Duration took = Clock::now() - request.received;
    const std::string_view route = request.route ? std::string_view(request.route->name) : "none";
    processMetrics().count(Counter::Requests, {request.workspace, route, outcome});
    processMetrics().observe(Timing::Request, {route}, took);
    const LogLevel level = status < 500 && outcome != "cut" ? LogLevel::Info : LogLevel::Warning;
    logRequest(request,
               level,
               "request ended",
               {{"outcome", outcome},
                {"status", status},
                {"route", route},
                {"workspace", request.workspace},
                {"sends", request.sendCount},
                {"tookMs", std::chrono::duration_cast<milliseconds>(took).count()}});
}

asio::awaitable<void> refuse(DirectRequest &request, DirectRefusal refusal)
{
    if (request.mayHaveRun) {
        refusal.status = promisesNotRun(refusal.status) ? badGateway : refusal.status;
        refusal.retryAfter = milliseconds(0);
    }
    HeaderList headers = platform::generatedResponseHeaders(request.caller.id);
    headers.emplace_back("Content-Type", "application/problem+json");
    if (refusal.retryAfter.count() > 0) {
        headers.emplace_back("Retry-After", formatSeconds(addJitter(refusal.retryAfter)));
    }
    const char *outcome = refusal.status < 500 ? "rejected" : promisesNotRun(refusal.status) ? "not_run" : "outcome_unknown";
    processMetrics().count(Counter::Refusals, {outcome, toString(refusal.reason.step)});
    logRequest(request,
               LogLevel::Warning,
               "refused",
               {{"status", refusal.status},
                {"step", toString(refusal.reason.step)},
                {"peer", refusal.reason.peer},
                {"detail", refusal.reason.detail},
                {"retryAfterMs", refusal.retryAfter.count()},
                {"configVersion", request.routing ? request.routing->version : 0}});
    std::string body = std::string(R"({"outcome":")") + outcome + R"(","step":")" + toString(refusal.reason.step) + "\"";
    body += refusal.explanation.empty() ? "}" : R"(,"detail":")" + refusal.explanation + "\"}";
    co_await request.exchange.respond(refusal.status, std::move(headers), std::move(body));
    recordOutcome(request, outcome, refusal.status);
}

milliseconds retryAfterNoTarget(const DirectRequest &request, milliseconds usual)
{
    const auto pause = request.context.targets.shortestPause(request.group->name, Clock::now());
    return pause ? std::max(usual, std::chrono::ceil<milliseconds>(*pause)) : usual;
}

DirectRefusal timeoutRefusal(const DirectRequest &request)
{
    return {request.mayHaveRun ? gatewayTimeout : unavailable, {Step::RunOnTarget, "", "the time for an answer is up"}, milliseconds(0)};
}

namespace
{

/** Refusal for an unknown route or key: a 4xx if the configuration is known to be recent, else 503, as it may be new. */
DirectRefusal unknownRefusal(const DirectRequest &request, unsigned status, const char *detail)
{
    const bool recent = request.context.routing.age(Clock::now()) < request.context.settings.configTimeout;
    if (recent) {
        return {status, {Step::Config, "", detail}, milliseconds(0)};
    }
    return {unavailable, {Step::Config, "", "the configuration in force is not known to be recent"}, noConfigurationRetry};
}

std::optional<DirectRefusal> findRouteAndKey(DirectRequest &request)
{
    request.route = findRoute(*request.routing, request.caller.host, request.caller.path);
    if (!request.route) {
        return unknownRefusal(request, notFound, "no route");
    }
    request.priority = request.route->priority;
    if (!request.route->open && request.routing->requiresKeys) {
        const WorkspaceRule *workspace = findWorkspace(*request.routing, request.caller.apiKey);
        if (!workspace) {
            return unknownRefusal(request, unauthorized, "the key is not in force");
        }
        request.workspace = workspace->name;
        request.priority = workspace->priority.value_or(request.priority);
        request.quota = workspace->quota ? &*workspace->quota : nullptr;
    }
    return std::nullopt;
}

/** Keeps a request in the list of active ones while it is served. */
class ActiveRegistration
{
public:
    ActiveRegistration(ActiveRequests &requests, DirectRequest &request)
        : m_requests(requests), m_number(requests.add(request, request.caller.id, request.received))
    {
    }
    ~ActiveRegistration()
    {
        m_requests.remove(m_number);
    }
    ActiveRegistration(const ActiveRegistration &) = delete;
    ActiveRegistration &operator=(const ActiveRegistration &) = delete;

private:
    ActiveRequests &m_requests;
    std::uint64_t m_number;
};

/** Time that a request is expected to take; empty if that can't be told. */
std::optional<Duration> expectedTime(const DirectRequest &request)
{
    if (request.route->kind == RequestKind::Streaming && request.caller.outputTokens == 0) {
        return std::nullopt;
    }
    return request.route->latencyGoal + tokenTime * std::min(request.caller.outputTokens, maxExpectedTokens);
}

/**
 * Refusal of a request that this process, which is about to end, could not serve to its end; empty if it can.
 *
 * Only its time limit bounds a stream, and a stream that has begun can't be answered otherwise when the process ends. The expected time admits calls,
 * which are answered in any case, and streams of callers that a refusal could send to this process again.
 */
std::optional<DirectRefusal> refusalWhileDraining(const DirectRequest &request)
{
    const ActiveRequests &active = request.context.activeRequests;
    const TimePoint latest = active.answerBy();
    if (latest == TimePoint::max()) {
        return std::nullopt;
    }
    const TimePoint now = Clock::now();
    const bool bounded = request.deadline <= latest;
    const std::optional<Duration> expected = expectedTime(request);
    const bool estimated = expected && now + *expected <= latest && (request.route->kind != RequestKind::Streaming || now <= active.rotationEnd());
    const auto untilMs = [now](TimePoint time) {
        return std::chrono::duration_cast<milliseconds>(time - now).count();
    };
    logRequest(request,
               LogLevel::Info,
               "request during a planned stop",
               {{"admitted",
                 bounded         ? "time limit"
                     : estimated ? "expected time"
                                 : "no"},
                {"limitMs", untilMs(request.deadline)},
                {"expectedMs", expected ? untilMs(now + *expected) : -1},
                {"leftMs", untilMs(latest)},
                {"rotationLeftMs", untilMs(active.rotationEnd())}});
    if (bounded || estimated) {
        return std::nullopt;
    }
    return DirectRefusal{unavailable, {Step::Admit, "", "the process ends before the request would"}, drainRetryAfter};
}

void prepare(DirectRequest &request)
{
    thread_local std::minstd_rand generator(std::random_device{}());
    const std::string &group = drawGroup(*request.route, std::uniform_real_distribution<double>(0, 1)(generator));
    const auto known = request.routing->groups.find(group);
    static const GroupRule noGroup;
    request.group = known == request.routing->groups.end() ? &noGroup : &known->second;
    request.deadline = request.received + std::min(request.caller.deadline.value_or(request.route->timeout), request.route->timeout);
    request.fingerprint = fingerprintOf(request.caller.body, fingerprintOf(request.workspace, fingerprintOf(request.caller.target)));
    request.causes.push_back(request.fingerprint);
    for (std::size_t i = 0; i + 1 < request.caller.promptParts.size(); ++i) {
        request.causes.push_back(request.caller.promptParts[i].hash);
    }
    std::sort(request.causes.begin(), request.causes.end());
    request.causes.erase(std::unique(request.causes.begin(), request.causes.end()), request.causes.end());
    request.context.budgets.recordRequest(request.group->name);
}

} // namespace

const char *toString(RetryDenial denial) noexcept
{
    switch (denial) {
    case RetryDenial::None:
        return "granted";
    case RetryDenial::DeadlinePassed:
        return "deadline";
    case RetryDenial::CallerLeft:
        return "caller_left";
    case RetryDenial::PlacementsUsed:
        return "placements";
    case RetryDenial::AttemptsUsed:
        return "attempts";
    case RetryDenial::CrashSuspect:
        return "crash_suspect";
    case RetryDenial::MustNotRepeat:
        return "not_repeatable";
    case RetryDenial::NoBudget:
        return "no_budget";
    case RetryDenial::NoTarget:
        return "no_target";
    }
    return "";
}

std::string partNames(const DirectRequest &request, const std::vector<CrashCause> &causes)
{
    std::string names;
    for (const PromptPart &part : request.caller.promptParts) {
        if (std::find(causes.begin(), causes.end(), part.hash) != causes.end()) {
            names += (names.empty() ? "" : ",") + part.name;
        }
    }
    return names;
}

namespace
{

/** Refusal for a request with blocked causes. */
DirectRefusal refuseBlocked(const DirectRequest &request, const CrashBlock &block)
{
    processMetrics().count(Counter::CrashRefusals, {request.workspace});
    logRequest(
        request, LogLevel::Warning, "blocked", {{"causes", toString(block.causes)}, {"parts", partNames(request, block.causes)}, {"lostRuns", block.lostRuns}});
    return DirectRefusal{.status = unavailable,
                         .reason = {Step::Admit, "", "requests like this crash targets"},
                         .retryAfter = timeUntil(TimePoint() + block.wait, TimePoint()),
                         .explanation = "requests with this content have crashed " + std::to_string(block.lostRuns) + " targets and are not sent to others"};
}

/** Refuses a request with blocked causes, unless it is the one that tries them. */
std::optional<DirectRefusal> admitDespiteCrashes(DirectRequest &request)
{
    const CrashDecision decision = request.context.crashes.admit(request.causes, Clock::now());
    if (decision.block) {
        return refuseBlocked(request, *decision.block);
    }
    request.crashTrial = decision.trial;
    if (decision.trial) {
        logRequest(request, LogLevel::Warning, "tried although blocked", {{"causes", toString(request.causes)}});
    }
    return std::nullopt;
}

} // namespace

std::optional<DirectRefusal> refusalForCrashes(const DirectRequest &request)
{
    const auto block = request.crashTrial ? std::nullopt : request.context.crashes.findBlock(request.causes, Clock::now());
    return block ? std::optional(refuseBlocked(request, *block)) : std::nullopt;
}

bool mayCrashTargets(const DirectRequest &request, bool repeated)
{
    const TimePoint now = Clock::now();
    if (request.crashTrial && !repeated) {
        return false;
    }
    return (repeated && request.context.crashes.isSuspect(request.causes, now)) || request.context.crashes.findBlock(request.causes, now);
}

void endUnanswered(const ActiveRequests &requests)
{
    for (DirectRequest *request : requests.pointers()) {
        if (request->exchange.hasResponseStarted()) {
            continue;
        }
        request->deadline = std::min(request->deadline, Clock::now());
        for (HttpConnection *connection : request->activeConnections) {
            connection->abort();
        }
    }
}

asio::awaitable<void> serveDirect(DirectContext &context, HttpExchange &exchange)
{
    DirectRequest request{.context = context, .exchange = exchange, .routing = context.routing.current(), .received = exchange.received()};
    Reason reason;
    auto caller = platform::parseIncomingRequest(exchange.request(), reason);
    if (!caller) {
        const DirectRefusal refusal{badRequest, reason, milliseconds(0)};
        co_await refuse(request, refusal);
        co_return;
    }
    request.caller = std::move(*caller);
    const ActiveRegistration registration(context.activeRequests, request);
    if (!request.routing) {
        const DirectRefusal refusal{unavailable, {Step::Config, "", "no configuration was read yet"}, noConfigurationRetry};
        co_await refuse(request, refusal);
        co_return;
    }
    if (const auto refusal = findRouteAndKey(request)) {
        co_await refuse(request, *refusal);
        co_return;
    }
    QuotaCharge charge(request);
    if (const auto refusal = charge.take()) {
        co_await refuse(request, *refusal);
        co_return;
    }
    prepare(request);
    if (const auto refusal = refusalWhileDraining(request)) {
        co_await refuse(request, *refusal);
        co_return;
    }
    if (const auto refusal = admitDespiteCrashes(request)) {
        co_await refuse(request, *refusal);
        co_return;
    }
    const bool stream = request.route->kind == RequestKind::Streaming;
    request.deadline = std::min(request.deadline, stream ? context.activeRequests.end() : context.activeRequests.answerBy());
    exchange.onDisconnect([&request] {
        for (HttpConnection *connection : request.activeConnections) {
            connection->abort();
        }
    });
    if (stream) {
        co_await serveStream(request);
    } else {
        co_await serveCall(request);
    }
    if (request.crashTrial) {
        context.crashes.endTrial(request.causes, request.sendCount > 0, Clock::now());
    }
}

} // namespace snipehill
