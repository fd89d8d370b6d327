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

/** One process of the system, as the platform's instance list shows it. */
struct Member
{
    std::string instance;
    std::string role; //!< "entry" or "sidecar"
    Endpoint link;
    Endpoint admin;
    std::string region;
    std::string failureDomain;
    std::string targetGroup; //!< sidecars only
    bool leaving = false;
};

using MemberList = std::shared_ptr<const std::vector<Member>>;

/** Parses the answer of the instance list; entries that lack a field are left out and logged. */
std::optional<std::vector<Member>> parseInstanceList(std::string_view text, Reason &reason);

/**
 * Follows the platform's instance list, which lags and has outages; the last answer stays in force meanwhile.
 * snapshot() from any thread. Observers run on an I/O thread after each change. Must outlive the executor's run.
 */
class MembershipWatcher
{
public:
    MembershipWatcher(Endpoint list, milliseconds poll, boost::asio::any_io_executor executor);
    ~MembershipWatcher();
    MembershipWatcher(const MembershipWatcher &) = delete;
    MembershipWatcher &operator=(const MembershipWatcher &) = delete;

    /** To be called before start(). */
    void onChange(std::function<void(const MemberList &)> observer);
    void start();
    void stop();
    /** Never null; empty until the first answer. */
    MemberList snapshot() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace snipehill
