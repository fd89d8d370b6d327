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

/** A process whose configuration can be asked for. */
struct ConfigPeer
{
    std::string instance;
    std::string region;
    Endpoint link; //!< its link server
    bool keyed = false; //!< serves keyed routes: an entry
};

/** What a follower needs to know; filled from the settings. */
struct ConfigFollowerOptions
{
    std::string instance;
    std::string region;
    bool keyed = false; //!< this process serves keyed routes: an entry
    Endpoint log;
    TreeLimits tree;
    std::vector<Endpoint> seeds; //!< link servers to ask before the instance list is known
    milliseconds freshness{3000}; //!< age of contact up to which keyed routes are served
    milliseconds longPoll{1200}; //!< wait of one read of the log; well below the freshness
    milliseconds retryDelay{200}; //!< pause after a failed read
    milliseconds peerTimeout{500}; //!< of one call to a peer
    milliseconds pullInterval{1000}; //!< keyed members of the tree ask their parent this often to prove freshness
    milliseconds pushInterval{1500}; //!< members of the tree tell children that don't ask this often when nothing changes
    milliseconds retention{600000}; //!< for which the log keeps records
};

/** Called after each change with the new version, on an I/O thread; must not block. */
using ConfigObserver = std::function<void(const ConfigPointer &)>;

/**
 * Keeps this process's configuration up to date and knows how fresh it is.
 *
 * Reads the config stream, or is told of changes by a peer in large fleets; while the log is away it takes
 * the newest copy that peers hold. Never goes back to a lower offset. current() and freshness() may be
 * called by any thread; the loops run on the executor. Must outlive its loops: stop(), then end the
 * io_context, before destruction.
 */
class ConfigFollower
{
public:
    ConfigFollower(ConfigFollowerOptions options, const boost::asio::any_io_executor &executor, PeerCall call);
    ~ConfigFollower();

    /** Tells of the other live processes; may be called at any time, as the instance list changes. */
    void setPeers(std::vector<ConfigPeer> peers);
    /** To be called before start(). */
    void onChange(ConfigObserver observer);
    /** To be called before start(). */
    void onApply(ApplyObserver observer);
    /** Adds config.read, config.advance and config.status; to be called before the process serves. */
    void registerMethods(RpcMethods &methods);

    void start();
    void stop();

    /** Configuration in force here; offset noOffset and empty until the first one arrives. Never null. */
    ConfigPointer current() const;
    /** Latest moment at which the configuration was known to be the log's newest. */
    std::optional<TimePoint> lastContact() const;
    /** Whether keyed routes may be served (see mayServeKeyed). */
    Freshness freshness(TimePoint now) const;
    /** True once a configuration was received, so that the process may turn ready. */
    bool ready() const;
    /**
     * Appends a snapshot if one is due; to be called every few seconds by the holder of the snapshot lease.
     * False with a reason if one was due and the log did not answer.
     */
    boost::asio::awaitable<bool> appendSnapshotIfDue(Reason &reason);
    /** Offset, digest, freshness and age of contact, for status pages. */
    Json::Value status(TimePoint now) const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace snipehill
