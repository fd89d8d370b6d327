#pragma once

#include "targetconnectionpool.h"

#include <process/directsettings.h>
#include <process/routingholder.h>
#include <process/targetbook.h>
#include <process/usagebook.h>
#include <request/crashtally.h>
#include <request/retrybudget.h>

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace snipehill
{

/** Credit for repeats by target group, shared by all requests of this entry. Thread-safe. */
class GroupBudgets
{
public:
    explicit GroupBudgets(const DirectSettings &settings) : m_settings(settings) { }

    void noteRequest(const std::string &group)
    {
        const std::lock_guard lock(m_lock);
        noteFirstAttempt(m_budgets[group], part());
    }

    bool take(const std::string &group)
    {
        const std::lock_guard lock(m_lock);
        return takeRetry(m_budgets[group]);
    }

    /** Entries that share the deployment's budget, this one included. */
    void setEntries(std::size_t entries)
    {
        const std::lock_guard lock(m_lock);
        m_entries = std::max<std::size_t>(1, entries);
    }

private:
    /** This entry's part of the budget. Both terms are kept below their bound, as entries learn of each other late. */
    RetryBudgetSettings part() const
    {
        constexpr double used = 0.8;
        return {.retriesPerRequest = used * m_settings.retryRatio, .maxCredit = used * m_settings.retrySlack / static_cast<double>(m_entries)};
    }

    const DirectSettings &m_settings;
    std::mutex m_lock;
    std::map<std::string, RetryBudget> m_budgets;
    std::size_t m_entries = 8; //!< until others were heard of: more than deployments of this kind begin with
};

/** Fingerprints of requests that took targets down. Thread-safe. */
class CrashGuard
{
public:
    std::uint32_t noteLoss(std::uint64_t fingerprint, TimePoint now)
    {
        const std::lock_guard lock(m_lock);
        const std::uint32_t losses = snipehill::noteLoss(m_tally, fingerprint, m_settings, now);
        m_untold[fingerprint] = losses;
        return losses;
    }
    /** Takes the losses that another entry has counted. */
    void notePeerLosses(std::uint64_t fingerprint, std::uint32_t losses, TimePoint now)
    {
        const std::lock_guard lock(m_lock);
        snipehill::notePeerLosses(m_tally, fingerprint, losses, m_settings, now);
    }
    /** Losses since the last call, for the other entries. */
    std::map<std::uint64_t, std::uint32_t> takeOwnLosses()
    {
        const std::lock_guard lock(m_lock);
        return std::exchange(m_untold, {});
    }
    void noteHarmless(std::uint64_t fingerprint)
    {
        const std::lock_guard lock(m_lock);
        snipehill::noteHarmless(m_tally, fingerprint);
    }
    bool isBlocked(std::uint64_t fingerprint, TimePoint now)
    {
        const std::lock_guard lock(m_lock);
        return snipehill::isBlocked(m_tally, fingerprint, m_settings, now);
    }

private:
    const CrashTallySettings m_settings{};
    std::mutex m_lock;
    CrashTally m_tally;
    std::map<std::uint64_t, std::uint32_t> m_untold;
};

/** What the requests of a direct entry share. Owned by the entry, outlives its requests. */
struct DirectContext
{
    const DirectSettings &settings;
    RoutingHolder &routing;
    TargetBook &targets;
    TargetConnectionPool &connections;
    GroupBudgets &budgets;
    CrashGuard &crashes;
    UsageBook &usage;
};

} // namespace snipehill
