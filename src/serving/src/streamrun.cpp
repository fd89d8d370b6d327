#include "streamrun.h"

#include "handover.h"
#include "streamdelivery.h"

#include <platform/messages.h>
#include <process/metrics.h>

#include <boost/asio/this_coro.hpp>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr int headTimeFactor = 3; // silence before the head after which another engine is tried, as a multiple of the predicted time
constexpr milliseconds headSlack{700}; // in addition
constexpr milliseconds minCallerPatience{2000}; // callers of the platform leave a stream after this gap, or after the longer of
constexpr int callerPatienceGoals = 4; // ... this multiple of the latency goal
constexpr int callerPatienceGaps = 8; // ... and this multiple of the gap goal
constexpr double takeoverFraction = 0.7; // of the caller's patience; the rest is left for the other engine's first event
constexpr unsigned misdirected = 421;
constexpr unsigned statusOk = 200;

/** One run of a request: its current engine, and the engine that may take over. */
struct StreamRun
{
    DirectRequest &request;
    StreamProgress &progress;
    DirectExchange exchange{};
    PlacedPrompt placed; //!< of the current engine
    std::optional<PlacedPrompt> next; //!< of the engine that may take over; its work is reserved
    bool headReceived = false; //!< by the current engine
    bool silent = false; //!< the current engine was silent for so long that another one was tried
};

/** How an engine reacted to a request. */
enum class EngineReaction {
    Accepted, //!< the head of a response was received; the exchange is open
    NotRun, //!< the engine was not reached, or did not run the request
    Unknown, //!< the connection ended or the time was up before the head was received
};

/** Silence of an engine that has begun its response after which another one is tried. */
milliseconds streamPatience(const RouteRule &route)
{
    const milliseconds caller = std::max({minCallerPatience, callerPatienceGoals * route.latencyGoal, callerPatienceGaps * route.eventGapGoal});
    return std::chrono::duration_cast<milliseconds>(takeoverFraction * caller);
}

milliseconds headPatience(const PlacedPrompt &placed)
{
    return std::chrono::duration_cast<milliseconds>(headTimeFactor * placed.firstToken) + headSlack;
}

