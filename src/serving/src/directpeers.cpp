#include "directpeers.h"

#include <process/log.h>
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

namespace snipehill
{

namespace asio = boost::asio;
using Udp = asio::ip::udp;

namespace
{

constexpr const char *entriesTopic = "keyed.entries"; //!< address for news by instance
constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds storeTimeout{1000};
constexpr milliseconds minNewsInterval{100}; // predicted waits change by about as much between two news
constexpr milliseconds newsIntervalPerPeer{4}; // keeps the datagrams that one entry sends and gets bounded, whatever the number of entries
constexpr milliseconds usageInterval{1000}; // as often as counts are published
constexpr milliseconds lookupInterval{20000}; // an entry that starts finds the others and tells them of itself
constexpr milliseconds firstLookupInterval{300}; // until all that started together have registered
constexpr int firstLookups = 8;
constexpr seconds silentAfter{3}; // an entry that is not heard for so long counts as gone
constexpr int silentProbes = 20; // silent entries get every so manieth news, in case they come back
constexpr std::size_t datagramBytes = 65507;

/** Another entry as the store names it. */
struct Peer
{
    Udp::endpoint endpoint;
    TimePoint heard{};
};

/** Socket and peers; on the control thread. */
struct PeerTalk
{
    explicit PeerTalk(PeerContext &peerContext, const asio::any_io_executor &executor) : context(peerContext), socket(executor) { }

