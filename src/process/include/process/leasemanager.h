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
constexpr const char *snapshot = "snapshot"; //!< keeps live records from ageing out
constexpr const char *duties = "duties"; //!< usage reports and orders to engines, where entries do both themselves
std::string targets(const std::string &failureDomain); //!< starts and stops targets
std::string roles(const std::string &targetGroup); //!< gives orders to engines
} // namespace scopes

/** State of one scope for operators. */
struct LeaseStatus
{
    std::string scope;
    LeasePhase phase = LeasePhase::Unread;
    bool valid = false;
    Offset epoch = noOffset; //!< own one
    std::string holder; //!< as the log tells
};

/**
 * Holds or seeks the leases of several scopes over the log service.
 *
 * One reader follows the stream "leases" for all scopes, and the records that are due at one time go out in
 * one append. Thread-safe; start() spawns coroutines that keep the object's state alive until stop().
 */
class LeaseManager
{
public:
    LeaseManager(boost::asio::any_io_executor executor, LogAccess log, Incarnation self, LeaseSettings settings);
    ~LeaseManager();
    LeaseManager(const LeaseManager &) = delete;
    LeaseManager &operator=(const LeaseManager &) = delete;

    /** Becomes a candidate for a scope; nothing happens if it is one already. */
    void addScope(const std::string &scope);
    void start();
    /** Number of processes that seek the same leases: the more, the less often each reads while another one holds them. */
    void setCandidates(std::size_t candidates);
    /**
     * Believes in nothing any more, waits until the calls that were allowed have ended, and releases what was
     * held if the log answers. Takes at most the bound of one platform call and of one append.
     */
    boost::asio::awaitable<void> stop();

    /** The lease on the scope is believed in for as long as the call may take. Asked right before each platform call. */
    bool mayCall(const std::string &scope, milliseconds callTimeout) const;
    /** Fencing number of the lease last held, also past the end of belief while no successor was read. */
    std::optional<Offset> epoch(const std::string &scope) const;
    /** Highest fencing number of a scope as the log tells; empty until the stream was read once to its end. */
    std::optional<Offset> highestKnownEpoch(const std::string &scope) const;
    const Incarnation &self() const noexcept;
    std::vector<LeaseStatus> status() const;

    struct State;

private:
    std::shared_ptr<State> m_state;
};

} // namespace snipehill
