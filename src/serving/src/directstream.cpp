#include "directexchange.h"

#include <platform/messages.h>
#include <process/metrics.h>
#include <request/eventstream.h>
#include <request/promptadmission.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds defaultRetryAfter{150}; // after engines failed or refused; a retry reaches other engines
constexpr milliseconds prefillSlack{400}; // added to the timeout of a separate prefill
constexpr int prefillTimeFactor = 3; // timeout of the prefill or the first token, as a multiple of the predicted time
constexpr milliseconds releaseTimeout{1000}; // of the call that frees a KV cache
constexpr int maxSilentGaps = 5; // a resumable stream without events for this many gap goals continues on another engine
constexpr milliseconds minSilenceTimeout{700};
constexpr std::uint32_t maxPlacements = 4; // placements of one request, regardless of remaining time and budget
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned misdirected = 421;
constexpr unsigned statusOk = 200;

/** Outcome of one placement. */
enum class PlacementOutcome {
    Done, //!< the caller has the response or has disconnected; the outcome is recorded
    NotRun, //!< no engine ran it
    Interrupted, //!< an engine may have run it without a complete response
};

/** State of a stream that is forwarded to the caller. */
struct StreamProgress
{
    EventStream events;
    bool headSent = false; //!< the response head was sent to the caller
    bool usageCounted = false; //!< the request was counted in the usage of the workspace
    bool allowDisaggregation = true; //!< prefill may run on a different engine than decode
    TimePoint lastEvent{};
    Duration longestGap{}; //!< between two forwarded events
    RetryDenial denial = RetryDenial::None; //!< of the latest retry
    Reason reason;
};

/** Frees an unused KV cache on an engine. Errors are ignored: the engine frees it after a timeout anyway. */
asio::awaitable<void> releaseKvCache(Endpoint engine, std::string handle)
{
    const HttpRequest request = platform::buildKvReleaseRequest(handle);
    HttpCall call{.peer = engine, .method = request.method(), .target = std::string(request.target()), .timeout = releaseTimeout};
    Reason ignored;
    co_await httpCall(std::move(call), ignored);
}

TargetRequestHeaders headersFor(const DirectRequest &request, const TargetRef &target, const StreamProgress &progress)
{
    TargetRequestHeaders headers;
    headers.targetId = target.id;
    headers.workspace = request.workspace;
    headers.remaining = remainingTime(request);
    headers.urgency = urgencyOf(request.priority, request.caller.promptTokens);
    if (request.route->resumable) {
        headers.lastEventId = progress.events.lastId().empty() ? request.caller.lastEventId : progress.events.lastId();
    }
    return headers;
}

/** Runs the prefill on a separate engine and returns the handle of its KV cache; empty on failure: the request has not run. */
asio::awaitable<std::optional<std::string>> prefillPrompt(DirectRequest &request, const PlacedPrompt &placed, StreamProgress &progress)
{
    const TargetRef &prefillEngine = placed.prefill->target;
    TargetRequestHeaders headers = headersFor(request, prefillEngine, progress);
    headers.prefillOnly = true;
    headers.fetchFrom = placed.fetchFrom ? toString(placed.fetchFrom->endpoint) : std::string();
    ExchangeLimits limits;
    limits.headTimeout = std::min(remainingTime(request), std::chrono::duration_cast<milliseconds>(prefillTimeFactor * placed.firstToken) + prefillSlack);
    DirectExchange exchange;
    const SendResult result
        = co_await sendToTarget(request, prefillEngine, platform::buildTargetRequest(request.caller, headers), limits, exchange, progress.reason);
    request.context.targets.finishPrefill(*placed.prefill, Clock::now());
    if (result != SendResult::ResponseReceived) {
        recordTargetFailure(request, prefillEngine, result, progress.reason);
        co_return std::nullopt;
    }
    recordTargetResponse(request, exchange);
    if (exchange.response.status == misdirected) {
        request.context.targets.markReplaced(prefillEngine);
    }
    const unsigned status = exchange.response.status;
    const auto body = co_await readBody(request, exchange, progress.reason);
    finishExchange(request, exchange);
    if (!body || status != statusOk) {
        request.context.targets.recordPromptRefused(prefillEngine, Clock::now());
        logRequest(request, LogLevel::Warning, "prefill failed", {{"target", prefillEngine.id}, {"status", status}});
        co_return std::nullopt;
    }
    request.context.targets.recordPromptAccepted(prefillEngine);
    auto handle = platform::parseKvHandle(*body, progress.reason);
    if (handle && request.exchange.isDisconnected()) {
        asio::co_spawn(co_await asio::this_coro::executor, releaseKvCache(prefillEngine.endpoint, *handle), asio::detached);
        co_return std::nullopt;
    }
    co_return handle;
}

