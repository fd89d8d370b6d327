#pragma once

#include "inbox.h"
#include "targettable.h"

#include <process/configfollower.h>
#include <process/controlplane.h>
#include <process/membershipwatcher.h>
#include <process/settings.h>
#include <request/admission.h>
#include <request/crashsuspects.h>
#include <request/duplicaterequests.h>
#include <request/retrybudget.h>
#include <serving/linktable.h>

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace snipehill
{

/** Admission state of the workspaces. There is a single shard, because shares are compared across all workspaces of the entry. */
struct AdmissionShards
{
    struct Shard
    {
        std::mutex lock;
        Admission admission;
    };
    static constexpr std::size_t count = 1;
    std::array<Shard, count> shards;

    Shard &of(std::string_view workspace)
    {
        return shards[std::hash<std::string_view>()(workspace) % count];
    }
};

/** Retry budgets by target group. */
struct RetryBudgets
{
    std::mutex lock;
    std::map<std::string, RetryBudget> budgets;
};

/** Requests that this process suspects of crashing targets. */
struct SharedSuspects
{
    std::mutex lock;
    CrashSuspects suspects;
    CrashSettings settings;
};

/** Duplicates of the same request in flight at this entry. */
struct SharedDuplicateRequests
{
    std::mutex lock;
    DuplicateRequests requests;
};

/** State shared by all requests of an entry. Created once by Entry; outlives all requests. */
struct EntryContext
{
    const Settings &settings;
    ConfigFollower &config;
    MembershipWatcher &members;
    LinkTable &links;
    TargetTable &targets;
    AttemptRouter &router;
    AdmissionShards admission;
    RetryBudgets retries;
    SharedSuspects suspects;
    SharedDuplicateRequests duplicates;
    /** Counts the usage of a response at the entry, as a second copy of the sidecar's count. */
    std::function<void(const std::string &workspace, const Incarnation &sidecar, const wire::Usage &usage)> recordUsage;
};

} // namespace snipehill
