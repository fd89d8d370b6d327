#include "directexchange.h"

#include <platform/messages.h>
#include <process/metrics.h>
#include <request/estimate.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <array>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr int maxForeignResponses = 3; // responses to earlier requests that are skipped on one connection
constexpr milliseconds defaultIdleTimeout{4000}; // if the target sends no keep-alive time; shorter than usual idle limits
constexpr milliseconds idleMargin{1000}; // avoids sending a request while the target closes the connection
constexpr milliseconds minFailureSilence{1000}; // sound targets are rarely silent for longer
constexpr milliseconds minUnreadTime{1000}; // a target may abort a response that nobody has read for some seconds
constexpr int maxCrashProbes = 4; // connections that are reset after these are due to a limit of the target
constexpr milliseconds crashProbeTime{30}; // an ending process closes its sockets within this time
constexpr std::size_t minBlamedBytes = 1U << 20U; // of a body that finds no memory; a longer one is part of the cause
constexpr std::size_t maxSkippedBodyBytes = 1U << 20U; // a new connection is cheaper than reading more

/**
 * Appends to a body whose memory is charged, also that of both copies while it grows; false if the budget is used up.
 *
 * @param peak largest memory of the body so far, in bytes
 */
bool appendCharged(std::string &body, std::string_view piece, DirectRequest &request, std::size_t &peak)
{
    const std::size_t size = body.size() + piece.size();
    if (size > body.capacity()) {
        const std::size_t grown = std::max(size, 2 * body.capacity());
        peak = std::max(peak, body.capacity() + grown);
        if (!request.responseMemory.resize(std::max(request.reservedBytes, peak))) {
            return false;
        }
        body.reserve(grown);
        request.responseMemory.resize(std::max(request.reservedBytes, body.capacity()));
    }
    body += piece;
    return true;
}

void removeActive(DirectRequest &request, const DirectExchange &exchange)
{
    std::erase(request.activeConnections, exchange.connection.get());
}

/** Reads response heads until one carries the id of the request. */
asio::awaitable<bool> readMatchingHead(DirectRequest &request, DirectExchange &exchange, SendPurpose purpose, TimePoint until, Reason &reason)
{
    for (int skipped = 0; skipped <= maxForeignResponses; ++skipped) {
        if (!co_await exchange.connection->readHead(timeUntil(until, Clock::now()), reason)) {
            co_return false;
        }
        exchange.lastHeard = Clock::now();
        exchange.response = platform::parseTargetResponse(exchange.connection->head(), request.caller);
        recordStatement(request.context.targets, exchange.target, exchange.response.statement, exchange.response.status, purpose, request.caller.id);
        if (exchange.response.matchesRequest) {
            co_return true;
        }
        logRequest(request, LogLevel::Warning, "skipped response to another request", {{"target", exchange.target.id}, {"status", exchange.response.status}});
        if (!co_await skipBody(request, exchange, reason)) {
            co_return false;
        }
    }
    reason = {Step::RunOnTarget, exchange.target.id, "only answers to other requests came"};
    co_return false;
}

/** Finds out whether a target with a broken connection has ended. */
asio::awaitable<void> resolveCrash(CrashGuard &crashes, TargetRef target)
{
    bool ended = false;
    bool alive = false;
    for (int probe = 0; probe < maxCrashProbes && !ended && !alive; ++probe) {
        HttpConnection connection(co_await asio::this_coro::executor);
        Reason ignored; // a target that can't be reached for another reason is not known to have ended
        const bool connected = co_await connection.connect(target.endpoint, targetConnectTimeout, ignored);
        ended = !connected && connection.wasRefused();
        // A process that is ending may still take connections for a moment and then reset them.
        alive = connected && co_await connection.staysOpen(crashProbeTime);
        connection.abort();
    }
    crashes.resolve(target, ended, Clock::now());
}

} // namespace