/** Counts the request in the usage and records the time to the first token, once per request. */
void recordStart(DirectRequest &request, StreamProgress &progress)
{
    if (progress.usageCounted) {
        return;
    }
    progress.usageCounted = true;
    request.context.usage.count(request.workspace);
    processMetrics().observe(Timing::FirstToken, {request.workspace}, Clock::now() - request.received);
}

/** Forwards a response that is not an event stream, if it is usable and no head was sent yet. */
asio::awaitable<PlacementOutcome> forwardPlainResponse(DirectRequest &request, DirectExchange &exchange, StreamProgress &progress)
{
    const unsigned status = exchange.response.status;
    auto body = co_await readBody(request, exchange, progress.reason);
    finishExchange(request, exchange);
    const bool usable = body && !progress.headSent && !promisesNotRun(status) && !exchange.response.contentEncoded
        && (exchange.response.hasSignature || status >= 300);
    if (!usable) {
        progress.reason = {Step::RunOnTarget, exchange.target.id, "the engine answered " + std::to_string(status)};
        co_return PlacementOutcome::Interrupted;
    }
    recordStart(request, progress);
    const bool sent = co_await request.exchange.respond(status, std::move(exchange.response.headers), std::move(*body));
    recordOutcome(request, sent ? "complete" : "caller_left", status);
    co_return PlacementOutcome::Done;
}

milliseconds::rep millisecondsSince(TimePoint time)
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - time).count();
}

/** Updates the longest gap between events. */
void recordGap(StreamProgress &progress, bool event, TimePoint now)
{
    if (!event) {
        return;
    }
    if (progress.lastEvent != TimePoint{}) {
        progress.longestGap = std::max(progress.longestGap, now - progress.lastEvent);
    }
    progress.lastEvent = now;
}

milliseconds eventTimeout(const DirectRequest &request, const StreamProgress &progress)
{
    if (!request.route->resumable || !progress.headSent) {
        return remainingTime(request);
    }
    return std::min(remainingTime(request), std::max(minSilenceTimeout, maxSilentGaps * request.route->eventGapGoal));
}

/** Forwards events to the caller as they arrive. */
asio::awaitable<PlacementOutcome> forwardEvents(DirectRequest &request, DirectExchange &exchange, const PlacedPrompt &placed, StreamProgress &progress)
{
    if (!progress.headSent) {
        progress.headSent = co_await request.exchange.beginStream(exchange.response.status, exchange.response.headers);
    }
    bool first = true;
    while (!request.exchange.isDisconnected()) {
        const auto piece = co_await exchange.connection->readSome(eventTimeout(request, progress), progress.reason);
        if (!piece) {
            abortExchange(request, exchange);
            recordTargetFailure(request, exchange.target, SendResult::OutcomeUnknown, progress.reason);
            if (!request.exchange.isDisconnected()) {
                co_return PlacementOutcome::Interrupted;
            }
            recordOutcome(request, "caller_left", 0);
            co_return PlacementOutcome::Done;
        }
        if (piece->empty()) {
            if (progress.events.hasPartial()) {
                progress.reason = {Step::RunOnTarget, exchange.target.id, "the stream ended within an event"};
                abortExchange(request, exchange);
                recordTargetFailure(request, exchange.target, SendResult::OutcomeUnknown, progress.reason);
                co_return PlacementOutcome::Interrupted;
            }
            finishExchange(request, exchange);
            logRequest(request,
                       LogLevel::Info,
                       "stream complete",
                       {{"target", exchange.target.id},
                        {"events", progress.events.events()},
                        {"longestGapMs", std::chrono::duration_cast<milliseconds>(progress.longestGap).count()}});
            const bool sent = co_await request.exchange.finish();
            recordOutcome(request, sent ? "complete" : "caller_left", exchange.response.status);
            co_return PlacementOutcome::Done;
        }
        if (std::exchange(first, false)) {
            recordStart(request, progress);
            request.context.targets.finishPrefill(placed.run, Clock::now());
            request.context.crashes.clearLosses(request.fingerprint);
            logRequest(request,
                       LogLevel::Info,
                       "first event",
                       {{"target", exchange.target.id}, {"ms", std::chrono::duration_cast<milliseconds>(Clock::now() - request.received).count()}});
        }
        const std::string wholeEvents = progress.events.append(*piece);
        recordGap(progress, !wholeEvents.empty(), Clock::now());
        if (!wholeEvents.empty() && !co_await request.exchange.write(wholeEvents)) {
            logRequest(request, LogLevel::Info, "cannot write to the caller", {{"events", progress.events.events()}});
            break;
        }
    }
    abortExchange(request, exchange);
    recordOutcome(request, "caller_left", 0);
    co_return PlacementOutcome::Done;
}

