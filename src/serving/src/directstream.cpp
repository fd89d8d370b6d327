#include "handover.h"
#include "streamdelivery.h"

#include <platform/messages.h>
#include <process/metrics.h>
#include <request/promptadmission.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <utility>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds defaultRetryAfter{150}; // after engines failed or refused; a retry reaches other engines
constexpr int prefillTimeFactor = 3; // silence of a separate prefill after which it is given up, as a multiple of the predicted time
constexpr milliseconds prefillSlack{400}; // in addition
constexpr milliseconds releaseTimeout{1000}; // of the call that frees a KV cache
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned misdirected = 421;
constexpr unsigned statusOk = 200;

/** Frees an unused KV cache on an engine. Errors are ignored: the engine frees it after a timeout anyway. */
asio::awaitable<void> releaseKvCache(TargetRegistry &targets, TargetRef engine, std::string handle)
{
    const HttpRequest request = platform::buildKvReleaseRequest(handle);
    HttpCall call{.peer = engine.endpoint, .method = request.method(), .target = std::string(request.target()), .timeout = releaseTimeout};
    call.bodyLimit = shortBodyBytes;
    call.maySend = [&targets, &engine] {
        return maySendTo(targets, engine, SendPurpose::KvRelease, {});
    };
    Reason ignored;
    const auto response = co_await httpCall(std::move(call), ignored);
    if (response) {
        recordStatement(targets, engine, platform::parseTargetStatement(*response), response->result_int(), SendPurpose::KvRelease, {});
    }
}

/** Gives up a silent prefill if the request may be placed once more; otherwise the prefill goes on. */
bool giveUpSilentPrefill(DirectRequest &request, const DirectExchange &exchange, StreamProgress &progress)
{
    ++progress.countedPrefills; // the engine may still answer that it refuses
    progress.denial = decidePlacement(request, progress, 0);
    progress.retryGranted = progress.denial == RetryDenial::None;
    if (!progress.retryGranted) {
        --progress.countedPrefills;
        return false;
    }
    progress.reason = {Step::RunOnTarget, exchange.target.id, "the prefill is silent"};
    const TimePoint now = Clock::now();
    const Duration silence = now - exchange.lastHeard;
    if (isTargetFailure(SendResult::OutcomeUnknown, ConnectionResult::TimedOut, silence)) {
        request.context.targets.recordFailure(exchange.target, now);
    }
    logRequest(request,
               LogLevel::Warning,
               "prefill is silent",
               {{"target", exchange.target.id}, {"silentMs", std::chrono::duration_cast<milliseconds>(silence).count()}});
    return true;
}

/** Runs the prefill on a separate engine and returns the handle of its KV cache; empty on failure: the request has not run. */
asio::awaitable<std::optional<std::string>> prefillPrompt(DirectRequest &request, const PlacedPrompt &placed, StreamProgress &progress)
{
    const TargetRef &prefillEngine = placed.prefill->target;
    TargetRequestHeaders headers = headersFor(request, prefillEngine, progress);
    headers.prefillOnly = true;
    headers.fetchFrom = placed.fetchFrom ? toString(placed.fetchFrom->endpoint) : std::string();
    ExchangeOptions options{.purpose = SendPurpose::Prefill};
    options.headTimeout = remainingTime(request);
    DirectExchange exchange;
    const milliseconds patience = std::chrono::duration_cast<milliseconds>(prefillTimeFactor * placed.firstToken) + prefillSlack;
    Handover handover(co_await asio::this_coro::executor, request, exchange, patience, [&](DirectExchange &) -> asio::awaitable<bool> {
        co_return giveUpSilentPrefill(request, exchange, progress);
    });
    const SendResult result
        = co_await sendToTarget(request, prefillEngine, platform::buildTargetRequest(request.caller, headers), options, exchange, progress.reason);
    if (result == SendResult::ResponseReceived && exchange.response.status == statusOk) {
        request.context.targets.finishPrefill(*placed.prefill, Clock::now());
    } else {
        request.context.targets.cancelPrefill(*placed.prefill, Clock::now());
    }
    if (co_await handover.settle()) {
        co_return std::nullopt;
    }
    co_await handover.stop();
    if (std::exchange(progress.retryGranted, false)) {
        request.context.budgets.giveBack(request.group->name); // the prefill ended by itself in the meantime
        --progress.countedPrefills;
    }
    if (result != SendResult::ResponseReceived) {
        progress.countedPrefills += result == SendResult::OutcomeUnknown ? 1 : 0;
        progress.downEngines += result == SendResult::NotSent && (exchange.barred || exchange.result == ConnectionResult::Broken) ? 1 : 0;
        recordFailedExchange(request, exchange, result, progress.reason);
        co_return std::nullopt;
    }
    recordTargetResponse(request, exchange);
    if (exchange.response.status == misdirected) {
        request.context.targets.markReplaced(prefillEngine);
    }
    const unsigned status = exchange.response.status;
    const auto body = co_await readBody(request, exchange, progress.reason, shortBodyBytes); // parsed JSON takes a multiple of its text
    finishExchange(request, exchange);
    if (!body || status != statusOk) {
        ++progress.countedPrefills;
        if (!exchange.response.statement.pause) {
            request.context.targets.recordPromptRefused(prefillEngine, Clock::now());
        }
        logRequest(request, LogLevel::Warning, "prefill failed", {{"target", prefillEngine.id}, {"status", status}});
        co_return std::nullopt;
    }
    request.context.targets.recordPromptAccepted(prefillEngine);
    auto handle = platform::parseKvHandle(*body, progress.reason);
    if (handle && request.exchange.isDisconnected()) {
        asio::co_spawn(co_await asio::this_coro::executor, releaseKvCache(request.context.targets, prefillEngine, *handle), asio::detached);
        co_return std::nullopt;
    }
    co_return handle;
}

