#include "directexchange.h"

#include <platform/messages.h>
#include <process/metrics.h>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds defaultRetryAfter{100}; // after a refusal: another target, or the same one shortly after, may accept the request
constexpr milliseconds minResponseTimeout{500}; // lower bound of the response timeout for repeatable calls
constexpr int responseTimeoutGoals = 3; // response timeout of repeatable calls as a multiple of the route's goal
constexpr milliseconds nonRepeatableMaxIdle{1000}; // older connections may have been dropped unnoticed, and a lost non-repeatable call cannot be retried
constexpr std::uint32_t maxUnreachableTargets = 3; // unreachable targets tried before a request is refused
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned misdirected = 421;
constexpr unsigned firstServerError = 500;

/** Complete response of a target, kept until it is decided whether to try another target. */
struct BufferedResponse
{
    TargetResponse head;
    std::string body;
};

/** State of the attempts of one call. */
struct CallProgress
{
    std::optional<BufferedResponse> response; //!< latest usable response
    std::uint32_t unreachableTargets = 0;
    bool refusedByTarget = false;
    RetryDenial denial = RetryDenial::None; //!< of the latest retry
    Reason reason;
};

bool isUsableResponse(const TargetResponse &response)
{
    return !response.contentEncoded && (response.hasSignature || response.status >= 300);
}

/** Handles the response of a target; true if the call needs no further attempt. */
asio::awaitable<bool> handleResponse(DirectRequest &request, DirectExchange &exchange, CallProgress &progress)
{
    recordTargetResponse(request, exchange);
    ++request.sendCount;
    if (exchange.response.notRun) {
        const bool replaced = exchange.response.status == misdirected;
        if (replaced) {
            request.context.targets.markReplaced(exchange.target);
        }
        progress.refusedByTarget = true;
        progress.reason = {Step::RunOnTarget, exchange.target.id, "the target refused with " + std::to_string(exchange.response.status)};
        logRequest(request, LogLevel::Warning, "target did not run the request", {{"target", exchange.target.id}, {"status", exchange.response.status}});
        Reason ignored;
        if (co_await readBody(request, exchange, ignored)) {
            finishExchange(request, exchange);
        } else {
            abortExchange(request, exchange);
        }
        co_return false;
    }
    request.mayHaveRun = true;
    auto body = co_await readBody(request, exchange, progress.reason);
    if (!body || !isUsableResponse(exchange.response)) {
        if (body) {
            progress.reason = {Step::RunOnTarget, exchange.target.id, "the answer is not the target's own"};
        }
        abortExchange(request, exchange);
        recordTargetFailure(request, exchange.target, SendResult::OutcomeUnknown, progress.reason);
        co_return false;
    }
    request.context.usage.count(request.workspace);
    request.context.crashes.clearLosses(request.fingerprint);
    const TargetResponse head = exchange.response;
    finishExchange(request, exchange);
    if (promisesNotRun(head.status)) {
        progress.reason = {Step::RunOnTarget, exchange.target.id, "the target failed with " + std::to_string(head.status)};
        co_return false;
    }
    progress.response = BufferedResponse{head, std::move(*body)};
    co_return head.status < firstServerError;
}

/** Makes one attempt at one target; true if the call needs no further attempt. */
asio::awaitable<bool> tryTarget(DirectRequest &request, const PlacedCall &placed, CallProgress &progress)
{
    const bool repeatable = mayRepeat(*request.route);
    TargetRequestHeaders headers;
    headers.targetId = placed.run.target.id;
    headers.workspace = request.workspace;
    headers.remaining = remainingTime(request);
    ExchangeLimits limits;
    limits.headTimeout = remainingTime(request);
    if (repeatable) {
        limits.headTimeout = std::min(limits.headTimeout, std::max(minResponseTimeout, responseTimeoutGoals * request.route->latencyGoal));
    } else {
        limits.maxIdle = nonRepeatableMaxIdle;
    }
    DirectExchange exchange;
    const SendResult result
        = co_await sendToTarget(request, placed.run.target, platform::buildTargetRequest(request.caller, headers), limits, exchange, progress.reason);
    if (result == SendResult::ResponseReceived) {
        co_return co_await handleResponse(request, exchange, progress);
    }
    if (result == SendResult::NotSent) {
        ++progress.unreachableTargets;
    } else {
        ++request.sendCount;
        request.mayHaveRun = true;
        request.context.crashes.recordLoss(request.fingerprint, Clock::now());
    }
    recordTargetFailure(request, placed.run.target, result, progress.reason);
    co_return false;
}

/** Decides whether another target may be tried after an attempt that did not complete the call. */
RetryDenial decideRetry(DirectRequest &request, const CallProgress &progress, std::uint32_t sendsBefore)
{
    if (hasTimedOut(request)) {
        return RetryDenial::DeadlinePassed;
    }
    if (request.exchange.isDisconnected()) {
        return RetryDenial::CallerLeft;
    }
    if (progress.unreachableTargets > maxUnreachableTargets) {
        return RetryDenial::PlacementsUsed;
    }
    if (request.sendCount == sendsBefore) {
        return RetryDenial::None; // no target received the request, so this is not a retry
    }
    if (request.mayHaveRun && !mayRepeat(*request.route)) {
        return RetryDenial::MustNotRepeat;
    }
    if (request.sendCount >= request.route->maxAttempts) {
        return RetryDenial::AttemptsUsed;
    }
    return request.context.budgets.tryConsume(request.group->name) ? RetryDenial::None : RetryDenial::NoBudget;
}

bool mayRetry(DirectRequest &request, CallProgress &progress, std::uint32_t sendsBefore)
{
    progress.denial = decideRetry(request, progress, sendsBefore);
    processMetrics().count(Counter::Retries, {toString(progress.denial)});
    logRequest(request,
               LogLevel::Info,
               progress.denial == RetryDenial::None ? "repeated at another target" : "not retried",
               {{"why", toString(progress.denial)}, {"detail", progress.reason.detail}});
    return progress.denial == RetryDenial::None;
}

asio::awaitable<void> deliver(DirectRequest &request, BufferedResponse response)
{
    const unsigned status = response.head.status;
    const bool sent = co_await request.exchange.respond(status, std::move(response.head.headers), std::move(response.body));
    recordOutcome(request, sent ? "complete" : "caller_left", status);
}

} // namespace

asio::awaitable<void> serveCall(DirectRequest &request)
{
    CallProgress progress;
    bool decided = false;
    while (!decided) {
        const std::uint32_t sendsBefore = request.sendCount;
        const auto placed = request.context.targets.placeCall(
            request.group->name, request.triedTargets, request.fingerprint + request.sendCount, Clock::now(), progress.reason);
        if (!placed) {
            break;
        }
        request.triedTargets.push_back(placed->run.target.id);
        decided = co_await tryTarget(request, *placed, progress);
        request.context.targets.release(placed->run, Clock::now());
        if (!decided && !mayRetry(request, progress, sendsBefore)) {
            break;
        }
    }
    if (request.exchange.isDisconnected()) {
        recordOutcome(request, "caller_left", 0);
    } else if (progress.response) {
        co_await deliver(request, std::move(*progress.response));
    } else if (hasTimedOut(request)) {
        const DirectRefusal refusal = timeoutRefusal(request);
        co_await refuse(request, refusal);
    } else {
        const DirectRefusal refusal{request.mayHaveRun ? badGateway : unavailable, progress.reason, defaultRetryAfter};
        co_await refuse(request, refusal);
    }
}

} // namespace snipehill