/** Runs the request on the decode engine and forwards its response. */
asio::awaitable<PlacementOutcome> runOnEngine(DirectRequest &request, const PlacedPrompt &placed, const std::string &kvCacheRef, StreamProgress &progress)
{
    const TargetRef &decodeEngine = placed.run.target;
    TargetRequestHeaders headers = headersFor(request, decodeEngine, progress);
    headers.kvCacheRef = kvCacheRef;
    if (!placed.prefill && placed.fetchFrom) {
        headers.fetchFrom = toString(placed.fetchFrom->endpoint);
    }
    ExchangeLimits limits;
    limits.headTimeout = remainingTime(request);
    if (mayRepeat(*request.route)) {
        limits.headTimeout = std::min(limits.headTimeout, std::chrono::duration_cast<milliseconds>(prefillTimeFactor * placed.firstToken) + minSilenceTimeout);
    }
    DirectExchange exchange;
    const SendResult result
        = co_await sendToTarget(request, decodeEngine, platform::buildTargetRequest(request.caller, headers), limits, exchange, progress.reason);
    if (result == SendResult::NotSent) {
        recordTargetFailure(request, decodeEngine, result, progress.reason);
        co_return PlacementOutcome::NotRun;
    }
    ++request.sendCount;
    if (result == SendResult::OutcomeUnknown) {
        request.mayHaveRun = true;
        request.context.crashes.recordLoss(request.fingerprint, Clock::now());
        recordTargetFailure(request, decodeEngine, result, progress.reason);
        co_return PlacementOutcome::Interrupted;
    }
    recordTargetResponse(request, exchange);
    if (exchange.response.notRun) {
        if (exchange.response.status == misdirected) {
            request.context.targets.markReplaced(decodeEngine);
        }
        request.context.targets.recordPromptRefused(decodeEngine, Clock::now());
        if (placed.prefill) {
            request.context.targets.recordKvTransfer(placed.prefill->target, false, Clock::now());
        }
        logRequest(request,
                   LogLevel::Warning,
                   "engine did not run the request",
                   {{"target", decodeEngine.id}, {"status", exchange.response.status}, {"memory", kvCacheRef.empty() ? 0 : 1}});
        progress.reason = {Step::RunOnTarget, decodeEngine.id, "the engine refused with " + std::to_string(exchange.response.status)};
        Reason ignored;
        co_await readBody(request, exchange, ignored);
        finishExchange(request, exchange);
        co_return PlacementOutcome::NotRun;
    }
    request.mayHaveRun = true;
    request.context.targets.recordPromptAccepted(decodeEngine);
    if (placed.prefill) {
        request.context.targets.recordKvTransfer(placed.prefill->target, true, Clock::now());
    }
    if (exchange.response.status != statusOk || !exchange.response.isEventStream || !exchange.response.hasSignature || exchange.response.contentEncoded) {
        co_return co_await forwardPlainResponse(request, exchange, progress);
    }
    co_return co_await forwardEvents(request, exchange, placed, progress);
}

/** Runs one placement: the separate prefill, if any, then the decode. */
asio::awaitable<PlacementOutcome> runPlacement(DirectRequest &request, const PlacedPrompt &placed, StreamProgress &progress)
{
    std::string kvCacheRef;
    if (placed.prefill) {
        const auto handle = co_await prefillPrompt(request, placed, progress);
        request.context.targets.release(*placed.prefill, Clock::now());
        if (!handle) {
            request.triedTargets.push_back(placed.prefill->target.id);
            request.context.targets.release(placed.run, Clock::now());
            co_return PlacementOutcome::NotRun;
        }
        // Prefill takes seconds under load, enough time for the decode engine to have announced that it is leaving.
        if (!request.context.targets.acceptsWork(placed.run.target)) {
            logRequest(request, LogLevel::Warning, "decode engine left during prefill", {{"target", placed.run.target.id}});
            progress.reason = {Step::ChooseTarget, placed.run.target.id, "the engine left while the prompt was read"};
            asio::co_spawn(co_await asio::this_coro::executor, releaseKvCache(placed.prefill->target.endpoint, *handle), asio::detached);
            request.triedTargets.push_back(placed.run.target.id);
            request.context.targets.release(placed.run, Clock::now());
            co_return PlacementOutcome::NotRun;
        }
        kvCacheRef = platform::formatKvCacheRef(placed.prefill->target.endpoint, *handle);
    }
    const PlacementOutcome outcome = co_await runOnEngine(request, placed, kvCacheRef, progress);
    request.context.targets.release(placed.run, Clock::now());
    if (outcome != PlacementOutcome::Done) {
        request.triedTargets.push_back(placed.run.target.id);
    }
    co_return outcome;
}

