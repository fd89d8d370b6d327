#include "directexchange.h"

#include <platform/messages.h>
#include <process/metrics.h>

#include <boost/asio/this_coro.hpp>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr int maxForeignAnswers = 3; // answers to earlier requests that are passed over on one connection
constexpr milliseconds defaultIdle{4000}; // of a connection whose target names no time; shorter than usual idle limits
constexpr milliseconds idleMargin{1000}; // a request must not meet the target's close on the way
constexpr std::size_t maxHeldBytes = 32U << 20U;
constexpr milliseconds maxSend{2000}; // for the bytes of a request to leave

/** Reads heads until one names the request. */
asio::awaitable<bool> readOwnHead(DirectRequest &request, DirectExchange &exchange, TimePoint until, Reason &reason)
{
    for (int foreign = 0; foreign <= maxForeignAnswers; ++foreign) {
        const auto left = std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(until - Clock::now()));
        if (!co_await exchange.connection->readHead(left, reason)) {
            co_return false;
        }
        exchange.answer = platform::readTargetAnswer(exchange.connection->head(), request.caller);
        if (exchange.answer.matchesRequest) {
            co_return true;
        }
        logRequest(request, Level::Warning, "answer to another request passed over", {{"target", exchange.target.id}, {"status", exchange.answer.status}});
        if (!co_await readBody(request, exchange, reason)) {
            co_return false;
        }
    }
    reason = {Step::RunOnTarget, exchange.target.id, "only answers to other requests came"};
    co_return false;
}

} // namespace

asio::awaitable<SendResult>
sendToTarget(DirectRequest &request, TargetRef target, HttpRequest message, ExchangeBounds bounds, DirectExchange &exchange, Reason &reason)
{
    exchange = DirectExchange{.target = target};
    exchange.connection = request.context.connections.take(target.endpoint, bounds.maxIdle);
    const bool kept = exchange.connection != nullptr;
    if (!kept) {
        exchange.connection = std::make_unique<HttpConnection>(co_await asio::this_coro::executor);
        request.current = exchange.connection.get();
        const bool connected = co_await exchange.connection->connect(target.endpoint, std::min(bounds.connect, timeLeft(request)), reason);
        if (!connected || request.exchange.gone()) {
            abortExchange(request, exchange);
            co_return SendResult::NotSent;
        }
    }
    request.current = exchange.connection.get();
    // A busy entry may come to a request long after its caller has left, and the event that says so is still to be read.
    if (request.exchange.checkGone()) {
        finishExchange(request, exchange);
        co_return SendResult::NotSent;
    }
    logRequest(request, Level::Info, "sent", {{"target", target.id}, {"address", toString(target.endpoint)}, {"kept", kept ? 1 : 0}});
    const TimePoint until = Clock::now() + bounds.head;
    const bool answered = co_await exchange.connection->send(message, std::min(maxSend, bounds.head), reason)
        && co_await readOwnHead(request, exchange, until, reason);
    if (!answered) {
        abortExchange(request, exchange);
        co_return SendResult::Unknown;
    }
    co_return SendResult::Answered;
}

asio::awaitable<std::optional<std::string>> readBody(DirectRequest &request, DirectExchange &exchange, Reason &reason)
{
    std::string body;
    while (true) {
        const auto piece = co_await exchange.connection->readSome(timeLeft(request), reason);
        if (!piece) {
            co_return std::nullopt;
        }
        if (piece->empty()) {
            co_return body;
        }
        body += *piece;
        if (body.size() > maxHeldBytes) {
            reason = {Step::RunOnTarget, exchange.target.id, "the answer is too long"};
            co_return std::nullopt;
        }
    }
}

void finishExchange(DirectRequest &request, DirectExchange &exchange)
{
    request.current = nullptr;
    if (!exchange.connection || !exchange.connection->reusable() || !exchange.connection->isQuiet()) {
        abortExchange(request, exchange);
        return;
    }
    const milliseconds idle = exchange.answer.keepAlive ? std::max(milliseconds(0), milliseconds(*exchange.answer.keepAlive) - idleMargin) : defaultIdle;
    request.context.connections.put(std::move(exchange.connection), idle);
}

void abortExchange(DirectRequest &request, DirectExchange &exchange)
{
    request.current = nullptr;
    if (exchange.connection) {
        exchange.connection->abort();
        exchange.connection.reset();
    }
}

void noteAlive(DirectRequest &request, const DirectExchange &exchange)
{
    std::optional<ToldLoad> load;
    if (exchange.answer.load) {
        load = ToldLoad{exchange.answer.load->first, exchange.answer.load->second, 0};
    }
    request.context.targets.noteAnswer(exchange.target, load, Clock::now());
}

void noteTargetFailure(DirectRequest &request, const TargetRef &target, SendResult result, const Reason &reason)
{
    if (request.exchange.gone()) {
        return;
    }
    request.context.targets.noteFailure(target, Clock::now());
    processMetrics().count(Counter::Attempts, {result == SendResult::NotSent ? "not_sent" : "no_answer"});
    logRequest(request,
               Level::Warning,
               result == SendResult::NotSent ? "target not reached" : "target gave no answer",
               {{"target", target.id}, {"peer", reason.peer}, {"detail", reason.detail}});
}

} // namespace snipehill
