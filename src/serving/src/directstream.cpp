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

constexpr milliseconds returnSoon{150}; // after engines failed or refused: the next try finds others
constexpr milliseconds readSlack{400}; // beyond the predicted time for reading a prompt
constexpr int readFactor = 3; // times the predicted time that a reading engine may take
constexpr milliseconds dropBound{1000}; // of the call that frees a kept prompt
constexpr int silentGaps = 5; // wanted pauses after which a stream that can be resumed goes on elsewhere
constexpr milliseconds minSilence{700};
constexpr std::uint32_t maxPlacements = 4; // rounds of placing one request, whatever else is left
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned misdirected = 421;
constexpr unsigned statusOk = 200;

/** What became of one placement. */
enum class RunEnd {
    Done, //!< the caller has its answer, or has left
    NotRun, //!< no engine ran it
    Broken, //!< an engine may have run it and gave no whole answer
};

/** A stream that is being passed on. */
struct StreamProgress
{
    EventStream events;
    bool begun = false; //!< the caller has the head
    bool counted = false; //!< in the usage of the workspace
    bool readApart = true; //!< prompts may be read by another engine first
    TimePoint lastEvent{};
    Duration longestGap{}; //!< between two events that were passed on
    Reason reason;
};

/** Frees a kept prompt that nobody will use; its result doesn't matter, the engine frees it after a while anyway. */
asio::awaitable<void> dropMemory(Endpoint engine, std::string handle)
{
    const HttpRequest request = platform::dropMemoryRequest(handle);
    HttpCall call{.peer = engine, .method = request.method(), .target = std::string(request.target()), .timeout = dropBound};
    Reason ignored;
    co_await httpCall(std::move(call), ignored);
}

TargetRequestHeaders headersFor(const DirectRequest &request, const TargetRef &target, const StreamProgress &progress)
{
    TargetRequestHeaders headers;
    headers.targetId = target.id;
    headers.workspace = request.workspace;
    headers.remaining = timeLeft(request);
    headers.urgency = urgencyOf(request.priority, request.caller.promptTokens);
    if (request.route->resumable) {
        headers.lastEventId = progress.events.lastId().empty() ? request.caller.lastEventId : progress.events.lastId();
    }
    return headers;
}

/** Has the prompt read by another engine; empty when it could not, which leaves the request not run. */
asio::awaitable<std::optional<std::string>> readPrompt(DirectRequest &request, const PlacedPrompt &placed, StreamProgress &progress)
{
    const TargetRef &reader = placed.read->target;
    TargetRequestHeaders headers = headersFor(request, reader, progress);
    headers.prefillOnly = true;
    headers.fetchFrom = placed.fetchFrom ? toString(placed.fetchFrom->endpoint) : std::string();
    ExchangeBounds bounds;
    bounds.head = std::min(timeLeft(request), std::chrono::duration_cast<milliseconds>(readFactor * placed.firstToken) + readSlack);
    DirectExchange exchange;
    const SendResult result = co_await sendToTarget(request, reader, platform::targetRequest(request.caller, headers), bounds, exchange, progress.reason);
    request.context.targets.endRead(*placed.read, Clock::now());
    if (result != SendResult::Answered) {
        noteTargetFailure(request, reader, result, progress.reason);
        co_return std::nullopt;
    }
    noteAlive(request, exchange);
    if (exchange.answer.status == misdirected) {
        request.context.targets.noteReplaced(reader);
    }
    const unsigned status = exchange.answer.status;
    const auto body = co_await readBody(request, exchange, progress.reason);
    finishExchange(request, exchange);
    if (!body || status != statusOk) {
        request.context.targets.noteRefused(reader, Clock::now());
        logRequest(request, Level::Warning, "prompt not read", {{"target", reader.id}, {"status", status}});
        co_return std::nullopt;
    }
    request.context.targets.noteTaken(reader);
    auto handle = platform::readMemoryHandle(*body, progress.reason);
    if (handle && request.exchange.gone()) {
        asio::co_spawn(co_await asio::this_coro::executor, dropMemory(reader.endpoint, *handle), asio::detached);
        co_return std::nullopt;
    }
    co_return handle;
}

