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

/** Finding about an exchange with the target that failed. */
struct FailureDiagnosis
{
    bool crashed = false; //!< the target is gone: nothing listens on its address
    std::vector<std::uint64_t> inFlight; //!< fingerprints of the requests that it ran
};

/**
 * Whether the target beside this sidecar lives, and what it runs. After a failed exchange the target is
 * probed; if it is gone, every request that was on it learns of the same crash. Thread-safe.
 */
class TargetHealth
{
public:
    TargetHealth(boost::asio::any_io_executor executor, Endpoint target, std::function<void()> changed);
    ~TargetHealth();
    TargetHealth(const TargetHealth &) = delete;
    TargetHealth &operator=(const TargetHealth &) = delete;

    bool up() const noexcept;
    /** Rises each time the target came back, with an empty cache. */
    std::uint64_t epoch() const noexcept;
    void addInFlight(AttemptId attempt, std::uint64_t fingerprint);
    void removeInFlight(AttemptId attempt);
    /** Probes the target after a failed exchange; to be called before leave(). */
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
