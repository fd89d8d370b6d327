#pragma once

#include <connection/endpoint.h>
#include <connection/rpc.h>
#include <core/time.h>
#include <process/configreplica.h>
#include <process/configtree.h>
#include <process/freshness.h>
#include <version/configapply.h>
#include <version/configversion.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <json/value.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipehill
{

/** A process from which the configuration can be pulled. */
struct ConfigPeer
{
    std::string instance;
    std::string region;
    Endpoint link; //!< address of its link server
    bool keyed = false; //!< an entry, which serves keyed routes
};

/** Options of a ConfigFollower; filled from the settings. */
struct ConfigFollowerOptions
{
    std::string instance;
    std::string region;
    bool keyed = false; //!< this process is an entry, which serves keyed routes
    Endpoint log;
    TreeLimits tree;
    std::vector<Endpoint> seeds; //!< link servers to pull from before the instance list is known
    milliseconds freshness{3000}; //!< longest time since the last contact during which keyed routes are served
    milliseconds longPoll{1200}; //!< wait time of one read of the log; well below freshness
    milliseconds retryDelay{200}; //!< pause after a failed read
    milliseconds peerTimeout{500}; //!< timeout of one call to a peer
    milliseconds pullInterval{1000}; //!< keyed members of the tree pull from their parent at this interval to prove freshness
    milliseconds pushInterval{1500}; //!< members of the tree push to children that don't pull at this interval if nothing changes
    milliseconds retention{600000}; //!< time for which the log keeps records
};

/** Called after each change with the new version, on an I/O thread; must not block. */
using ConfigObserver = std::function<void(const ConfigPointer &)>;

/**
 * Keeps the configuration of this process up to date and tracks how fresh it is.
 *
 * Reads the config stream, or in large fleets receives changes from a peer; while the log is unavailable it takes the newest
 * copy that its peers have. Never goes back to a lower offset. current() and freshness() may be called from any thread; the
 * loops run on the executor. Must outlive its loops: before destruction call stop(), then end the io_context.
 */
class ConfigFollower
{
public:
    ConfigFollower(ConfigFollowerOptions options, const boost::asio::any_io_executor &executor, PeerCall call);
    ~ConfigFollower();

    /** Sets the other live processes; may be called at any time, as the instance list changes. */
    void setPeers(std::vector<ConfigPeer> peers);
    /** Must be called before start(). */
    void onChange(ConfigObserver observer);
    /** Must be called before start(). */
    void onApply(ApplyObserver observer);
    /** Registers config.read, config.advance and config.status; must be called before the process serves. */
    void registerMethods(RpcMethods &methods);

    void start();
    void stop();

    /** Configuration in force in this process; empty and with offset noOffset until the first one arrives. Never null. */
    ConfigPointer current() const;
    /** Latest time at which the configuration was known to be the newest in the log. */
    std::optional<TimePoint> lastContact() const;
    /** Whether keyed routes may be served (see mayServeKeyed). */
    Freshness freshness(TimePoint now) const;
    /** True once the configuration has been known not to be stale, from which time on the process may report that it is ready. */
    bool ready() const;
    /**
     * Appends a snapshot if one is due; called every few seconds by the holder of the snapshot lease.
     * False with a reason if one was due and the log did not respond.
     */
    boost::asio::awaitable<bool> appendSnapshotIfDue(Reason &reason);
    /** Offset, digest, freshness and time since the last contact, for status pages. */
    Json::Value status(TimePoint now) const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace snipehill
