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

/** Members that are asked for their contact with the log; a fleet up to this size is asked whole. */
constexpr std::size_t sampleSize = 32;

/** Shared by the follower and its loops, so that it outlives whichever ends last. */
struct ConfigFollower::State : std::enable_shared_from_this<ConfigFollower::State>
{
    State(ConfigFollowerOptions followerOptions, const boost::asio::any_io_executor &executor, PeerCall peerCall);

    const ConfigFollowerOptions options;
    const PeerCall call;
    ConfigObserver changeObserver; //!< set before start
    ApplyObserver applyObserver; //!< set before start
    std::atomic<bool> stopped{false};

    mutable std::mutex mutex; //!< guards what follows, up to the strand
    ConfigReplica replica;
    ConfigPointer current = std::make_shared<const ConfigVersion>();
    std::vector<ConfigPeer> peers; //!< in an order that is random with regard to place, so that the first ones are a sample
    TreePosition position{.readsLog = true};
    std::optional<TimePoint> parentContactAt; //!< last sign of life of a parent
    mutable bool everServed = false;

    std::mutex notifyMutex; //!< keeps observers in the order of offsets
    Offset notified = noOffset;

    boost::asio::strand<boost::asio::any_io_executor> strand; //!< runs the loops and guards what follows
    boost::asio::steady_timer logTimer;
    boost::asio::steady_timer peerTimer;
    boost::asio::steady_timer relayTimer;
    bool relayDirty = false;
    std::set<Endpoint> asking; //!< calls in flight
    std::set<std::string> telling; //!< calls in flight, by instance
    std::map<std::string, Offset> childOffsets;
    std::optional<TimePoint> pulledAt; //!< last question for the sake of freshness

    /** Puts what the holding has into force; to be called after the lock was released. */
    void publish();
    /** Runs the function on the holding under the lock and publishes if it says that the configuration moved. */
    bool change(const std::function<bool(ConfigReplica &)> &function);
    Freshness judge(TimePoint now) const;
    std::vector<std::string> sampleNames() const;
    std::optional<Endpoint> linkOf(const std::string &instance) const;
    void wakeRelay();

    boost::asio::awaitable<void> readLoop();
    boost::asio::awaitable<bool> readOnce();
    boost::asio::awaitable<void> peerLoop();
    boost::asio::awaitable<void> relayLoop();
    boost::asio::awaitable<void> ask(Endpoint peer);
    boost::asio::awaitable<void> tell(std::string instance, Endpoint peer);
    boost::asio::awaitable<void> pause(boost::asio::steady_timer &timer, milliseconds time);

    bool readsLog(TimePoint now) const;
    std::vector<Endpoint> peersToAsk(TimePoint now);
    bool needsTelling(const ConfigPeer &child) const;
    void tellChildren();
    std::optional<Json::Value> answerRead(const Json::Value &params);
    std::optional<Json::Value> answerAdvance(const Json::Value &params);
};

} // namespace snipehill