/** Counts a request that began to run, once. */
void countStart(DirectRequest &request, StreamProgress &progress)
{
    if (progress.counted) {
        return;
    }
    progress.counted = true;
    request.context.usage.count(request.workspace);
    processMetrics().observe(Timing::FirstToken, {request.workspace}, Clock::now() - request.received);
}

/** Passes one answer that is not a stream of events on, or decides that it can't be. */
asio::awaitable<RunEnd> passPlain(DirectRequest &request, DirectExchange &exchange, StreamProgress &progress)
{
    const unsigned status = exchange.answer.status;
    auto body = co_await readBody(request, exchange, progress.reason);
    finishExchange(request, exchange);
    const bool usable = body && !progress.begun && !promisesNotRun(status) && !exchange.answer.contentEncoded
        && (exchange.answer.hasSignature || status >= 300);
    if (!usable) {
        progress.reason = {Step::RunOnTarget, exchange.target.id, "the engine answered " + std::to_string(status)};
        co_return RunEnd::Broken;
    }
    countStart(request, progress);
    const bool sent = co_await request.exchange.respond(status, std::move(exchange.answer.headers), std::move(*body));
    noteOutcome(request, sent ? "complete" : "caller_left", status);
    co_return RunEnd::Done;
}

/** Keeps the longest pause between events. */
void noteGap(StreamProgress &progress, bool event, TimePoint now)
{
    if (!event) {
        return;
    }
    if (progress.lastEvent != TimePoint{}) {
        progress.longestGap = std::max(progress.longestGap, now - progress.lastEvent);
    }
    progress.lastEvent = now;
}

milliseconds eventBound(const DirectRequest &request, const StreamProgress &progress)
{
    if (!request.route->resumable || !progress.begun) {
        return timeLeft(request);
    }
    return std::min(timeLeft(request), std::max(minSilence, silentGaps * request.route->gapGoal));
}

/** Passes events on as they come. */
asio::awaitable<RunEnd> passEvents(DirectRequest &request, DirectExchange &exchange, const PlacedPrompt &placed, StreamProgress &progress)
{
    if (!progress.begun) {
        progress.begun = co_await request.exchange.beginStream(exchange.answer.status, exchange.answer.headers);
    }
    bool first = true;
    while (!request.exchange.gone()) {
        const auto piece = co_await exchange.connection->readSome(eventBound(request, progress), progress.reason);
        if (!piece) {
            abortExchange(request, exchange);
            noteTargetFailure(request, exchange.target, SendResult::Unknown, progress.reason);
            co_return request.exchange.gone() ? RunEnd::Done : RunEnd::Broken;
        }
        if (piece->empty()) {
            if (progress.events.hasPartial()) {
                progress.reason = {Step::RunOnTarget, exchange.target.id, "the stream ended within an event"};
                abortExchange(request, exchange);
                noteTargetFailure(request, exchange.target, SendResult::Unknown, progress.reason);
                co_return RunEnd::Broken;
            }
            finishExchange(request, exchange);
            logRequest(request,
                       Level::Info,
                       "stream complete",
                       {{"target", exchange.target.id},
                        {"events", progress.events.events()},
                        {"longestGapMs", std::chrono::duration_cast<milliseconds>(progress.longestGap).count()}});
            const bool sent = co_await request.exchange.finish();
            noteOutcome(request, sent ? "complete" : "caller_left", exchange.answer.status);
            co_return RunEnd::Done;
        }
        if (std::exchange(first, false)) {
            countStart(request, progress);
            request.context.targets.endRead(placed.run, Clock::now());
            request.context.crashes.noteHarmless(request.fingerprint);
            logRequest(request,
                       Level::Info,
                       "first event",
                       {{"target", exchange.target.id}, {"ms", std::chrono::duration_cast<milliseconds>(Clock::now() - request.received).count()}});
        }
        const std::string whole = progress.events.append(*piece);
        noteGap(progress, !whole.empty(), Clock::now());
        if (!whole.empty() && !co_await request.exchange.write(whole)) {
            break;
        }
    }
    abortExchange(request, exchange);
    co_return RunEnd::Done;
}

