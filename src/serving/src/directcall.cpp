#include "directexchange.h"
#include "handover.h"

#include <platform/messages.h>
#include <process/metrics.h>
#include <request/estimate.h>

#include <boost/asio/this_coro.hpp>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned firstRedirect = 300;
constexpr milliseconds defaultRetryAfter{100}; // after a refusal: another target, or the same one shortly after, may accept the request
constexpr milliseconds memoryRetryAfter{500}; // about the time in which slow callers take some of their responses; other entries may have room at once
constexpr milliseconds minCallPatience{500}; // silence of the target of a repeatable call after which another one is tried, or the longer of
constexpr int callPatienceGoals = 3; // ... this multiple of the route's goal
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
    return !response.contentEncoded && (response.hasSignature || response.status >= firstRedirect);
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
        if (co_await skipBody(request, exchange, ignored)) {
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
        recordFailedExchange(request, exchange, SendResult::OutcomeUnknown, progress.reason);
        co_return false;
    }
    request.context.usage.count(request.workspace);
    if (!exchange.connection->endsWithConnection()) {
        request.context.crashes.recordSound(request.causes, exchange.sent);
    }
    const TargetResponse head = exchange.response;
    finishExchange(request, exchange);
    if (promisesNotRun(head.status)) {
        progress.reason = {Step::RunOnTarget, exchange.target.id, "the target failed with " + std::to_string(head.status)};
        co_return false;
    }
    progress.response = BufferedResponse{head, std::move(*body)};
    co_return head.status < firstServerError;
}

/**
 * Decides whether another target may be tried, and takes the retry from the budget if so.
 *
 * @param sendsBefore sends before the latest attempt
 * @param pendingSends sends in progress, which count like those that have ended
 */
RetryDenial decideRetry(DirectRequest &request, const CallProgress &progress, std::uint32_t sendsBefore, std::uint32_t pendingSends)
{
    if (!hasTimeForRetry(request)) {
        return RetryDenial::DeadlinePassed;
    }
    if (request.exchange.isDisconnected()) {
        return RetryDenial::CallerLeft;
    }
    if (progress.unreachableTargets > maxUnreachableTargets) {
        return RetryDenial::PlacementsUsed;
    }
    const bool repeated = request.sendCount + pendingSends > sendsBefore;
    if (mayCrashTargets(request, repeated)) {
        return RetryDenial::CrashSuspect;
    }
    if (!repeated) {
        return RetryDenial::None; // no target received the request, so this is not a retry
    }
    if ((request.mayHaveRun || pendingSends > 0) && !mayRepeat(*request.route)) {
        return RetryDenial::MustNotRepeat;
    }
    if (request.sendCount + pendingSends >= request.route->maxAttempts) {
        return RetryDenial::AttemptsUsed;
    }
    return request.context.budgets.tryConsume(request.group->name) ? RetryDenial::None : RetryDenial::NoBudget;
}

/** One call with its current target, and the target that may take over if that one is silent. */
struct CallRun
{
    DirectRequest &request;
    CallProgress &progress;
    WorkReservation work; //!< on the current target
    std::optional<WorkReservation> next; //!< on the other target
    DirectExchange exchange{};
    bool silent = false; //!< the current target was silent for so long that another one was tried
};

void releaseNext(CallRun &run)
{
    if (run.next) {
        run.request.context.targets.release(*run.next, Clock::now());
        run.next.reset();
    }
}

/** Sends the call to the target and waits for the head of the response. */
asio::awaitable<SendResult> sendCall(DirectRequest &request, const TargetRef &target, SendPurpose purpose, DirectExchange &exchange, Reason &reason)
{
    TargetRequestHeaders headers;
    headers.targetId = target.id;
    headers.workspace = request.workspace;
    headers.remaining = remainingTime(request);
    ExchangeOptions options{.purpose = purpose};
    options.headTimeout = headers.remaining;
    if (!mayRepeat(*request.route)) {
        options.maxIdle = nonRepeatableMaxIdle;
    }
    const SendResult result = co_await sendToTarget(request, target, platform::buildTargetRequest(request.caller, headers), options, exchange, reason);
    exchange.mayRun = true;
    co_return result;
}

