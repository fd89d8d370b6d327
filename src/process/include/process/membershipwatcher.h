#pragma once

#include <connection/endpoint.h>
#include <core/reason.h>
#include <core/time.h>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipehill
{

/** One process of the system, as given in the platform's instance list. */
struct Member
{
    std::string instance;
    std::string role; //!< "entry" or "sidecar"
    Endpoint link; //!< for links between processes
    Endpoint admin; //!< admin server
    std::string region;
    std::string failureDomain;
    std::string targetGroup; //!< sidecars only
    bool leaving = false;
};

using MemberList = std::shared_ptr<const std::vector<Member>>;

/** Parses the response of the instance list; empty with a reason if it is malformed. Invalid items are skipped and logged. */
std::optional<std::vector<Member>> parseInstanceList(std::string_view text, Reason &reason);

/**
 * Polls the platform's instance list. The list may lag behind reality or be unavailable; the last valid response stays
 * in use until a new one arrives. snapshot() may be called from any thread. The observer runs on an I/O thread after each
 * change. Must outlive the run of the executor.
 */
class MembershipWatcher
{
public:
    MembershipWatcher(Endpoint list, milliseconds poll, boost::asio::any_io_executor executor);
    ~MembershipWatcher();
    MembershipWatcher(const MembershipWatcher &) = delete;
    MembershipWatcher &operator=(const MembershipWatcher &) = delete;

    /** Sets the observer. Call before start(). */
    void onChange(std::function<void(const MemberList &)> observer);
    void start();
    void stop();
    /** The current members; never null, empty until the first response. */
    MemberList snapshot() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace snipehill