/** Runs the request on its engine. */
asio::awaitable<RunEnd> runPrompt(DirectRequest &request, const PlacedPrompt &placed, const std::string &memory, StreamProgress &progress)
{
    const TargetRef &runner = placed.run.target;
    TargetRequestHeaders headers = headersFor(request, runner, progress);
    headers.kvCacheRef = memory;
    if (!placed.read && placed.fetchFrom) {
        headers.fetchFrom = toString(placed.fetchFrom->endpoint);
    }
    ExchangeBounds bounds;
    bounds.head = timeLeft(request);
    if (mayRepeat(*request.route)) {
        bounds.head = std::min(bounds.head, std::chrono::duration_cast<milliseconds>(readFactor * placed.firstToken) + minSilence);
    }
    DirectExchange exchange;
    const SendResult result = co_await sendToTarget(request, runner, platform::targetRequest(request.caller, headers), bounds, exchange, progress.reason);
    if (result == SendResult::NotSent) {
        noteTargetFailure(request, runner, result, progress.reason);
        co_return RunEnd::NotRun;
    }
    ++request.sends;
    if (result == SendResult::Unknown) {
        request.mayHaveRun = true;
        request.context.crashes.noteLoss(request.fingerprint, Clock::now());
        noteTargetFailure(request, runner, result, progress.reason);
        co_return RunEnd::Broken;
    }
    noteAlive(request, exchange);
    if (exchange.answer.notRun) {
        if (exchange.answer.status == misdirected) {
            request.context.targets.noteReplaced(runner);
        }
        request.context.targets.noteRefused(runner, Clock::now());
        if (placed.read) {
            request.context.targets.noteMemory(placed.read->target, false, Clock::now());
        }
        logRequest(
            request, Level::Warning, "not run by the engine", {{"target", runner.id}, {"status", exchange.answer.status}, {"memory", memory.empty() ? 0 : 1}});
        progress.reason = {Step::RunOnTarget, runner.id, "the engine refused with " + std::to_string(exchange.answer.status)};
        Reason ignored;
        co_await readBody(request, exchange, ignored);
        finishExchange(request, exchange);
        co_return RunEnd::NotRun;
    }
    request.mayHaveRun = true;
    request.context.targets.noteTaken(runner);
    if (placed.read) {
        request.context.targets.noteMemory(placed.read->target, true, Clock::now());
    }
    if (exchange.answer.status != statusOk || !exchange.answer.isEventStream || !exchange.answer.hasSignature || exchange.answer.contentEncoded) {
        co_return co_await passPlain(request, exchange, progress);
    }
    co_return co_await passEvents(request, exchange, placed, progress);
}

/** One placement from its choice to its end. */
asio::awaitable<RunEnd> runPlaced(DirectRequest &request, const PlacedPrompt &placed, StreamProgress &progress)
{
    std::string memory;
    if (placed.read) {
        const auto handle = co_await readPrompt(request, placed, progress);
        request.context.targets.end(*placed.read, Clock::now());
        if (!handle) {
            request.tried.push_back(placed.read->target.id);
            request.context.targets.end(placed.run, Clock::now());
            co_return RunEnd::NotRun;
        }
        // Reading takes seconds under load, long enough for the runner to have announced that it leaves.
        if (!request.context.targets.takesWork(placed.run.target)) {
            logRequest(request, Level::Warning, "engine left while the prompt was read", {{"target", placed.run.target.id}});
            progress.reason = {Step::ChooseTarget, placed.run.target.id, "the engine left while the prompt was read"};
            asio::co_spawn(co_await asio::this_coro::executor, dropMemory(placed.read->target.endpoint, *handle), asio::detached);
            request.tried.push_back(placed.run.target.id);
            request.context.targets.end(placed.run, Clock::now());
            co_return RunEnd::NotRun;
        }
        memory = platform::memoryAt(placed.read->target.endpoint, *handle);
    }
    const RunEnd end = co_await runPrompt(request, placed, memory, progress);
    request.context.targets.end(placed.run, Clock::now());
    if (end != RunEnd::Done) {
        request.tried.push_back(placed.run.target.id);
    }
    co_return end;
}