/** Calls of one route take about the same time on a target. */
std::uint64_t kindOf(const DirectRequest &request)
{
    return fingerprintOf(request.route->name);
}

/** Chooses another target for the call of a silent one and takes the retry from the budget; false if that is not possible now. */
bool placeElsewhere(CallRun &run)
{
    DirectRequest &request = run.request;
    releaseNext(run);
    run.progress.denial = decideRetry(request, run.progress, request.sendCount, 1);
    if (run.progress.denial == RetryDenial::None) {
        Reason reason;
        const CallDemand demand{.kind = kindOf(request)};
        const auto placed = request.context.targets.placeCall(
            request.group->name, demand, request.triedTargets, request.fingerprint + request.sendCount, Clock::now(), reason);
        if (placed) {
            run.next = placed->run;
            request.triedTargets.push_back(placed->run.target.id);
        } else {
            request.context.budgets.giveBack(request.group->name);
            run.progress.denial = RetryDenial::NoTarget;
        }
    }
    if (run.next || !run.silent) {
        logRequest(request,
                   LogLevel::Warning,
                   "target is silent",
                   {{"target", run.work.target.id}, {"other", run.next ? run.next->target.id : std::string()}, {"why", toString(run.progress.denial)}});
    }
    return run.next.has_value();
}

/** Asks another target to take over from a silent one; true if it responds without an error of its own. */
asio::awaitable<bool> askOtherTarget(CallRun &run, DirectExchange &next)
{
    DirectRequest &request = run.request;
    const bool placed = placeElsewhere(run);
    if (!run.silent) {
        run.silent = true;
        request.context.targets.recordFailure(run.work.target, Clock::now());
    }
    if (!placed) {
        co_return false;
    }
    processMetrics().count(Counter::Retries, {"silence"});
    Reason reason;
    const SendResult result = co_await sendCall(request, run.next->target, SendPurpose::Takeover, next, reason);
    if (result == SendResult::ResponseReceived && !next.response.notRun && next.response.status < firstServerError) {
        co_return true;
    }
    if (result == SendResult::NotSent) {
        run.progress.unreachableTargets += next.barred ? 0 : 1;
        request.context.budgets.giveBack(request.group->name);
    } else {
        ++request.sendCount;
        request.mayHaveRun = request.mayHaveRun || !next.response.notRun;
    }
    if (result == SendResult::ResponseReceived) {
        recordTargetResponse(request, next);
    } else {
        recordFailedExchange(request, next, result, reason);
    }
    releaseNext(run);
    co_return false;
}

/** Makes the target that has taken over the current one. */
void switchTarget(CallRun &run)
{
    logRequest(run.request, LogLevel::Info, "another target took over", {{"from", run.work.target.id}, {"target", run.next->target.id}});
    run.request.context.targets.release(run.work, Clock::now());
    run.work = *run.next;
    run.next.reset();
}

/** Makes one attempt at one target, or at another one that takes over from it; true if the call needs no further attempt. */
asio::awaitable<bool> tryTarget(CallRun &run, Handover &handover)
{
    DirectRequest &request = run.request;
    CallProgress &progress = run.progress;
    const SendPurpose purpose = request.sendCount == 0 ? SendPurpose::Run : SendPurpose::Retry;
    SendResult result = co_await sendCall(request, run.work.target, purpose, run.exchange, progress.reason);
    const DirectExchange first = endedCopy(run.exchange);
    if ((result != SendResult::ResponseReceived || handover.isAccepted()) && co_await handover.settle()) {
        if (first.result == ConnectionResult::Broken) {
            recordFailedExchange(request, first, result, progress.reason);
        }
        ++request.sendCount; // of the silent target
        request.mayHaveRun = true;
        switchTarget(run);
        result = SendResult::ResponseReceived;
    }
    if (result == SendResult::ResponseReceived) {
        co_await handover.stop();
        const bool decided = co_await handleResponse(request, run.exchange, progress);
        // Errors are sent sooner than results.
        if (decided && progress.response && progress.response->head.status < firstRedirect) {
            request.context.targets.finishCall(run.work, Clock::now());
        }
        co_return decided;
    }
    if (result == SendResult::NotSent) {
        progress.unreachableTargets += run.exchange.barred ? 0 : 1;
    } else {
        ++request.sendCount;
        request.mayHaveRun = true;
    }
    recordFailedExchange(request, run.exchange, result, progress.reason);
    co_return false;
}