    PeerContext &context;
    Udp::socket socket;
    std::map<std::string, Peer> peers;
    std::uint64_t rounds = 0;
    TimePoint usageTold{};
};

using TalkPointer = std::shared_ptr<PeerTalk>;

bool openSocket(PeerTalk &talk, Reason &reason)
{
    const DirectSettings &settings = talk.context.settings;
    boost::system::error_code error;
    const auto address = asio::ip::make_address(settings.callers.address, error);
    if (!error) {
        talk.socket.open(Udp::v4(), error);
    }
    if (!error) {
        talk.socket.bind({address, settings.firstPort}, error);
    }
    if (error) {
        reason = {Step::Settings, settings.callers.address, "socket for news: " + error.message()};
    }
    return !error;
}

void takePeer(PeerTalk &talk, const platform::StoreRecord &record)
{
    if (record.key == talk.context.settings.instance) {
        return;
    }
    Reason reason;
    const auto endpoint = parseEndpoint(record.value, reason);
    boost::system::error_code error;
    const auto address = endpoint ? asio::ip::make_address(endpoint->address, error) : asio::ip::address();
    if (!endpoint || error) {
        talk.peers.erase(record.key);
        return;
    }
    Peer &peer = talk.peers[record.key];
    peer.endpoint = {address, endpoint->port};
}

asio::awaitable<void> registerSelf(PeerTalk &talk)
{
    const DirectSettings &settings = talk.context.settings;
    while (!talk.context.stopped) {
        std::vector<platform::StoreRecord> records;
        records.push_back({.key = settings.instance, .value = toString(Endpoint{settings.callers.address, settings.firstPort})});
        Reason reason;
        const auto appended = co_await talk.context.store.append(entriesTopic, std::move(records), storeTimeout, reason);
        if (appended) {
            co_return;
        }
        logEvent(Part::Members, Level::Warning, "not registered yet", reason);
        co_await pauseFor(firstLookupInterval);
    }
}

/** Finds the other entries and goes on to look for new ones. */
asio::awaitable<void> lookUp(TalkPointer talk)
{
    co_await registerSelf(*talk);
    Offset next = noOffset;
    for (int lookups = 0; !talk->context.stopped; ++lookups) {
        Reason reason;
        std::optional<platform::StorePage> page;
        if (next == noOffset) {
            page = co_await talk->context.store.readNewest(entriesTopic, storeTimeout, reason);
        } else {
            page = co_await talk->context.store.read(entriesTopic, next, milliseconds(0), storeTimeout, reason);
        }
        if (page) {
            next = page->dropped ? noOffset : page->next;
            for (const platform::StoreRecord &record : page->records) {
                takePeer(*talk, record);
            }
        }
        co_await pauseFor(lookups < firstLookups ? firstLookupInterval : lookupInterval);
    }
}

/** Tells counts that could not be published, so that a store that is away for this entry only costs no report its figures. */
void fillUsage(UsageCounter &usage, PeerUpdate &news)
{
    news.openWindow = usage.currentWindow();
    if (const auto told = usage.unpublished()) {
        news.openWindow = told->openWindow;
        for (const auto &[source, figures] : told->rows) {
            news.usage[source.window] = figures;
        }
    }
}

void takeUsage(MergedUsage &counts, const PeerUpdate &news, TimePoint now)
{
    counts.lastHeard[news.sender.instance] = {news.sender, now};
    if (news.openWindow == 0) {
        return;
    }
    PublishedUsage told{.openWindow = news.openWindow};
    for (const auto &[window, figures] : news.usage) {
        told.rows[{news.sender, window}] = figures;
    }
    mergeUsage(counts, news.sender, told);
}

asio::awaitable<void> receive(TalkPointer talk)
{
    const auto buffer = std::make_unique<std::array<char, datagramBytes>>();
    while (!talk->context.stopped) {
        Udp::endpoint from;
        auto [error, size] = co_await talk->socket.async_receive_from(asio::buffer(*buffer), from, useTuple);
        if (error == asio::error::operation_aborted || !talk->socket.is_open()) {
            co_return;
        }
        Reason reason;
        const auto news = error ? std::nullopt : decodePeerUpdate({buffer->data(), size}, reason);
        if (!news || news->sender == talk->context.usage.self()) {
            continue;
        }
        const TimePoint now = Clock::now();
        Peer &peer = talk->peers[news->sender.instance];
        if (now - peer.heard > silentAfter) {
            logEvent(Part::Members, Level::Info, "entry heard", {{"entry", news->sender.instance}, {"incarnation", news->sender.number}});
        }
        peer.endpoint = from;
        peer.heard = now;
        for (const std::string &engine : talk->context.targets.applyPeerUpdate(*news, now)) {
            logEvent(Part::Roles, Level::Info, "engine changes its role", {{"target", engine}, {"toldBy", news->sender.instance}});
        }
        takeUsage(talk->context.counts, *news, now);
        for (const auto &[fingerprint, losses] : news->losses) {
            talk->context.crashes.notePeerLosses(fingerprint, losses, now);
        }
    }
}

/** Sends one round of news; returns the number of entries that were heard lately. */
asio::awaitable<std::size_t> sendNews(PeerTalk &talk)
{
    const TimePoint now = Clock::now();
    PeerUpdate news{.sender = talk.context.usage.self()};
    talk.context.targets.fillPeerUpdate(news, now);
    news.losses = talk.context.crashes.takeOwnLosses();
    if (now - talk.usageTold >= usageInterval) {
        talk.usageTold = now;
        fillUsage(talk.context.usage, news);
    }
    const std::string bytes = encodePeerUpdate(news);
    const bool probe = ++talk.rounds % silentProbes == 0;
    std::size_t heard = 0;
    std::vector<Udp::endpoint> receivers;
    for (const auto &[instance, peer] : talk.peers) {
        const bool silent = now - peer.heard > silentAfter;
        heard += silent ? 0 : 1;
        if (!silent || probe) {
            receivers.push_back(peer.endpoint);
        }
    }
    for (const Udp::endpoint &receiver : receivers) {
        auto [error, sent] = co_await talk.socket.async_send_to(asio::buffer(bytes), receiver, useTuple);
        if (error) {
            logEvent(Part::Members, Level::Warning, "news not sent", {{"peer", receiver.address().to_string()}, {"detail", error.message()}});
        }
    }
    co_return heard;
}

} // namespace

asio::awaitable<void> talkToPeers(PeerContext &context)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto talk = std::make_shared<PeerTalk>(context, executor);
    Reason reason;
    if (!openSocket(*talk, reason)) {
        logEvent(Part::Members, Level::Error, "no news from other entries", reason);
        context.stopped = true;
        co_return;
    }
    asio::co_spawn(executor, lookUp(talk), asio::detached);
    asio::co_spawn(executor, receive(talk), asio::detached);
    while (!context.stopped) {
        const std::size_t heard = co_await sendNews(*talk);
        context.budgets.setEntries(heard + 1);
        context.leases.setCandidates(heard + 1);
        co_await pauseFor(std::max(minNewsInterval, newsIntervalPerPeer * static_cast<std::int64_t>(heard)));
    }
    talk->socket.close();
}

} // namespace snipehill