asio::awaitable<SendResult>
sendToTarget(DirectRequest &request, TargetRef target, HttpRequest message, ExchangeOptions options, DirectExchange &exchange, Reason &reason)
{
    exchange = DirectExchange{.target = target, .lastHeard = Clock::now()};
    exchange.connection = request.context.connections.take(target.endpoint, options.maxIdle, fingerprintOf(request.caller.id));
    const bool reused = exchange.connection != nullptr;
    if (!reused) {
        exchange.connection = std::make_unique<HttpConnection>(co_await asio::this_coro::executor);
        request.activeConnections.push_back(exchange.connection.get());
        const bool connected = co_await exchange.connection->connect(target.endpoint, std::min(options.connectTimeout, remainingTime(request)), reason);
        if (!connected || request.exchange.isDisconnected()) {
            abortExchange(request, exchange);
            co_return SendResult::NotSent;
        }
    } else {
        request.activeConnections.push_back(exchange.connection.get());
    }
    // Under load, the caller may have disconnected long ago while the event that reports it is still queued.
    if (request.exchange.checkDisconnected()) {
        finishExchange(request, exchange);
        co_return SendResult::NotSent;
    }
    if (!maySendTo(request.context.targets, target, options.purpose, request.caller.id)) {
        reason = {Step::ChooseTarget, target.id, "the target wants no requests"};
        exchange.barred = true;
        finishExchange(request, exchange);
        co_return SendResult::NotSent;
    }
    logRequest(request, LogLevel::Info, "sent", {{"target", target.id}, {"address", toString(target.endpoint)}, {"kept", reused ? 1 : 0}});
    exchange.lastHeard = Clock::now();
    exchange.sent = exchange.lastHeard;
    const milliseconds headTimeout = std::min(options.headTimeout, remainingTime(request)); // connecting has taken part of it
    const TimePoint until = exchange.lastHeard + headTimeout;
    const bool answered = co_await exchange.connection->send(message, headTimeout, reason)
        && co_await readMatchingHead(request, exchange, options.purpose, until, reason);
    if (!answered) {
        abortExchange(request, exchange);
        co_return SendResult::OutcomeUnknown;
    }
    co_return SendResult::ResponseReceived;
}

asio::awaitable<std::optional<std::string>> readPiece(DirectRequest &request, DirectExchange &exchange, Reason &reason)
{
    auto piece = co_await exchange.connection->readSome(remainingTime(request), reason);
    if (piece) {
        exchange.lastHeard = Clock::now();
        exchange.firstEvent = exchange.firstEvent == TimePoint{} ? exchange.lastHeard : exchange.firstEvent;
    }
    co_return piece;
}

asio::awaitable<std::optional<std::string>> readBody(DirectRequest &request, DirectExchange &exchange, Reason &reason, std::size_t maxBytes)
{
    std::string body;
    std::size_t peak = 0;
    while (true) {
        const auto piece = co_await readPiece(request, exchange, reason);
        if (!piece) {
            co_return std::nullopt;
        }
        if (piece->empty()) {
            if (request.route->kind != RequestKind::Streaming) {
                request.context.answerSizes.record(request.route->name, peak);
            }
            request.reservedBytes = 0;
            request.responseMemory.resize(body.capacity());
            co_return body;
        }
        if (body.size() + piece->size() > maxBytes) {
            reason = {Step::RunOnTarget, exchange.target.id, "the answer is too long"};
            co_return std::nullopt;
        }
        if (!appendCharged(body, *piece, request, peak)) {
            reason = {Step::RunOnTarget, exchange.target.id, "the memory for answers is used up"};
            if (body.size() < minBlamedBytes) {
                exchange.connection->abort(); // ended by this process, so it is no failure of the target
            }
            co_return std::nullopt;
        }
    }
}

asio::awaitable<bool> skipBody(DirectRequest &request, DirectExchange &exchange, Reason &reason)
{
    std::size_t skipped = 0;
    while (skipped <= maxSkippedBodyBytes) {
        const auto piece = co_await readPiece(request, exchange, reason);
        if (!piece || piece->empty()) {
            co_return piece.has_value();
        }
        skipped += piece->size();
    }
    reason = {Step::RunOnTarget, exchange.target.id, "the answer is too long"};
    co_return false;
}

void finishExchange(DirectRequest &request, DirectExchange &exchange)
{
    removeActive(request, exchange);
    if (exchange.connection && exchange.response.notRun) {
        exchange.connection->recordRefused(fingerprintOf(request.caller.id));
    }
    if (!exchange.connection || !exchange.connection->isReusable() || !exchange.connection->isIdle()) {
        abortExchange(request, exchange);
        return;
    }
    const milliseconds idle = exchange.response.keepAlive ? std::max(milliseconds(0), milliseconds(*exchange.response.keepAlive) - idleMargin)
                                                          : defaultIdleTimeout;
    request.context.connections.put(std::move(exchange.connection), idle);
}

