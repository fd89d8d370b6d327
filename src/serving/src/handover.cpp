#include "handover.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds retryInterval{200}; // between attempts during one silence; retry budget and room at other targets change at this pace

} // namespace

struct Handover::State
{
    State(const asio::any_io_executor &ownExecutor, DirectRequest &ownRequest, DirectExchange &currentExchange, milliseconds ownPatience, Attempt ownAttempt)
        : executor(ownExecutor)
        , request(ownRequest)
        , current(currentExchange)
        , patience(ownPatience)
        , attempt(std::move(ownAttempt))
        , timer(ownExecutor)
        , ended(ownExecutor, TimePoint::max())
    {
    }

    asio::any_io_executor executor;
    DirectRequest &request;
    DirectExchange &current;
    DirectExchange next; //!< of the pending or accepted attempt
    milliseconds patience;
    Attempt attempt;
    TimePoint lastProgress = Clock::now();
    TimePoint notBefore{}; //!< of the next attempt
    asio::steady_timer timer;
    asio::steady_timer ended; //!< cancelled when the pending attempt has ended
    bool waiting = true; //!< for the current target
    bool running = false;
    bool accepted = false;
    bool cancelled = false; //!< the pending attempt is not needed any more
    bool stopped = false;
};

Handover::Handover(const asio::any_io_executor &executor, DirectRequest &request, DirectExchange &current, milliseconds patience, Attempt attempt)
    : m_state(std::make_shared<State>(executor, request, current, patience, std::move(attempt)))
{
    startTimer(m_state);
}

Handover::~Handover()
{
    m_state->stopped = true;
    m_state->timer.cancel();
}

void Handover::startTimer(const std::shared_ptr<State> &state)
{
    if (state->stopped || state->patience == milliseconds(0)) {
        return;
    }
    state->timer.expires_at(std::max(state->lastProgress + state->patience, state->notBefore));
    state->timer.async_wait([state](const boost::system::error_code &error) {
        if (error || state->stopped || state->running || state->accepted) {
            return;
        }
        if (!state->waiting) {
            state->lastProgress = Clock::now();
        }
        if (Clock::now() < state->lastProgress + state->patience) {
            startTimer(state);
            return;
        }
        state->running = true;
        state->cancelled = false;
        asio::co_spawn(state->executor, runAttempt(state), asio::detached);
    });
}

asio::awaitable<void> Handover::runAttempt(std::shared_ptr<State> state)
{
    bool accepted = false;
    try {
        accepted = co_await state->attempt(state->next);
    } catch (const std::exception &error) {
        logRequest(state->request, LogLevel::Error, "attempt at another target failed", {{"detail", error.what()}});
    }
    state->running = false;
    if (accepted && !state->cancelled) {
        state->accepted = true;
        if (state->current.connection) {
            state->current.connection->abort();
        }
    } else {
        abortExchange(state->request, state->next);
        state->notBefore = Clock::now() + retryInterval;
        startTimer(state);
    }
    state->ended.cancel();
}

void Handover::setPatience(milliseconds patience)
{
    m_state->patience = patience;
    m_state->timer.cancel();
    startTimer(m_state);
}

void Handover::beginWait()
{
    m_state->lastProgress = Clock::now();
    m_state->waiting = true;
}

void Handover::recordProgress()
{
    m_state->lastProgress = Clock::now();
    m_state->waiting = false;
    if (m_state->running && !m_state->cancelled) {
        m_state->cancelled = true;
        if (m_state->next.connection) {
            m_state->next.connection->abort();
        }
    }
}

bool Handover::isPending() const
{
    return m_state->running;
}

bool Handover::isAccepted() const
{
    return m_state->accepted;
}

asio::awaitable<bool> Handover::settle()
{
    while (m_state->running) {
        co_await m_state->ended.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (!m_state->accepted) {
        co_return false;
    }
    abortExchange(m_state->request, m_state->current);
    m_state->current = std::move(m_state->next);
    m_state->next = {};
    m_state->accepted = false;
    m_state->waiting = false;
    m_state->lastProgress = Clock::now();
    startTimer(m_state);
    co_return true;
}

asio::awaitable<void> Handover::stop()
{
    m_state->stopped = true;
    m_state->timer.cancel();
    recordProgress();
    while (m_state->running) {
        co_await m_state->ended.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    abortExchange(m_state->request, m_state->next);
}

} // namespace snipehill