/** Runs one placement: the separate prefill, if any, then the decode. */
asio::awaitable<PlacementOutcome> runPlacement(DirectRequest &request, PlacedPrompt placed, StreamProgress &progress)
{
    progress.kvCacheOffered = false;
    progress.placedAt = Clock::now();
    progress.prefilledAt = {};
    std::optional<std::string> handle;
    if (placed.prefill) {
        handle = co_await prefillPrompt(request, placed, progress);
        request.context.targets.release(*placed.prefill, Clock::now());
        if (!handle) {
            request.triedTargets.push_back(placed.prefill->target.id);
            request.context.targets.release(placed.run, Clock::now());
            co_return PlacementOutcome::NotRun;
        }
        progress.prefilledAt = Clock::now();
        // The block may have come while the prompt was read.
        if (mayCrashTargets(request, false)) {
            progress.reason = {Step::Admit, "", "requests like this crash targets"};
            asio::co_spawn(co_await asio::this_coro::executor, releaseKvCache(request.context.targets, placed.prefill->target, *handle), asio::detached);
            request.context.targets.release(placed.run, Clock::now());
            co_return PlacementOutcome::NotRun;
        }
    }
    const std::optional<WorkReservation> prefill = placed.prefill; // placed may become that of another engine, which has none
    std::string kvCacheRef = handle ? platform::formatKvCacheRef(prefill->target.endpoint, *handle) : std::string();
    const PlacementOutcome outcome = co_await runOnEngine(request, placed, std::move(kvCacheRef), progress);
    request.context.targets.release(placed.run, Clock::now());
    if (handle && !progress.kvCacheOffered) {
        asio::co_spawn(co_await asio::this_coro::executor, releaseKvCache(request.context.targets, prefill->target, *handle), asio::detached);
    }
    if (outcome != PlacementOutcome::Done && outcome != PlacementOutcome::Complete) {
        request.triedTargets.push_back(placed.run.target.id);
    }
    co_return outcome;
}

/** Decides whether the request may be placed again after a placement that did not complete it. */
bool mayRetryPlacement(DirectRequest &request, StreamProgress &progress)
{
    progress.denial = std::exchange(progress.retryGranted, false) ? RetryDenial::None : decidePlacement(request, progress, 0);
    processMetrics().count(Counter::Retries, {toString(progress.denial)});
    logRequest(request,
               LogLevel::Info,
               progress.denial == RetryDenial::None ? "retried on another placement" : "not retried",
               {{"why", toString(progress.denial)}, {"detail", progress.reason.detail}});
    return progress.denial == RetryDenial::None;
}

milliseconds::rep millisecondsSince(TimePoint time)
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - time).count();
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
                    {"limit", request.deadline == request.context.activeRequests.end() ? "planned stop" : "time of the request"},
                    {"notRetried", toString(progress.denial)},
                    {"queuedBytes", progress.writer.queuedBytes()}});
        co_await flushEvents(request, progress);
        request.exchange.abort();
        recordOutcome(request, "cut", badGateway);
    } else if (hasTimedOut(request)) {
        const DirectRefusal refusal = timeoutRefusal(request);
        co_await refuse(request, refusal);
    } else if (const auto blocked = request.mayHaveRun ? std::nullopt : refusalForCrashes(request)) {
        co_await refuse(request, *blocked);
    } else {
        const DirectRefusal refusal{request.mayHaveRun ? badGateway : unavailable, progress.reason, retryAfterNoTarget(request, retryAfter)};
        co_await refuse(request, refusal);
    }
}

/** Places the request until it is served or may not be placed again. */
asio::awaitable<void> placeAndServe(DirectRequest &request, StreamProgress &progress)
{
    const PromptAdmissionSettings admission;
    milliseconds retryAfter = defaultRetryAfter;
    do {
        const PromptBounds bounds = progress.headSent ? PromptBounds{}
                                                      : boundsFor(*request.route,
                                                                  request.caller.promptTokens,
                                                                  request.deadline - Clock::now(),
                                                                  admission,
                                                                  request.context.targets.prefillRates(request.group->name));
        const PromptDemand demand{.promptTokens = request.caller.promptTokens,
                                  .bodyBytes = request.caller.body.size(),
                                  .failureDomain = request.context.settings.failureDomain,
                                  .allowDisaggregation = progress.allowDisaggregation && !progress.headSent,
                                  .bounds = bounds};
        const auto placed = request.context.targets.placePrompt(
            *request.group, demand, request.caller.prefixBlocks, request.triedTargets, Clock::now(), progress.reason, request.caller.promptParts);
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
        if (outcome == PlacementOutcome::Complete) {
            co_await finishDelivery(request, progress); // the engine has been released, however slow the caller is
            co_return;
        }
        progress.events.dropPartial();
        // A retry is charged as one call to the retry budget, so it uses a single engine.
        progress.allowDisaggregation = false;
        ++progress.placements;
    } while (mayRetryPlacement(request, progress));
    co_await failStream(request, progress, retryAfter);
}

} // namespace

asio::awaitable<void> serveStream(DirectRequest &request)
{
    EventWriter writer(co_await asio::this_coro::executor, request.exchange, request.context.responseMemory);
    StreamProgress progress{.writer = writer};
    std::exception_ptr failure;
    try {
        co_await placeAndServe(request, progress);
    } catch (...) {
        failure = std::current_exception();
    }
    // A pending write refers to the exchange.
    co_await writer.stop();
    if (failure) {
        std::rethrow_exception(failure);
    }
}

} // namespace snipehill
