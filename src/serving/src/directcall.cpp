#include "directexchange.h"

#include <platform/messages.h>
#include <process/metrics.h>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds returnSoon{100}; // after a target refused: others, or the same a little later, may take it
constexpr milliseconds minHang{500}; // a repeatable call is given up on a silent target after this, or after some goals
constexpr int hangGoals = 3;
constexpr milliseconds unsafeMaxIdle{1000}; // longer idle connections may have been dropped unnoticed, and a lost call can't be repeated
constexpr std::uint32_t maxUnsent = 3; // targets that can't be reached before a request is refused
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned misdirected = 421;
constexpr unsigned firstServerError = 500;

/** A target's whole answer, held until it is decided whether another target is asked. */
struct HeldAnswer
{
    TargetResponse head;
    std::string body;
};

/** State of the tries of one call. */
struct CallProgress
{
    std::optional<HeldAnswer> answer; //!< the best so far
    std::uint32_t unsent = 0;
    bool refusedByTarget = false;
    Reason reason;
};

bool isWhole(const TargetResponse &answer)
{
    return !answer.contentEncoded && (answer.hasSignature || answer.status >= 300);
}

/** Takes what one target answered; true if the call is decided. */
asio::awaitable<bool> takeAnswer(DirectRequest &request, DirectExchange &exchange, CallProgress &progress)
{
    noteAlive(request, exchange);
    ++request.sends;
    if (exchange.answer.notRun) {
        const bool replaced = exchange.answer.status == misdirected;
        if (replaced) {
            request.context.targets.noteReplaced(exchange.target);
        }
        progress.refusedByTarget = true;
        progress.reason = {Step::RunOnTarget, exchange.target.id, "the target refused with " + std::to_string(exchange.answer.status)};
        logRequest(request, Level::Warning, "not run by the target", {{"target", exchange.target.id}, {"status", exchange.answer.status}});
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
    if (!body || !isWhole(exchange.answer)) {
        if (body) {
            progress.reason = {Step::RunOnTarget, exchange.target.id, "the answer is not the target's own"};
        }
        abortExchange(request, exchange);
        noteTargetFailure(request, exchange.target, SendResult::Unknown, progress.reason);
        co_return false;
    }
    request.context.usage.count(request.workspace);
    request.context.crashes.noteHarmless(request.fingerprint);
    const TargetResponse head = exchange.answer;
    finishExchange(request, exchange);
    if (promisesNotRun(head.status)) {
        progress.reason = {Step::RunOnTarget, exchange.target.id, "the target failed with " + std::to_string(head.status)};
        co_return false;
    }
    progress.answer = HeldAnswer{head, std::move(*body)};
    co_return head.status < firstServerError;
}

/** One try at one target; true if the call is decided. */
asio::awaitable<bool> tryTarget(DirectRequest &request, const PlacedCall &placed, CallProgress &progress)
{
    const bool repeatable = mayRepeat(*request.route);
    TargetRequestHeaders headers;
    headers.targetId = placed.run.target.id;
    headers.workspace = request.workspace;
    headers.remaining = timeLeft(request);
    ExchangeBounds bounds;
    bounds.head = timeLeft(request);
    if (repeatable) {
        bounds.head = std::min(bounds.head, std::max(minHang, hangGoals * request.route->goal));
    } else {
        bounds.maxIdle = unsafeMaxIdle;
    }
    DirectExchange exchange;
    const SendResult result
        = co_await sendToTarget(request, placed.run.target, platform::targetRequest(request.caller, headers), bounds, exchange, progress.reason);
    if (result == SendResult::Answered) {
        co_return co_await takeAnswer(request, exchange, progress);
    }
    if (result == SendResult::NotSent) {
        ++progress.unsent;
    } else {
        ++request.sends;
        request.mayHaveRun = true;
        request.context.crashes.noteLoss(request.fingerprint, Clock::now());
    }
    noteTargetFailure(request, placed.run.target, result, progress.reason);
    co_return false;
}

/** Whether another target may be asked after one that did not decide the call. */
bool mayTryAgain(DirectRequest &request, const CallProgress &progress, std::uint32_t sendsBefore)
{
    if (isOver(request) || request.exchange.gone() || progress.unsent > maxUnsent) {
        return false;
    }
    if (request.sends == sendsBefore) {
        return true; // nothing arrived anywhere, so nothing is repeated
    }
    if (request.sends >= request.route->maxAttempts || (request.mayHaveRun && !mayRepeat(*request.route))) {
        return false;
    }
    const bool granted = request.context.budgets.take(request.group->name);
    processMetrics().count(Counter::Retries, {granted ? "granted" : "no_budget"});
    logRequest(request, Level::Info, granted ? "repeated at another target" : "not repeated, the budget is used up", {{"detail", progress.reason.detail}});
    return granted;
}

asio::awaitable<void> deliver(DirectRequest &request, HeldAnswer answer)
{
    const unsigned status = answer.head.status;
    const bool sent = co_await request.exchange.respond(status, std::move(answer.head.headers), std::move(answer.body));
    noteOutcome(request, sent ? "complete" : "caller_left", status);
}

} // namespace

asio::awaitable<void> serveCall(DirectRequest &request)
{
    CallProgress progress;
    bool decided = false;
    while (!decided) {
        const std::uint32_t sendsBefore = request.sends;
        const auto placed
            = request.context.targets.placeCall(request.group->name, request.tried, request.fingerprint + request.sends, Clock::now(), progress.reason);
        if (!placed) {
            break;
        }
        request.tried.push_back(placed->run.target.id);
        decided = co_await tryTarget(request, *placed, progress);
        request.context.targets.end(placed->run, Clock::now());
        if (!decided && !mayTryAgain(request, progress, sendsBefore)) {
            break;
        }
    }
    if (request.exchange.gone()) {
        noteOutcome(request, "caller_left", 0);
    } else if (progress.answer) {
        co_await deliver(request, std::move(*progress.answer));
    } else if (isOver(request)) {
        const DirectRefusal refusal = timeoutRefusal(request);
        co_await refuse(request, refusal);
    } else {
        const DirectRefusal refusal{request.mayHaveRun ? badGateway : unavailable, progress.reason, returnSoon};
        co_await refuse(request, refusal);
    }
}

} // namespace snipehill
