#pragma once

#include <connection/endpoint.h>
#include <core/ids.h>
#include <core/time.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace snipehill
{

/** What a probe found after a failed exchange with the target. */
struct FailureDiagnosis
{
    bool crashed = false; //!< the target crashed: nothing listens on its address
    std::vector<std::uint64_t> inFlight; //!< fingerprints of the requests that the target ran when it crashed
};

/**
 * Tracks whether the sidecar's target is up, and which requests it runs. The target is probed after a failed exchange;
 * if it is down, the crash is reported to every request that was in flight on it. Thread-safe.
 */
class TargetHealth
{
public:
    TargetHealth(boost::asio::any_io_executor executor, Endpoint target, std::function<void()> changed);
    ~TargetHealth();
    TargetHealth(const TargetHealth &) = delete;
    TargetHealth &operator=(const TargetHealth &) = delete;

    bool isUp() const noexcept;
    /** Increases each time the target comes back up, with an empty cache. */
    std::uint64_t epoch() const noexcept;
    /** Registers a request before it is sent to the target. */
    void addInFlight(AttemptId attempt, std::uint64_t fingerprint);
    void removeInFlight(AttemptId attempt);
    /** Probes the target after a failed exchange. Must be called before removeInFlight(). */
    boost::asio::awaitable<FailureDiagnosis> diagnoseFailure(AttemptId attempt);
    void start();
    void stop();

private:
    struct State;
    static boost::asio::awaitable<bool> probe(std::shared_ptr<State> state);
    static boost::asio::awaitable<void> watch(std::shared_ptr<State> state);
    std::shared_ptr<State> m_state;
};

} // namespace snipehill
