#include "directpeers.h"

#include "directspeeds.h"
#include "storereader.h"

#include <process/log.h>
#include <process/metrics.h>
#include <process/pause.h>
#include <process/peerupdate.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <memory>
#include <random>

namespace snipehill
{

namespace asio = boost::asio;
using Udp = asio::ip::udp;

namespace
{

constexpr const char *entriesTopic = "keyed.entries"; //!< maps each instance to its address for peer updates
constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds storeTimeout{1000};
constexpr milliseconds minUpdateInterval{100}; // predicted waits change by about this much between two updates
constexpr milliseconds updateIntervalPerPeer{4}; // bounds the datagram rate of an entry regardless of the number of entries
constexpr milliseconds usageInterval{1000}; // same interval as publishing counts to the store
constexpr milliseconds lookupInterval{20000}; // can be long: a starting entry finds the others and sends them updates
constexpr milliseconds firstLookupInterval{300}; // while entries that started together register
constexpr int firstLookups = 8;
constexpr milliseconds clockComparisonTime{2500}; // after the start; the others find a new entry and state their time within it
constexpr milliseconds eraCheckInterval{200}; // needs no call
constexpr milliseconds registrationSpread{1000}; // bounds the rate at which many entries register again; shorter than the first lookups of a starting entry
constexpr seconds peerTimeout{3}; // an entry without updates for this time counts as gone
constexpr int silentPeerProbeRounds = 20; // silent entries get one update in this many rounds, in case they return
constexpr std::size_t maxDatagramBytes = 65507;
constexpr int maxPrivateUpdates = 8; // to starting entries in one round; bounds the time and the bytes of a round when many start

/** Another entry, registered in the store or known from an update. */
struct Peer
{
    Udp::endpoint endpoint;
    TimePoint lastHeard{};
};

/** UDP socket and known peers. Used only on the control thread. */
struct PeerExchange
{
    explicit PeerExchange(PeerContext &peerContext, const asio::any_io_executor &executor) : context(peerContext), socket(executor) { }

