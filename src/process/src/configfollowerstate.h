#pragma once

#include <process/configfollower.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <set>

namespace snipehill
{

/** Number of peers to pull from when the contact with the log is late; all peers in fleets up to this size. */
constexpr std::size_t peerSampleSize = 32;

/** Shared by ConfigFollower and its loops, so that it lives until the last of them ends. */
struct ConfigFollower::State : std::enable_shared_from_this<ConfigFollower::State>
{
    State(ConfigFollowerOptions followerOptions, const boost::asio::any_io_executor &executor, PeerCall peerCall);

    const ConfigFollowerOptions options;
    const PeerCall call;
    ConfigObserver changeObserver; //!< set before start()
    ApplyObserver applyObserver; //!< set before start()
    std::atomic<bool> stopped{false};

    mutable std::mutex mutex; //!< guards the members from here to becameReady
    ConfigReplica replica;
    ConfigPointer current = std::make_shared<const ConfigVersion>();
    std::vector<ConfigPeer> peers; //!< sorted by hash, so that the first ones are a random sample
    TreePosition position{.readsLog = true};
    std::optional<TimePoint> parentContactAt; //!< last time a parent pushed or any pull was answered
    mutable bool becameReady = false;

    std::mutex notifyMutex; //!< serialises calls of the observer, so that it sees offsets in order
    Offset notified = noOffset;

    boost::asio::strand<boost::asio::any_io_executor> strand; //!< runs the loops and guards the members below
    boost::asio::steady_timer logTimer;
    boost::asio::steady_timer peerTimer;
    boost::asio::steady_timer relayTimer;
    bool pushPending = false;
    std::set<Endpoint> pulling; //!< config.read calls in flight
    std::set<std::string> pushing; //!< config.advance calls in flight, by instance
    std::map<std::string, Offset> childOffsets;
    std::optional<TimePoint> freshnessPulledAt; //!< last pull from the parent to prove freshness

    /** Puts the configuration of the replica into force; must be called without holding the mutex. */
    void publish();
    /** Runs the function on the replica under the mutex and publishes if it returns that the configuration changed. */
    bool change(const std::function<bool(ConfigReplica &)> &function);
    Freshness freshnessAt(TimePoint now) const;
    std::vector<std::string> sampleNames() const;
    std::optional<Endpoint> linkOf(const std::string &instance) const;
    void wakeRelay();

    boost::asio::awaitable<void> readLoop();
    boost::asio::awaitable<bool> readOnce();
    boost::asio::awaitable<void> peerLoop();
    boost::asio::awaitable<void> relayLoop();
    boost::asio::awaitable<void> pullFrom(Endpoint peer);
    boost::asio::awaitable<void> pushTo(std::string instance, Endpoint peer);
    boost::asio::awaitable<void> pause(boost::asio::steady_timer &timer, milliseconds time);

    bool readsLog(TimePoint now) const;
    std::vector<Endpoint> peersToPullFrom(TimePoint now);
    bool needsPush(const ConfigPeer &child) const;
    void pushToChildren();
    std::optional<Json::Value> handleRead(const Json::Value &params);
    std::optional<Json::Value> handleAdvance(const Json::Value &params);
};

} // namespace snipehill