bool isUsableStream(const TargetResponse &response)
{
    return response.status == statusOk && response.isEventStream && response.hasSignature && !response.contentEncoded;
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

/** Handles a response with which the engine states that it did not run the request. */
asio::awaitable<void> handleNotRun(DirectRequest &request, const PlacedPrompt &placed, bool separatePrefill, Reason &reason, DirectExchange &exchange)
{
    const TargetRef &engine = placed.run.target;
    if (exchange.response.status == misdirected) {
        request.context.targets.markReplaced(engine);
    }
    // An engine that asks for a pause is sound; how long it wants no prompts is known.
    if (!exchange.response.statement.pause) {
        request.context.targets.recordPromptRefused(engine, Clock::now());
        if (placed.prefill) {
            request.context.targets.recordKvTransfer(placed.prefill->target, false, Clock::now());
        }
    }
    logRequest(request,
               LogLevel::Warning,
               "engine did not run the request",
               {{"target", engine.id}, {"status", exchange.response.status}, {"memory", separatePrefill ? 1 : 0}});
    reason = {Step::RunOnTarget, engine.id, "the engine refused with " + std::to_string(exchange.response.status)};
    Reason ignored;
    co_await skipBody(request, exchange, ignored);
    finishExchange(request, exchange);
}

/** Sends the request to the engine of the placement and waits for the head of the response. */
asio::awaitable<EngineReaction> sendPrompt(DirectRequest &request,
                                           const PlacedPrompt &placed,
                                           std::string kvCacheRef,
                                           SendPurpose purpose,
                                           StreamProgress &progress,
                                           Reason &reason,
                                           DirectExchange &exchange)
{
    const TargetRef &engine = placed.run.target;
    TargetRequestHeaders headers = headersFor(request, engine, progress);
    headers.kvCacheRef = std::move(kvCacheRef);
    const bool separatePrefill = !headers.kvCacheRef.empty();
    if (!placed.prefill && placed.fetchFrom) {
        headers.fetchFrom = toString(placed.fetchFrom->endpoint);
    }
    ExchangeOptions options{.purpose = separatePrefill ? SendPurpose::Decode : purpose};
    options.headTimeout = remainingTime(request);
    const SendResult result = co_await sendToTarget(request, engine, platform::buildTargetRequest(request.caller, headers), options, exchange, reason);
    exchange.mayRun = true;
    if (result == SendResult::NotSent) {
        progress.downEngines += exchange.barred || exchange.result == ConnectionResult::Broken ? 1 : 0;
        recordFailedExchange(request, exchange, result, reason);
        co_return EngineReaction::NotRun;
    }
    ++request.sendCount;
    progress.kvCacheOffered = progress.kvCacheOffered || separatePrefill;
    if (result == SendResult::OutcomeUnknown) {
        request.mayHaveRun = true;
        co_return EngineReaction::Unknown;
    }
    recordTargetResponse(request, exchange);
    if (exchange.response.notRun) {
        co_await handleNotRun(request, placed, separatePrefill, reason, exchange);
        co_return EngineReaction::NotRun;
    }
    request.mayHaveRun = true;
    request.context.targets.recordPromptAccepted(engine);
    if (placed.prefill) {
        request.context.targets.recordKvTransfer(placed.prefill->target, true, Clock::now());
    }
    co_return EngineReaction::Accepted;
}

void releaseNext(StreamRun &run)
{
    if (run.next) {
        run.request.context.targets.release(run.next->run, Clock::now());
        run.next.reset();
    }
}

/** Chooses another engine for the request of a silent one and takes the retry from the budget; false if that is not possible now. */
bool placeElsewhere(StreamRun &run)
{
    DirectRequest &request = run.request;
    releaseNext(run);
    run.progress.denial = decidePlacement(request, run.progress, run.headReceived ? 0 : 1);
    if (run.progress.denial == RetryDenial::None) {
        const PromptDemand demand{.promptTokens = request.caller.promptTokens,
                                  .bodyBytes = request.caller.body.size(),
                                  .failureDomain = request.context.settings.failureDomain,
                                  .allowDisaggregation = false};
        std::vector<std::string> excluded = request.triedTargets;
        excluded.push_back(run.placed.run.target.id);
        Reason reason;
        run.next = request.context.targets.placePrompt(
            *request.group, demand, request.caller.prefixBlocks, excluded, Clock::now(), reason, request.caller.promptParts);
        if (!run.next || run.next->firstToken >= remainingTime(request)) {
            releaseNext(run);
            request.context.budgets.giveBack(request.group->name);
            run.progress.denial = RetryDenial::NoTarget;
        }
    }
    if (run.next || !run.silent) {
        logRequest(request,
                   LogLevel::Warning,
                   "target is silent",
                   {{"target", run.placed.run.target.id},
                    {"other", run.next ? run.next->run.target.id : std::string()},
                    {"why", toString(run.progress.denial)},
                    {"events", run.progress.events.events()}});
    }
    return run.next.has_value();
}

/** Asks another engine to take over from a silent one; true if it has accepted. */
asio::awaitable<bool> askOtherEngine(StreamRun &run, DirectExchange &next)
{
    DirectRequest &request = run.request;
    const bool placed = placeElsewhere(run);
    if (!run.silent) {
        run.silent = true;
        request.context.targets.recordFailure(run.placed.run.target, Clock::now());
    }
    if (!placed) {
        co_return false;
    }
    ++run.progress.placements;
    processMetrics().count(Counter::Retries, {"silence"});
    Reason reason;
    const EngineReaction reaction = co_await sendPrompt(request, *run.next, {}, SendPurpose::Takeover, run.progress, reason, next);
    if (reaction == EngineReaction::Accepted && isUsableStream(next.response)) {
        co_return true;
    }
    if (reaction == EngineReaction::Unknown) {
        recordFailedExchange(request, next, SendResult::OutcomeUnknown, reason);
    }
    request.triedTargets.push_back(run.next->run.target.id);
    releaseNext(run);
    co_return false;
}

/** Makes the engine that has taken over the current one. */
void switchEngine(StreamRun &run)
{
    logRequest(run.request, LogLevel::Info, "another engine took over", {{"from", run.placed.run.target.id}, {"target", run.next->run.target.id}});
    run.request.context.targets.release(run.placed.run, Clock::now());
    run.request.triedTargets.push_back(run.placed.run.target.id);
    run.placed = std::move(*run.next);
    run.next.reset();
    run.headReceived = true;
    run.silent = false;
    run.progress.events.dropPartial();
}

/** The current engine has sent something; it no longer counts as silent. */
void recordProgress(StreamRun &run, Handover &handover)
{
    handover.recordProgress();
    if (run.next && !handover.isPending()) {
        releaseNext(run);
    }
    if (run.silent) {
        run.silent = false;
        run.request.context.targets.recordResponse(run.placed.run.target, std::nullopt, Clock::now());
    }
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

/** Ends the exchange of a stream that the engine has sent completely. */
PlacementOutcome finishStream(StreamRun &run)
{
    DirectRequest &request = run.request;
    // A response without length or chunks ends in the same way if its engine crashes.
    if (run.exchange.connection->endsWithConnection()) {
        recordPossibleCrash(request, run.exchange);
    } else if (run.exchange.firstEvent != TimePoint{}) {
        request.context.crashes.recordSound(request.causes, run.exchange.firstEvent);
    }
    finishExchange(request, run.exchange);
    logRequest(request,
               LogLevel::Info,
               "stream complete",
               {{"target", run.exchange.target.id},
                {"events", run.progress.events.events()},
                {"longestGapMs", std::chrono::duration_cast<milliseconds>(run.progress.longestGap).count()},
                {"queuedBytes", run.progress.writer.queuedBytes()}});
    return PlacementOutcome::Complete;
}

/** The engine's stream has ended before its end; goes on with the engine that is taking over, if any. */
asio::awaitable<std::optional<PlacementOutcome>> handleBrokenStream(StreamRun &run, Handover &handover)
{
    DirectRequest &request = run.request;
    abortExchange(request, run.exchange);
    const DirectExchange first = endedCopy(run.exchange);
    if (co_await handover.settle()) {
        if (first.result == ConnectionResult::Broken) {
            recordFailedExchange(request, first, SendResult::OutcomeUnknown, run.progress.reason);
        }
        switchEngine(run);
        co_return std::nullopt;
    }
    recordFailedExchange(request, run.exchange, SendResult::OutcomeUnknown, run.progress.reason);
    if (!request.exchange.isDisconnected()) {
        co_return PlacementOutcome::Interrupted;
    }
    recordOutcome(request, "caller_left", 0);
    co_return PlacementOutcome::Done;
}

void recordFirstPiece(StreamRun &run)
{
    DirectRequest &request = run.request;
    recordStart(request, run.progress);
    request.context.targets.finishPrefill(run.placed.run, Clock::now());
    if (run.placed.prefill && run.progress.prefilledAt != TimePoint{}) {
        const TimePoint now = Clock::now();
        const PromptPhases phases{.prefill = run.progress.prefilledAt - run.progress.placedAt,
                                  .predictedPrefill = run.placed.idlePrefill,
                                  .decode = now - run.progress.prefilledAt,
                                  .predictedDecode = run.placed.idleDecode};
        request.context.targets.recordPhaseDelays(request.group->name, phases, now);
    }
    const auto took = std::chrono::duration_cast<milliseconds>(Clock::now() - request.received);
    logRequest(request, LogLevel::Info, "first event", {{"target", run.exchange.target.id}, {"ms", took.count()}});
}

/** Forwards events to the caller as they arrive. */
asio::awaitable<PlacementOutcome> forwardEvents(StreamRun &run, Handover &handover)
{
    DirectRequest &request = run.request;
    StreamProgress &progress = run.progress;
    if (!progress.headSent) {
        progress.headSent = co_await request.exchange.beginStream(run.exchange.response.status, run.exchange.response.headers);
    }
    bool first = true;
    handover.beginWait();
    while (!request.exchange.isDisconnected()) {
        const auto piece = co_await readPiece(request, run.exchange, progress.reason);
        // The other engine repeats what the current one sends after the other was asked.
        const bool unfinished = piece && piece->empty() && progress.events.hasPartial();
        if (unfinished) {
            progress.reason = {Step::RunOnTarget, run.exchange.target.id, "the stream ended within an event"};
        }
        std::string wholeEvents = piece && !handover.isAccepted() ? progress.events.append(*piece) : std::string();
        const bool endless = progress.events.isOverlong() || !request.responseMemory.resize(progress.events.bufferedBytes());
        if (endless) {
            progress.reason = {Step::RunOnTarget, run.exchange.target.id, "an event of the stream has no end"};
        }
        const bool repeating = progress.events.isRepeating();
        if (repeating) {
            progress.reason = {Step::RunOnTarget, run.exchange.target.id, "the engine repeats events instead of going on after the last one"};
        }
        if (!piece || unfinished || endless || repeating || handover.isAccepted()) {
            if (const auto outcome = co_await handleBrokenStream(run, handover)) {
                co_return *outcome;
            }
            first = true;
            handover.beginWait();
            continue;
        }
        if (piece->empty()) {
            co_return finishStream(run);
        }
        if (std::exchange(first, false)) {
            recordFirstPiece(run);
        }
        if (wholeEvents.empty()) {
            continue; // bytes that complete no event are no progress for the caller
        }
        recordProgress(run, handover);
        recordGap(progress, true, Clock::now());
        progress.writer.push(std::move(wholeEvents));
        if (progress.writer.room() != EventWriter::Room::Free) {
            co_await pauseForCaller(request, run.exchange, progress);
        }
        if (progress.writer.hasFailed()) {
            logRequest(request, LogLevel::Info, "cannot write to the caller", {{"events", progress.events.events()}});
            break;
        }
        handover.beginWait();
    }
    abortExchange(request, run.exchange);
    recordOutcome(request, "caller_left", 0);
    co_return PlacementOutcome::Done;
}

/** Sends the request, waits for the head of the response, from whichever engine, and forwards the response. */
asio::awaitable<PlacementOutcome> runAndForward(StreamRun &run, Handover &handover, std::string kvCacheRef)
{
    DirectRequest &request = run.request;
    const SendPurpose purpose = request.sendCount == 0 ? SendPurpose::Run : SendPurpose::Retry;
    const EngineReaction reaction = co_await sendPrompt(request, run.placed, std::move(kvCacheRef), purpose, run.progress, run.progress.reason, run.exchange);
    if (reaction != EngineReaction::Accepted || handover.isAccepted()) {
        const DirectExchange first = endedCopy(run.exchange);
        if (co_await handover.settle()) {
            if (first.result == ConnectionResult::Broken) {
                recordFailedExchange(request, first, SendResult::OutcomeUnknown, run.progress.reason);
            }
            switchEngine(run);
        } else if (reaction == EngineReaction::NotRun) {
            co_return PlacementOutcome::NotRun;
        } else if (reaction == EngineReaction::Unknown) {
            recordFailedExchange(request, run.exchange, SendResult::OutcomeUnknown, run.progress.reason);
            co_return PlacementOutcome::Interrupted;
        }
    }
    run.headReceived = true;
    recordProgress(run, handover);
    if (!isUsableStream(run.exchange.response)) {
        co_return co_await forwardPlainResponse(request, run.exchange, run.progress);
    }
    if (mayRepeat(*request.route)) {
        handover.setPatience(streamPatience(*request.route));
    }
    co_return co_await forwardEvents(run, handover);
}

} // namespace

asio::awaitable<PlacementOutcome> runOnEngine(DirectRequest &request, PlacedPrompt &placed, std::string kvCacheRef, StreamProgress &progress)
{
    StreamRun run{.request = request, .progress = progress, .placed = placed};
    const milliseconds patience = mayRepeat(*request.route) ? headPatience(placed) : milliseconds(0);
    Handover handover(co_await asio::this_coro::executor, request, run.exchange, patience, [&run](DirectExchange &next) {
        return askOtherEngine(run, next);
    });
    PlacementOutcome outcome = PlacementOutcome::Interrupted;
    std::exception_ptr failure;
    try {
        outcome = co_await runAndForward(run, handover, std::move(kvCacheRef));
    } catch (...) {
        failure = std::current_exception();
    }
    // A pending attempt refers to this frame.
    co_await handover.stop();
    releaseNext(run);
    placed = run.placed;
    if (failure) {
        std::rethrow_exception(failure);
    }
    co_return outcome;
}

} // namespace snipehill