    PeerContext &context;
    Udp::socket socket;
    std::map<std::string, Peer> peers;
    ClockReadings clocks;
    TimePoint started = Clock::now();
    bool clockSettled = false;
    std::uint64_t rounds = 0;
    TimePoint lastUsageSent{};
    bool partitioned = false; //!< as last seen by the quotas
};

using PeerExchangePointer = std::shared_ptr<PeerExchange>;

bool openSocket(PeerExchange &exchange, Reason &reason)
{
    const DirectSettings &settings = exchange.context.settings;
    boost::system::error_code error;
    const auto address = asio::ip::make_address(settings.callers.address, error);
    if (!error) {
        exchange.socket.open(Udp::v4(), error);
    }
    if (!error) {
        exchange.socket.bind({address, settings.firstPort}, error);
    }
    if (error) {
        reason = {Step::Settings, settings.callers.address, "socket for peer updates: " + error.message()};
    }
    return !error;
}

void updatePeer(PeerExchange &exchange, const platform::StoreRecord &record, TimePoint now)
{
    if (record.key == exchange.context.settings.instance) {
        return;
    }
    const auto known = exchange.peers.find(record.key);
    if (known != exchange.peers.end() && now - known->second.lastHeard <= peerTimeout) {
        // Its updates show where it is; the record may be of an earlier run.
        return;
    }
    Reason reason;
    const auto endpoint = parseEndpoint(record.value, reason);
    boost::system::error_code error;
    const auto address = endpoint ? asio::ip::make_address(endpoint->address, error) : asio::ip::address();
    if (!endpoint || error) {
        exchange.peers.erase(record.key);
        return;
    }
    Peer &peer = exchange.peers[record.key];
    peer.endpoint = {address, endpoint->port};
}

/** Writes this entry's address to the store; returns the era of the store in which it is known to be written. */
asio::awaitable<LogEra> registerSelf(PeerExchange &exchange)
{
    const DirectSettings &settings = exchange.context.settings;
    const platform::StoreClient &store = exchange.context.store;
    while (!exchange.context.stopped) {
        std::vector<platform::StoreRecord> records;
        records.push_back({.key = settings.instance, .value = toString(Endpoint{settings.callers.address, settings.firstPort})});
        Reason reason;
        const LogEra eraBefore = store.era();
        const auto appended = co_await exchange.context.store.append(entriesTopic, std::move(records), storeTimeout, reason);
        if (appended) {
            co_return eraBefore == 0 ? store.era() : eraBefore;
        }
        logEvent(LogComponent::Members, LogLevel::Warning, "entry registration failed, will retry", reason);
        co_await pauseFor(firstLookupInterval);
    }
    co_return store.era();
}

/** Pauses until the next lookup is due or the store has come back from an older copy since the given era. */
asio::awaitable<void> pauseWithinEra(const PeerExchange &exchange, LogEra era, milliseconds time)
{
    const TimePoint end = Clock::now() + time;
    while (Clock::now() < end && exchange.context.store.era() == era && !exchange.context.stopped) {
        const auto remaining = std::chrono::ceil<milliseconds>(end - Clock::now());
        co_await pauseFor(std::min(remaining, eraCheckInterval));
    }
}

milliseconds randomPart(milliseconds time)
{
    thread_local std::minstd_rand generator(std::random_device{}());
    return milliseconds(std::uniform_int_distribution<milliseconds::rep>(0, time.count())(generator));
}

/** Registers this entry, again after the store came back from an older copy, and keeps reading the registrations of the others. */
asio::awaitable<void> followRegistrations(PeerExchangePointer exchange)
{
    platform::StoreClient &store = exchange->context.store;
    LogEra registeredIn = co_await registerSelf(*exchange);
    StoreReader reader{.topic = entriesTopic};
    for (int lookups = 0; !exchange->context.stopped; ++lookups) {
        if (store.era() != registeredIn) {
            co_await pauseFor(randomPart(registrationSpread));
            registeredIn = co_await registerSelf(*exchange);
        }
        Reason reason;
        const auto page = co_await readNextPage(reader, store, milliseconds(0), storeTimeout, reason);
        if (page) {
            if (page->afterOlderCopy) {
                logReaderRestart("registrations", *page, {{"entries", page->page.records.size()}, {"kept", exchange->peers.size()}});
            }
            for (const platform::StoreRecord &record : page->page.records) {
                updatePeer(*exchange, record, Clock::now());
            }
        }
        const milliseconds laterInterval = isBehindEra(reader, store) ? registrationSpread : lookupInterval;
        co_await pauseWithinEra(*exchange, registeredIn, lookups < firstLookups ? firstLookupInterval : laterInterval);
    }
}

/** Adds unpublished counts to the update, so that reports stay complete if only this entry cannot reach the store. */
void addUnpublishedUsage(UsageCounter &usage, PeerUpdate &update)
{
    update.wallTime = usage.wallTime();
    update.openWindow = usage.currentWindow();
    if (const auto usageCounts = usage.unpublished()) {
        update.openWindow = usageCounts->openWindow;
        for (const auto &[source, totals] : usageCounts->rows) {
            update.usage[source.window] = totals;
        }
    }
}

void applyPeerUsage(MergedUsage &counts, const PeerUpdate &update, TimePoint now)
{
    recordHeard(counts, update.sender, now);
    mergeFinalFigures(counts.finalFigures, update.finalUsage);
    if (update.openWindow == 0) {
        return;
    }
    PublishedUsage usageCounts{.openWindow = update.openWindow};
    for (const auto &[window, totals] : update.usage) {
        usageCounts.rows[{update.sender, window}] = totals;
    }
    mergeUsage(counts, update.sender, usageCounts);
}

/** Records what the clock of another entry shows and corrects one's own if most of the others disagree with it. */
void compareClocks(PeerExchange &exchange, const PeerUpdate &update, TimePoint now)
{
    if (update.wallTime == std::chrono::system_clock::time_point{}) {
        return;
    }
    const Duration ahead = update.wallTime - exchange.context.usage.wallTime();
    exchange.clocks[update.sender.instance] = {ahead, now};
    std::erase_if(exchange.clocks, [now](const auto &clock) {
        return now - clock.second.heardAt > peerTimeout;
    });
    const Duration correction = clockCorrection(exchange.clocks, now - peerTimeout);
    if (correction == Duration::zero()) {
        return;
    }
    exchange.context.usage.correctClock(correction);
    for (auto &[instance, reading] : exchange.clocks) {
        reading.ahead -= correction;
    }
    logEvent(LogComponent::Usage,
             LogLevel::Warning,
             "clock corrected by those of the other entries",
             {{"byMs", std::chrono::duration_cast<milliseconds>(correction).count()}, {"entries", exchange.clocks.size()}});
}

/** Ends the time after the start in which the windows of counted requests are not decided, because the clock may still be corrected. */
void settleClock(PeerExchange &exchange, TimePoint now)
{
    if (!exchange.clockSettled && now - exchange.started >= clockComparisonTime) {
        exchange.clockSettled = true;
        exchange.context.usage.settleClock();
    }
}

/** Takes part in the exchange of cache knowledge: queues it for a starting entry and logs what was taken over from the sender. */
void exchangeCacheKnowledge(PeerExchange &exchange, const PeerUpdate &update, const PeerUpdateEffect &effect, TimePoint now)
{
    CacheContext &caches = exchange.context.caches;
    if (effect.heldPartTargets > 0) {
        processMetrics().count(Counter::CacheLists, {"from_peer"}, static_cast<double>(effect.heldPartTargets));
        logDistinctEvent(LogComponent::Entry,
                         LogLevel::Info,
                         "cache knowledge taken over",
                         {{"from", update.sender.instance}, {"targets", effect.heldPartTargets}, {"parts", effect.newHeldParts}});
    }
    const auto known = caches.exchange.peers.find(update.sender.instance);
    std::vector<std::string> engines; // needed only for a new incarnation
    if (known == caches.exchange.peers.end() || known->second.incarnation != update.sender.number) {
        for (const TargetEntry &engine : listEngines(caches)) {
            engines.push_back(engine.id);
        }
    }
    const QueuedKnowledge queued = recordPeer(caches.exchange, caches.targets, update.sender, engines, now);
    if (queued.targets > 0) {
        logDistinctEvent(LogComponent::Entry,
                         LogLevel::Info,
                         "cache knowledge sent to a starting entry",
                         {{"entry", update.sender.instance}, {"targets", queued.targets}, {"parts", queued.parts}, {"blocks", queued.blocks}});
    }
}

/** Lets the quotas see which entries are silent, and logs when all of them become so or are heard again. */
void checkQuotaPeers(PeerExchange &exchange, TimePoint now)
{
    const QuotaPeers peers = exchange.context.quotas.checkPeers(now);
    if (peers.partitioned != exchange.partitioned) {
        exchange.partitioned = peers.partitioned;
        logEvent(LogComponent::Members,
                 peers.partitioned ? LogLevel::Warning : LogLevel::Info,
                 peers.partitioned ? "no entry is heard, quotas count the others at their last rates" : "quotas no longer assume a partition",
                 {{"peers", peers.counted}});
    }
}

asio::awaitable<void> receive(PeerExchangePointer exchange)
{
    const auto buffer = std::make_unique<std::array<char, maxDatagramBytes>>();
    while (!exchange->context.stopped) {
        Udp::endpoint from;
        auto [error, size] = co_await exchange->socket.async_receive_from(asio::buffer(*buffer), from, useTuple);
        if (error == asio::error::operation_aborted || !exchange->socket.is_open()) {
            co_return;
        }
        Reason reason;
        const auto update = error ? std::nullopt : decodePeerUpdate({buffer->data(), size}, reason);
        if (!update || update->sender == exchange->context.usage.self()) {
            continue;
        }
        const TimePoint now = Clock::now();
        Peer &peer = exchange->peers[update->sender.instance];
        if (now - peer.lastHeard > peerTimeout) {
            logEvent(LogComponent::Members, LogLevel::Info, "entry heard", {{"entry", update->sender.instance}, {"incarnation", update->sender.number}});
        }
        peer.endpoint = from;
        peer.lastHeard = now;
        const PeerUpdateEffect effect = exchange->context.targets.applyPeerUpdate(*update, now);
        for (const std::string &engine : effect.roleChanges) {
            logEvent(LogComponent::Roles, LogLevel::Info, "engine role change announced", {{"target", engine}, {"toldBy", update->sender.instance}});
        }
        for (const std::string &target : effect.leaving) {
            processMetrics().count(Counter::TargetStatements, {"leaving_by_peer"});
            logEvent(
                LogComponent::Members, LogLevel::Info, "target leaves, as another entry was told", {{"target", target}, {"toldBy", update->sender.instance}});
        }
        exchangeCacheKnowledge(*exchange, *update, effect, now);
        compareClocks(*exchange, *update, now);
        applyPeerUsage(exchange->context.counts, *update, now);
        exchange->context.crashes.mergeReports(update->crashes, now);
        exchange->context.quotas.applyPeerUpdate(*update, now);
    }
}

/** Encodes the update, to which as much of the queue is added as the datagram has room for. */
std::string encodeWithKnowledge(PeerUpdate &update, CacheKnowledge &queue)
{
    std::string bytes = encodePeerUpdate(update);
    if (isEmpty(queue) || bytes.size() >= maxUpdateBytes) {
        return bytes;
    }
    moveToUpdate(queue, update, maxUpdateBytes - bytes.size());
    return encodePeerUpdate(update);
}

/** Sends an update to the peers; returns the number of peers heard from recently. */
asio::awaitable<std::size_t> sendPeerUpdate(PeerExchange &exchange)
{
    const TimePoint now = Clock::now();
    PeerUpdate update{.sender = exchange.context.usage.self()};
    exchange.context.targets.fillPeerUpdate(update, now);
    update.crashes = exchange.context.crashes.takeReports(now);
    if (now - exchange.lastUsageSent >= usageInterval) {
        exchange.lastUsageSent = now;
        addUnpublishedUsage(exchange.context.usage, update);
    }
    update.finalUsage = takeFinalFigures(exchange.context.counts.finalFigures, now);
    checkQuotaPeers(exchange, now);
    exchange.context.quotas.fillPeerUpdate(update, now);
    const std::string bytes = encodeWithKnowledge(update, exchange.context.caches.exchange.announcements);
    const bool probe = ++exchange.rounds % silentPeerProbeRounds == 0;
    std::vector<std::string> activePeers;
    std::vector<std::pair<Udp::endpoint, std::string>> receivers; // with their datagrams
    int privateUpdates = 0;
    for (const auto &[instance, peer] : exchange.peers) {
        const bool silent = now - peer.lastHeard > peerTimeout;
        if (!silent) {
            activePeers.push_back(instance);
        }
        if (!silent || probe) {
            const auto starting = exchange.context.caches.exchange.peers.find(instance);
            const bool hasQueue = !silent && starting != exchange.context.caches.exchange.peers.end() && !isEmpty(starting->second.queue);
            const bool isPrivate = hasQueue && privateUpdates++ < maxPrivateUpdates;
            PeerUpdate privateUpdate = isPrivate ? update : PeerUpdate{};
            receivers.emplace_back(peer.endpoint, isPrivate ? encodeWithKnowledge(privateUpdate, starting->second.queue) : bytes);
        }
    }
    exchange.context.crashes.setPeers(exchange.context.settings.instance, activePeers);
    for (const auto &[receiver, datagram] : receivers) {
        auto [error, sent] = co_await exchange.socket.async_send_to(asio::buffer(datagram), receiver, useTuple);
        if (error) {
            logEvent(LogComponent::Members, LogLevel::Warning, "peer update not sent", {{"peer", receiver.address().to_string()}, {"detail", error.message()}});
        }
    }
    co_return activePeers.size();
}

} // namespace

asio::awaitable<void> exchangePeerUpdates(PeerContext &context)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto exchange = std::make_shared<PeerExchange>(context, executor);
    Reason reason;
    if (!openSocket(*exchange, reason)) {
        logEvent(LogComponent::Members, LogLevel::Error, "cannot exchange updates with other entries", reason);
        context.stopped = true;
        co_return;
    }
    asio::co_spawn(executor, followRegistrations(exchange), asio::detached);
    asio::co_spawn(executor, receive(exchange), asio::detached);
    TimePoint lastSpeedLog = Clock::now();
    while (!context.stopped) {
        if (Clock::now() - lastSpeedLog >= speedLogInterval) {
            lastSpeedLog = Clock::now();
            logSpeeds(context.targets, lastSpeedLog);
        }
        settleClock(*exchange, Clock::now());
        const std::size_t activePeers = co_await sendPeerUpdate(*exchange);
        context.budgets.setEntryCount(activePeers + 1);
        context.leases.setCandidates(activePeers + 1);
        co_await pauseFor(std::max(minUpdateInterval, updateIntervalPerPeer * static_cast<std::int64_t>(activePeers)));
    }
    exchange->socket.close();
}

} // namespace snipehill
