#pragma once

#include "platform/storehost.h"

#include <serving/src/directwatch.h>

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace snipehill::support
{

inline constexpr milliseconds callTimeout{2000};
inline constexpr milliseconds storeStep{60}; // time between two groups of records, so that a copy loses one group and keeps the other
inline constexpr milliseconds configTimeout{1000};
inline constexpr milliseconds settleTime{configTimeout + milliseconds(100)}; // all calls that wait at the store have been answered

inline DirectSettings settingsFor(const Endpoint &store)
{
    DirectSettings settings;
    settings.instance = "entry-1";
    settings.store = store;
    settings.configTimeout = configTimeout;
    settings.drainTimeout = milliseconds(150);
    settings.callers = {"127.0.0.1", 1};
    return settings;
}

/** A store, and the readers of one entry, which run only while a run function is called. */
class ReaderRun
{
public:
    ReaderRun()
        : settings(settingsFor(host.endpoint()))
        , readerStore(host.endpoint())
        , targets({.instance = "entry-1", .failureDomain = "fd-a"})
        , watch{settings, readerStore, routing, targets, [](const RoutingVersion &) {}}
        , writerStore(host.endpoint())
    {
    }

    void write(const char *topic, const std::string &key, const std::string &value)
    {
        std::vector<platform::StoreRecord> records;
        records.push_back({noOffset, key, value});
        Reason reason;
        const auto offset = host.run(writerStore.append(topic, std::move(records), callTimeout, reason));
        INFO(reason.detail);
        REQUIRE(offset);
    }

    /** Lets time pass so that a copy can lose what is written afterwards and keep what was written before. */
    void separate()
    {
        std::this_thread::sleep_for(storeStep);
        m_separatedAt = Clock::now();
        std::this_thread::sleep_for(storeStep);
    }

    /** Brings the store back without the records since separate(). The readers' calls in progress were answered before. */
    void loseRecords()
    {
        std::this_thread::sleep_for(settleTime);
        host.loseRecordsOf(std::chrono::duration_cast<milliseconds>(Clock::now() - m_separatedAt));
    }

    bool runUntil(const std::function<bool()> &condition, milliseconds time)
    {
        const TimePoint end = Clock::now() + time;
        while (!condition() && Clock::now() < end) {
            context.run_for(milliseconds(5));
        }
        return condition();
    }

    std::uint64_t version() const
    {
        const auto current = routing.current();
        return current ? current->version : 0;
    }

    bool accepts(const std::string &id)
    {
        return targets.acceptsWork({.group = "g", .id = id}, Clock::now());
    }

    StoreHost host;
    boost::asio::io_context context;
    const DirectSettings settings;
    platform::StoreClient readerStore;
    RoutingHolder routing;
    TargetRegistry targets;
    WatchContext watch;
    platform::StoreClient writerStore;

private:
    TimePoint m_separatedAt{};
};

} // namespace snipehill::support
