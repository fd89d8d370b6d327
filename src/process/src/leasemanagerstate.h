#pragma once

#include <process/leasemanager.h>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace snipehill
{

/** Where the next read starts, and the era in which that offset is valid. */
struct ReadPosition
{
    Offset from = 0;
    std::optional<LogEra> era; //!< empty before the first response
};

/** State shared by the coroutines, which keep it alive. */
struct LeaseManager::State
{
    State(boost::asio::any_io_executor ioExecutor, LogAccess logAccess, Incarnation own, LeaseSettings leaseSettings)
        : executor(std::move(ioExecutor)), log(std::move(logAccess)), self(std::move(own)), settings(leaseSettings)
    {
    }

    /** Applies a page, unless it was read in another era than the table. */
    void applyPage(const LogPage &page, const ReadPosition &position, TimePoint received);
    /** Starts anew if the era is higher than the known one; false if it is lower. */
    bool learnEra(LogEra told, TimePoint now);
    /** Learns the era from responses to any call of this process. */
    void checkEra(TimePoint now);
    bool tellsEra() const;
    LeaseStateMachine startMachine(const std::string &scope) const;
    void applyEntry(const LogRecord &entry, TimePoint received);
    std::vector<Json::Value> dueRecords(TimePoint now);
    std::vector<Json::Value> releases(TimePoint now);
    ReadPosition readPosition();
    bool hasCaughtUp();
    bool isStopped();
    /** True if the stream must be read without delay: before the first catch-up, or while a lease is held or claimed. */
    bool isActive();

    const boost::asio::any_io_executor executor;
    const LogAccess log;
    const Incarnation self;
    const LeaseSettings settings;
    std::atomic<std::size_t> candidates{1};

    std::mutex mutex;
    std::map<std::string, LeaseStateMachine> holders;
    LeaseTable table;
    std::optional<LogEra> era; //!< of the table; empty before the first response
    TimePoint eraKnownSince{};
    bool tokensExhausted = false; //!< logged once per era
    bool readOnce = false;
    bool caughtUp = false;
    bool stopping = false;
    bool stopped = false;
    TimePoint lastCallEnd{}; //!< latest end of a call that mayCall() allowed
};

} // namespace snipehill
