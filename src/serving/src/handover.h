#pragma once

#include "directexchange.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace snipehill
{

/**
 * Lets another target take over an exchange whose target is silent, without giving up the silent one first.
 *
 * After a period of silence the attempt is started beside the current exchange. Once the other target has accepted the
 * request, the current connection is aborted, so that a pending read on it ends, and settle() replaces the exchange. If the
 * attempt fails, or if the current target is heard again before that, nothing is lost and the current exchange goes on.
 *
 * Owned by the coroutine that serves the request and used on its executor only. Call settle() before the end of its life.
 */
class Handover
{
public:
    /**
     * Sends the request to another target and waits for the head of the response.
     *
     * @return true if the target accepted the request; the exchange is then open, else it must be closed or empty
     */
    using Attempt = std::function<boost::asio::awaitable<bool>(DirectExchange &)>;

    /** @param patience silence after which an attempt is made; zero: never */
    Handover(const boost::asio::any_io_executor &executor, DirectRequest &request, DirectExchange &current, milliseconds patience, Attempt attempt);
    ~Handover();
    Handover(const Handover &) = delete;
    Handover &operator=(const Handover &) = delete;

    /** Changes the period of silence after which an attempt is made. */
    void setPatience(milliseconds patience);
    /** The current target has sent something; ends a pending attempt. Its silence counts again from beginWait(). */
    void recordProgress();
    /** The next bytes of the current target are awaited. Until then, its data may be delayed by a slow caller. */
    void beginWait();
    /** Whether an attempt is in progress. */
    bool isPending() const;
    /** Whether another target has accepted the request; what still arrives from the current one must not be used. */
    bool isAccepted() const;
    /**
     * Call when the current exchange has failed or ended. Waits for a pending attempt.
     *
     * @return true if another target has taken over; the current exchange is then that with the other target
     */
    boost::asio::awaitable<bool> settle();
    /** Ends a pending attempt, waits for its end and makes no further one. */
    boost::asio::awaitable<void> stop();

private:
    struct State;
    static void startTimer(const std::shared_ptr<State> &state);
    static boost::asio::awaitable<void> runAttempt(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace snipehill
