#include "targethealth.h"

#include <connection/httpclient.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds probeTimeout{500};
constexpr milliseconds probeHold{50}; //!< a connection that stays open for this long leads to a live target
constexpr milliseconds probeRetryDelay{20};
constexpr int probesAfterFailure = 3; //!< more than one, because a crashing process may still accept connections for a moment
constexpr milliseconds watchInterval{100};

} // namespace

struct TargetHealth::State
{
    asio::any_io_executor executor;
    Endpoint target;
    std::function<void()> changed;
    std::atomic<bool> up{true};
    std::atomic<std::uint64_t> epoch{0};
    std::atomic<bool> stopped{false};
    std::mutex lock;
    std::map<AttemptId, std::uint64_t> inFlight;
    std::map<AttemptId, std::uint64_t> lastCrash; //!< requests in flight when the target last crashed
};

TargetHealth::TargetHealth(asio::any_io_executor executor, Endpoint target, std::function<void()> changed) : m_state(std::make_shared<State>())
{
    m_state->executor = std::move(executor);
    m_state->target = std::move(target);
    m_state->changed = std::move(changed);
}

TargetHealth::~TargetHealth() = default;

bool TargetHealth::isUp() const noexcept
{
    return m_state->up;
}

std::uint64_t TargetHealth::epoch() const noexcept
{
    return m_state->epoch;
}

void TargetHealth::addInFlight(AttemptId attempt, std::uint64_t fingerprint)
{
    const std::lock_guard lock(m_state->lock);
    m_state->inFlight[attempt] = fingerprint;
}

void TargetHealth::removeInFlight(AttemptId attempt)
{
    const std::lock_guard lock(m_state->lock);
    m_state->inFlight.erase(attempt);
}

asio::awaitable<bool> TargetHealth::probe(std::shared_ptr<State> state)
{
    HttpConnection connection(co_await asio::this_coro::executor);
    Reason reason;
    bool alive = co_await connection.connect(state->target, probeTimeout, reason);
    if (alive) {
        // A proxy in between may accept the connection for a target that is down, and then close it at once.
        alive = co_await connection.staysOpen(probeHold);
    }
    connection.abort();
    co_return alive;
}

asio::awaitable<FailureDiagnosis> TargetHealth::diagnoseFailure(AttemptId attempt)
{
    const auto state = m_state;
    bool alive = true;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (int i = 0; i < probesAfterFailure && alive && state->up; ++i) {
        timer.expires_after(probeRetryDelay);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        alive = co_await probe(state);
    }
    bool crashDetected = false;
    FailureDiagnosis diagnosis;
    {
        const std::lock_guard lock(state->lock);
        if (!alive && state->up.exchange(false)) {
            state->lastCrash = state->inFlight;
            crashDetected = true;
        }
        diagnosis.crashed = state->lastCrash.contains(attempt);
        if (diagnosis.crashed) {
            for (const auto &[id, fingerprint] : state->lastCrash) {
                diagnosis.inFlight.push_back(fingerprint);
            }
        }
    }
    if (crashDetected) {
        state->changed();
    }
    co_return diagnosis;
}

asio::awaitable<void> TargetHealth::watch(std::shared_ptr<State> state)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!state->stopped) {
        if (!state->up) {
            const bool alive = co_await probe(state);
            if (alive) {
                ++state->epoch;
                state->up = true;
                state->changed();
            }
        }
        timer.expires_after(watchInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void TargetHealth::start()
{
    asio::co_spawn(asio::make_strand(m_state->executor), watch(m_state), asio::detached);
}

void TargetHealth::stop()
{
    m_state->stopped = true;
}

} // namespace snipehill