DirectExchange endedCopy(const DirectExchange &exchange)
{
    return {.target = exchange.target,
            .sent = exchange.sent,
            .firstEvent = exchange.firstEvent,
            .barred = exchange.barred,
            .mayRun = exchange.mayRun,
            .lastHeard = exchange.lastHeard,
            .result = exchange.result,
            .longestPause = exchange.longestPause};
}

void abortExchange(DirectRequest &request, DirectExchange &exchange)
{
    removeActive(request, exchange);
    if (exchange.connection) {
        exchange.result = exchange.connection->result();
        exchange.connection->abort();
        exchange.connection.reset();
    }
}

void recordPossibleCrash(DirectRequest &request, const DirectExchange &exchange)
{
    const TimePoint now = Clock::now();
    // The end of a target that leaves as planned breaks its connections too.
    if (!exchange.mayRun || !request.context.targets.acceptsWork(exchange.target, now)) {
        processMetrics().count(Counter::BrokenExchanges, {exchange.mayRun ? "leaving" : "prefill"});
        return;
    }
    const Duration flowing = exchange.firstEvent == TimePoint{} ? Duration::zero() : now - exchange.firstEvent;
    logRequest(request,
               LogLevel::Warning,
               "request on a target that may have crashed",
               {{"target", exchange.target.id},
                {"run", toString(std::array{exchange.target.run})},
                {"causes", toString(request.causes)},
                {"parts", partNames(request, request.causes)},
                {"sentMs", std::chrono::duration_cast<milliseconds>(now - exchange.sent).count()},
                {"flowingMs", std::chrono::duration_cast<milliseconds>(flowing).count()}});
    if (request.context.crashes.recordBroken(exchange.target, {request.causes, now - exchange.sent}, flowing, now)) {
        asio::co_spawn(request.context.executor, resolveCrash(request.context.crashes, exchange.target), asio::detached);
    }
}

void recordTargetResponse(DirectRequest &request, const DirectExchange &exchange)
{
    std::optional<ReportedLoad> load;
    if (exchange.response.load) {
        load = ReportedLoad{
            exchange.response.load->first, exchange.response.load->second, exchange.response.slots.value_or(0), exchange.response.pacePercent.value_or(0)};
    }
    request.context.targets.recordResponse(exchange.target, load, Clock::now());
}

bool isTargetFailure(SendResult result, ConnectionResult connection, Duration silence) noexcept
{
    if (connection == ConnectionResult::TimedOut) {
        return silence >= (result == SendResult::NotSent ? targetConnectTimeout : minFailureSilence);
    }
    return connection != ConnectionResult::Aborted;
}

void recordFailedExchange(DirectRequest &request, const DirectExchange &exchange, SendResult result, const Reason &reason)
{
    if (result == SendResult::OutcomeUnknown && exchange.result == ConnectionResult::Broken) {
        recordPossibleCrash(request, exchange);
    }
    if (request.exchange.isDisconnected() || exchange.barred) {
        return;
    }
    const TimePoint now = Clock::now();
    const Duration silence = now - exchange.lastHeard;
    const bool unread = exchange.longestPause >= minUnreadTime;
    const bool failed = !unread && isTargetFailure(result, exchange.result, silence);
    const bool sent = result != SendResult::NotSent;
    if (failed) {
        request.context.targets.recordFailure(exchange.target, now);
    }
    processMetrics().count(Counter::Attempts, {!failed ? "abandoned" : sent ? "no_answer" : "not_sent"});
    logRequest(request,
               LogLevel::Warning,
               !failed    ? "exchange ended by this entry"
                   : sent ? "target gave no answer"
                          : "cannot reach target",
               {{"target", exchange.target.id},
                {"peer", reason.peer},
                {"detail", reason.detail},
                {"silentMs", std::chrono::duration_cast<milliseconds>(silence).count()},
                {"unreadMs", std::chrono::duration_cast<milliseconds>(exchange.longestPause).count()}});
}

} // namespace snipehill
