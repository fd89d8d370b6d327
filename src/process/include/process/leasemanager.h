#pragma once

#include <connection/endpoint.h>
#include <process/leasestatemachine.h>
#include <process/logclient.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipehill
{

/** Names of lease scopes. */
namespace scopes
{
constexpr const char *usage = "usage"; //!< closes and reports usage windows
constexpr const char *snapshot = "snapshot"; //!< keeps live records from being removed by retention
constexpr const char *duties = "duties"; //!< usage reports and engine orders in deployments where the entries do both themselves
std::string targets(const std::string &failureDomain); //!< starts and stops targets
std::string roles(const std::string &targetGroup); //!< sends orders to engines
} // namespace scopes

/** State of one scope as shown to operators. */
struct LeaseStatus
{
    std::string scope;
    LeasePhase phase = LeasePhase::Unread;
    bool valid = false;
    milliseconds validFor{0}; //!< rest of the validity
    LogEra era = 0; //!< era of the log as known to this process; 0 if the log does not tell
    Offset epoch = noOffset; //!< fencing token of this process's lease; noOffset if it has none
    std::string holder; //!< instance that holds the lease according to the log
};

/**
 * Acquires and renews the leases of several scopes through the log service.
 *
 * One reader follows the stream "leases" for all scopes; records that are due at the same time share one append.
 * Thread-safe. start() spawns coroutines that keep the internal state alive until stop().
 */
class LeaseManager
{
public:
    LeaseManager(boost::asio::any_io_executor executor, LogAccess log, Incarnation self, LeaseSettings settings);
    ~LeaseManager();
    LeaseManager(const LeaseManager &) = delete;
    LeaseManager &operator=(const LeaseManager &) = delete;

    /** Makes this process a candidate for a scope; no effect if it already is one. */
    void addScope(const std::string &scope);
    void start();
    /** Sets the number of processes that compete for the same leases. With more candidates, each one that holds no lease reads less often. */
    void setCandidates(std::size_t candidates);
    /**
     * Allows no further calls, waits until the allowed calls have ended, and releases the held leases if the log answers.
     * Takes at most the timeouts of one platform call and one append.
     */
    boost::asio::awaitable<void> stop();

    /** True if the lease on the scope stays valid for the longest duration of the call. To be checked right before each platform call. */
    bool mayCall(const std::string &scope, milliseconds callTimeout) const;
    /** The lease on the scope, if it stays valid for the longest duration of the call. To be checked right before each platform call, like mayCall(). */
    std::optional<LeaseHold> hold(const std::string &scope, milliseconds callTimeout) const;
    /** Fencing token of the lease that is or was last held. Kept after the validity has ended, until another holder's record is read. */
    std::optional<Offset> epoch(const std::string &scope) const;
    /** Fencing token of the scope's latest lease according to the log; empty until the stream was read to its end once. */
    std::optional<Offset> highestKnownEpoch(const std::string &scope) const;
    const Incarnation &self() const noexcept;
    std::vector<LeaseStatus> status() const;

    struct State;

private:
    std::shared_ptr<State> m_state;
};

} // namespace snipehill