/** Whether the request may be placed once more after a placement that did not end it. */
bool mayPlaceAgain(DirectRequest &request, const StreamProgress &progress, std::uint32_t placements)
{
    if (isOver(request) || request.exchange.gone() || placements >= maxPlacements) {
        return false;
    }
    if (request.mayHaveRun && (!mayRepeat(*request.route) || request.sends >= request.route->maxAttempts)) {
        return false;
    }
    const bool granted = request.context.budgets.take(request.group->name);
    processMetrics().count(Counter::Retries, {granted ? "granted" : "no_budget"});
    logRequest(request, Level::Info, granted ? "placed again" : "not placed again, the budget is used up", {{"detail", progress.reason.detail}});
    return granted;
}

/** Ends a stream that no engine will go on with. */
asio::awaitable<void> giveUp(DirectRequest &request, StreamProgress &progress, milliseconds retryAfter)
{
    if (request.exchange.gone()) {
        noteOutcome(request, "caller_left", 0);
    } else if (progress.begun) {
        logRequest(request, Level::Warning, "stream cut", {{"detail", progress.reason.detail}, {"events", progress.events.events()}});
        request.exchange.abort();
        noteOutcome(request, "cut", badGateway);
    } else if (isOver(request)) {
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
    milliseconds retryAfter = returnSoon;
    do {
        const PromptBounds bounds = progress.begun ? PromptBounds{}
                                                   : boundsFor(*request.route, request.caller.promptTokens, request.giveUp - Clock::now(), admission);
        const PromptDemand demand{.promptTokens = request.caller.promptTokens,
                                  .bodyBytes = request.caller.body.size(),
                                  .failureDomain = request.context.settings.failureDomain,
                                  .allowDisaggregation = progress.readApart && !progress.begun,
                                  .bounds = bounds};
        const auto placed
            = request.context.targets.placePrompt(*request.group, demand, request.caller.prefixBlocks, request.tried, Clock::now(), progress.reason);
        if (!placed) {
            break;
        }
        logRequest(request,
                   Level::Info,
                   placed->booked ? "placed" : "not placed",
                   {{"runner", placed->run.target.id},
                    {"reader", placed->read ? placed->read->target.id : std::string()},
                    {"fetchFrom", placed->fetchFrom ? placed->fetchFrom->id : std::string()},
                    {"waitMs", std::chrono::duration_cast<milliseconds>(placed->wait).count()},
                    {"predictedMs", std::chrono::duration_cast<milliseconds>(placed->firstToken).count()},
                    {"promptTokens", request.caller.promptTokens},
                    {"outputTokens", request.caller.outputTokens}});
        if (!placed->booked) {
            progress.reason = {Step::Admit, "", "the first event is predicted too late"};
            retryAfter = retryAfterFor(placed->firstToken, placed->wait, bounds, admission);
            break;
        }
        const RunEnd end = co_await runPlaced(request, *placed, progress);
        if (end == RunEnd::Done) {
            if (request.exchange.gone()) {
                noteOutcome(request, "caller_left", 0);
            }
            co_return;
        }
        progress.events.dropPartial();
        // A repeat takes one call of the budget, so it goes to one engine only.
        progress.readApart = false;
        ++placements;
    } while (mayPlaceAgain(request, progress, placements));
    co_await giveUp(request, progress, retryAfter);
}

} // namespace snipehill
