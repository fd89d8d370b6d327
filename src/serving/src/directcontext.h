#pragma once

#include "answersizes.h"
#include "crashguard.h"
#include "targetconnectionpool.h"

#include <core/memorybudget.h>
#include <process/directsettings.h>
#include <process/quotatable.h>
#include <process/routingholder.h>
#include <process/targetregistry.h>
#include <process/usagecounter.h>
#include <request/retrybudget.h>

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace snipehill
{

/** Retry budgets by target group, shared by all requests of this entry. Thread-safe. */
class GroupRetryBudgets
{
public:
    explicit GroupRetryBudgets(const DirectSettings &settings) : m_settings(settings) { }

    /** Adds the retry credit that the first attempt of a request earns. */
    void recordRequest(const std::string &group)
    {
        const std::lock_guard lock(m_lock);
        recordFirstAttempt(m_budgets[group], entryShare());
    }

    /** Consumes one retry from the budget of the group; false if it is exhausted. */
    bool tryConsume(const std::string &group)
    {
        const std::lock_guard lock(m_lock);
        return takeRetry(m_budgets[group]);
    }

    /** Returns a retry that was consumed but not made. */
    void giveBack(const std::string &group)
    {
        const std::lock_guard lock(m_lock);
        returnRetry(m_budgets[group]);
    }

    /** Sets the number of entries that share the deployment's retry budget, including this one. */
    void setEntryCount(std::size_t entries)
    {
        const std::lock_guard lock(m_lock);
        m_entryCount = std::max<std::size_t>(1, entries);
    }

private:
    /** This entry's share of the budget. Both values have a safety margin because entries learn of each other with a delay. */
    RetryBudgetSettings entryShare() const
    {
        constexpr double safetyFactor = 0.8;
        return {.retriesPerRequest = safetyFactor * m_settings.retryRatio,
                .maxCredit = safetyFactor * m_settings.retrySlack / static_cast<double>(m_entryCount)};
    }

    const DirectSettings &m_settings;
    std::mutex m_lock;
    std::map<std::string, RetryBudget> m_budgets;
    std::size_t m_entryCount = 8; //!< used until peers are known; more than the usual initial size of a deployment
};

struct DirectRequest;

/** Times of a planned stop of the process. */
struct PlannedEnd
{
    TimePoint rotationEnd; //!< until then, a caller that is refused may reach this process again
    TimePoint answerBy; //!< requests are answered by then, or their responses begun; early enough to write the answers before the end
    TimePoint end; //!< latest time at which a response that has begun may go on
};

/** Requests that this entry is serving, so that they can be ended before the process, and named if they are cut by its end. Thread-safe. */
class ActiveRequests
{
public:
    /** Returns a number for remove(). */
    std::uint64_t add(DirectRequest &request, std::string requestId, TimePoint received)
    {
        const std::lock_guard lock(m_lock);
        m_requests.emplace(m_next, Entry{&request, std::move(requestId), received});
        return m_next++;
    }
    void remove(std::uint64_t number)
    {
        const std::lock_guard lock(m_lock);
        m_requests.erase(number);
    }
    /** Request id and time of arrival of each. */
    std::vector<std::pair<std::string, TimePoint>> all() const
    {
        const std::lock_guard lock(m_lock);
        std::vector<std::pair<std::string, TimePoint>> requests;
        for (const auto &[number, request] : m_requests) {
            requests.emplace_back(request.id, request.received);
        }
        return requests;
    }
    /** The requests themselves, which only the serving thread may use, and only until it handles its next event. */
    std::vector<DirectRequest *> pointers() const
    {
        const std::lock_guard lock(m_lock);
        std::vector<DirectRequest *> requests;
        for (const auto &[number, request] : m_requests) {
            requests.push_back(request.request);
        }
        return requests;
    }
    /** Sets when the process ends. */
    void setEnd(const PlannedEnd &planned) noexcept
    {
        m_rotationEnd = planned.rotationEnd;
        m_answerBy = planned.answerBy;
        m_end = planned.end;
    }
    /** See PlannedEnd; TimePoint::max() while no end is planned, as for the other times. */
    TimePoint rotationEnd() const noexcept
    {
        return m_rotationEnd;
    }
    TimePoint answerBy() const noexcept
    {
        return m_answerBy;
    }
    /** Latest time at which a response that has begun may go on. */
    TimePoint end() const noexcept
    {
        return m_end;
    }

private:
    struct Entry
    {
        DirectRequest *request;
        std::string id;
        TimePoint received;
    };

    mutable std::mutex m_lock;
    std::map<std::uint64_t, Entry> m_requests;
    std::uint64_t m_next = 0;
    std::atomic<TimePoint> m_rotationEnd{TimePoint::max()};
    std::atomic<TimePoint> m_answerBy{TimePoint::max()};
    std::atomic<TimePoint> m_end{TimePoint::max()};
};

/** State shared by all requests of a direct entry. Owned by the entry, outlives its requests. */
struct DirectContext
{
    const DirectSettings &settings;
    RoutingHolder &routing;
    TargetRegistry &targets;
    TargetConnectionPool &connections;
    GroupRetryBudgets &budgets;
    CrashGuard &crashes;
    UsageCounter &usage;
    QuotaTable &quotas;
    ActiveRequests &activeRequests;
    MemoryBudget &responseMemory; //!< for bodies and events of responses that are being read
    boost::asio::any_io_executor executor; //!< of the requests; for work that may outlive one
    AnswerSizes answerSizes{};
};

} // namespace snipehill