/** Silence of the target of a repeatable call after which another target is tried. */
milliseconds callPatience(const RouteRule &route)
{
    return mayRepeat(route) ? std::max(minCallPatience, callPatienceGoals * route.latencyGoal) : milliseconds(0);
}

asio::awaitable<bool> tryPlacement(DirectRequest &request, const PlacedCall &placed, CallProgress &progress)
{
    CallRun run{.request = request, .progress = progress, .work = placed.run};
    Handover handover(co_await asio::this_coro::executor, request, run.exchange, callPatience(*request.route), [&run](DirectExchange &next) {
        return askOtherTarget(run, next);
    });
    bool decided = false;
    std::exception_ptr failure;
    try {
        decided = co_await tryTarget(run, handover);
    } catch (...) {
        failure = std::current_exception();
    }
    // A pending attempt refers to this frame.
    co_await handover.stop();
    releaseNext(run);
    request.context.targets.release(run.work, Clock::now());
    if (failure) {
        std::rethrow_exception(failure);
    }
    co_return decided;
}

bool mayRetry(DirectRequest &request, CallProgress &progress, std::uint32_t sendsBefore)
{
    progress.denial = decideRetry(request, progress, sendsBefore, 0);
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

/** Reserves the memory that the response is expected to take; false if the budget lacks it, so that the request must not be sent. */
bool reserveResponse(DirectRequest &request)
{
    // A share of more than this part would let one response of a route prevent all others.
    constexpr std::size_t largestPart = 2;
    const std::size_t expected = std::min(request.context.answerSizes.expected(request.route->name), request.context.responseMemory.maxBytes() / largestPart);
    if (request.responseMemory.resize(expected)) {
        request.reservedBytes = expected;
        return true;
    }
    processMetrics().count(Counter::MemoryRefusals, {request.route->name});
    logRequest(
        request,
        LogLevel::Warning,
        "no memory for the response",
        {{"expectedBytes", expected}, {"usedBytes", request.context.responseMemory.usedBytes()}, {"maxBytes", request.context.responseMemory.maxBytes()}});
    return false;
}

} // namespace

asio::awaitable<void> serveCall(DirectRequest &request)
{
    if (!reserveResponse(request)) {
        const DirectRefusal refusal{unavailable, {Step::Admit, "", "the memory for answers is used up"}, memoryRetryAfter};
        co_await refuse(request, refusal);
        co_return;
    }
    CallProgress progress;
    milliseconds retryAfter = defaultRetryAfter;
    bool decided = false;
    while (!decided) {
        const std::uint32_t sendsBefore = request.sendCount;
        const CallDemand demand{.kind = kindOf(request), .remaining = request.deadline - Clock::now()};
        const auto placed = request.context.targets.placeCall(
            request.group->name, demand, request.triedTargets, request.fingerprint + request.sendCount, Clock::now(), progress.reason);
        if (!placed) {
            break;
        }
        if (!placed->reserved) {
            progress.reason = {Step::Admit, "", "the response is predicted too late"};
            retryAfter = std::max(retryAfter, std::chrono::ceil<milliseconds>(placed->predicted - demand.remaining));
            logRequest(request,
                       LogLevel::Info,
                       "not placed",
                       {{"predictedMs", std::chrono::duration_cast<milliseconds>(placed->predicted).count()},
                        {"remainingMs", std::chrono::duration_cast<milliseconds>(demand.remaining).count()}});
            break;
        }
        request.triedTargets.push_back(placed->run.target.id);
        decided = co_await tryPlacement(request, *placed, progress);
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
        const DirectRefusal refusal{request.mayHaveRun ? badGateway : unavailable, progress.reason, retryAfterNoTarget(request, retryAfter)};
        co_await refuse(request, refusal);
    }
}

} // namespace snipehill