/** Decides whether the request may be placed again after a placement that did not complete it. */
RetryDenial decideRetry(DirectRequest &request, std::uint32_t placements)
{
    if (hasTimedOut(request)) {
        return RetryDenial::DeadlinePassed;
    }
    if (request.exchange.isDisconnected()) {
        return RetryDenial::CallerLeft;
    }
    if (placements >= maxPlacements) {
        return RetryDenial::PlacementsUsed;
    }
    if (request.mayHaveRun && !mayRepeat(*request.route)) {
        return RetryDenial::MustNotRepeat;
    }
    if (request.mayHaveRun && request.sendCount >= request.route->maxAttempts) {
        return RetryDenial::AttemptsUsed;
    }
    return request.context.budgets.tryConsume(request.group->name) ? RetryDenial::None : RetryDenial::NoBudget;
}

bool mayRetryPlacement(DirectRequest &request, StreamProgress &progress, std::uint32_t placements)
{
    progress.denial = decideRetry(request, placements);
    processMetrics().count(Counter::Retries, {toString(progress.denial)});
    logRequest(request,
               LogLevel::Info,
               progress.denial == RetryDenial::None ? "retried on another placement" : "not retried",
               {{"why", toString(progress.denial)}, {"detail", progress.reason.detail}});
    return progress.denial == RetryDenial::None;
}

/** Ends a request that cannot be placed again: cuts a stream that has begun, else refuses the request. */
asio::awaitable<void> failStream(DirectRequest &request, StreamProgress &progress, milliseconds retryAfter)
{
    if (request.exchange.isDisconnected()) {
        recordOutcome(request, "caller_left", 0);
    } else if (progress.headSent) {
        logRequest(request,
                   LogLevel::Warning,
                   "stream cut",
                   {{"detail", progress.reason.detail},
                    {"events", progress.events.events()},
                    {"silentMs", millisecondsSince(progress.lastEvent == TimePoint{} ? request.received : progress.lastEvent)},
                    {"notRetried", toString(progress.denial)}});
        request.exchange.abort();
        recordOutcome(request, "cut", badGateway);
    } else if (hasTimedOut(request)) {
        const DirectRefusal refusal = timeoutRefusal(request);
        co_await refuse(request, refusal);
    } else {
        const DirectRefusal refusal{request.mayHaveRun ? badGateway : unavailable, progress.reason, retryAfter};
        co_await refuse(request, refusal);
    }
}

} // namespace

asio::awaitable<void> serveStream(DirectRequest &request)
{
    const PromptAdmissionSettings admission;
    StreamProgress progress;
    std::uint32_t placements = 0;
    milliseconds retryAfter = defaultRetryAfter;
    do {
        const PromptBounds bounds = progress.headSent ? PromptBounds{}
                                                      : boundsFor(*request.route, request.caller.promptTokens, request.deadline - Clock::now(), admission);
        const PromptDemand demand{.promptTokens = request.caller.promptTokens,
                                  .bodyBytes = request.caller.body.size(),
                                  .failureDomain = request.context.settings.failureDomain,
                                  .allowDisaggregation = progress.allowDisaggregation && !progress.headSent,
                                  .bounds = bounds};
        const auto placed
            = request.context.targets.placePrompt(*request.group, demand, request.caller.prefixBlocks, request.triedTargets, Clock::now(), progress.reason);
        if (!placed) {
            break;
        }
        logRequest(request,
                   LogLevel::Info,
                   placed->reserved ? "placed" : "not placed",
                   {{"runner", placed->run.target.id},
                    {"reader", placed->prefill ? placed->prefill->target.id : std::string()},
                    {"fetchFrom", placed->fetchFrom ? placed->fetchFrom->id : std::string()},
                    {"waitMs", std::chrono::duration_cast<milliseconds>(placed->wait).count()},
                    {"predictedMs", std::chrono::duration_cast<milliseconds>(placed->firstToken).count()},
                    {"promptTokens", request.caller.promptTokens},
                    {"outputTokens", request.caller.outputTokens}});
        if (!placed->reserved) {
            progress.reason = {Step::Admit, "", "the first event is predicted too late"};
            retryAfter = retryAfterFor(placed->firstToken, placed->wait, bounds, admission);
            break;
        }
        const PlacementOutcome outcome = co_await runPlacement(request, *placed, progress);
        if (outcome == PlacementOutcome::Done) {
            co_return;
        }
        progress.events.dropPartial();
        // A retry is charged as one call to the retry budget, so it uses a single engine.
        progress.allowDisaggregation = false;
        ++placements;
    } while (mayRetryPlacement(request, progress, placements));
    co_await failStream(request, progress, retryAfter);
}

} // namespace snipehill
