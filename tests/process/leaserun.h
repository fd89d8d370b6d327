#pragma once

#include "leasesimulation.h"

#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace snipehill::test
{

constexpr int processCount = 3;
constexpr milliseconds usualRunTime{24000};
constexpr milliseconds callTimeout{300};

/** Log service that applies each append and read at the time of its arrival. */
struct LeaseLog
{
    LogEra era = 0;
    Offset firstRetained = 0;
    std::vector<LeaseRecord> records;
    std::vector<Duration> appended;
    std::map<Duration, Offset> firstRetainedSince; //!< by time of change
    Duration outageUntil{};

    bool down(Duration now) const
    {
        return now < outageUntil;
    }

    /** Goes back to what was appended and retained at the given time. */
    void returnTo(Duration time)
    {
        ++era;
        while (!records.empty() && appended.back() > time) {
            records.pop_back();
            appended.pop_back();
        }
        const auto later = firstRetainedSince.upper_bound(time);
        firstRetained = later == firstRetainedSince.begin() ? 0 : std::prev(later)->second;
        firstRetainedSince.erase(later, firstRetainedSince.end());
    }
};

/** A simulated process: its machine, what it has read, and its faults. */
struct LeaseProcess
{
    int index = 0;
    Incarnation self;
    DriftingClock clock;
    LeaseTable table;
    std::unique_ptr<LeaseStateMachine> holder;
    bool readOnce = false;
    bool caughtUp = false;
    bool stopping = false;
    std::optional<LogEra> era; //!< highest in any response of the log
    Duration pausedUntil{};
    Duration cutUntil{}; //!< until then, neither calls to the log nor its responses arrive
    std::optional<std::uint64_t> awaitedRead;
    Duration readSent{};
    std::optional<TimePoint> mutatedValidUntil; //!< for the mutation ValidityFromReceipt
    std::optional<TimePoint> recordedValidUntil;
};

/** Response of the log to a read. */
struct LeasePageCopy
{
    LogEra era = 0;
    std::optional<LogEra> requestedEra;
    Offset from = 0;
    Offset firstRetained = 0;
    Offset first = 0;
    std::vector<LeaseRecord> records;
};

/** One run of the simulation. */
class LeaseSimulation
{
public:
    LeaseSimulation(std::uint64_t seed, LeaseMutation mutation, LeaseLogKind kind);
    LeaseRunHistory run();

private:
    void startProcess(LeaseProcess &process);
    LeaseSettings settings() const;
    /** Handles the era in a response; false if the response is to be dropped. */
    bool learnEra(LeaseProcess &process, LogEra era);
    /** Any call to the log tells its era, not only the reads of the leases. */
    void callLog(LeaseProcess &process);
    void injectFault();
    /** The log comes back from an older copy; beside it, by chance: again soon after, restarts, a process without the log. */
    void injectCopy();
    /** Planned stop: no calls any more, then the release, then a new incarnation. */
    void stopProcess(LeaseProcess &process);
    void releaseLease(LeaseProcess &process);
    void expireRecords(std::int64_t count);
    bool isCut(const LeaseProcess &process) const;
    bool paused(const LeaseProcess &process) const;
    /** Runs the action now, or at the end of a pause unless the process is restarted before. */
    void whenRunning(LeaseProcess &process, const VirtualTime::Action &action);
    void tick(LeaseProcess &process);
    void appendDueRecord(LeaseProcess &process);
    void sendAppend(const LeaseProcess &process, LeaseRecord record);
    void readNext(LeaseProcess &process);
    LeasePageCopy readPage(Offset from) const;
    void applyPage(LeaseProcess &process, std::uint64_t id, const LeasePageCopy &page);
    void compareTables(const LeaseProcess &process);
    void applyRecord(LeaseProcess &process, Offset offset, LeaseRecord record, TimePoint now);
    /** Replaces the machine by one that never held the lease. */
    void forgetLease(LeaseProcess &process);
    std::optional<TimePoint> validUntil(const LeaseProcess &process) const;
    bool mayCall(LeaseProcess &process) const;
    void callPlatform(LeaseProcess &process);
    Offset tokenOf(const LeaseProcess &process) const;
    std::uint64_t tenureOf(LeaseProcess &process) const;
    // A period is recorded to its full end even if the process dies earlier, since its calls may still be in flight.
    void recordValidity(LeaseProcess &process);

    VirtualTime m_time;
    SeededRandom m_choices;
    LeaseMutation m_mutation;
    LeaseLogKind m_kind;
    std::int64_t m_copyShare = 0; //!< of the faults, relative to the other kinds
    std::size_t m_pageRecords = 20;
    milliseconds m_maxFaultInterval{4000};
    milliseconds m_runTime{usualRunTime};
    NetworkFaults m_faults;
    LeaseLog m_log;
    LeaseProcess m_processes[processCount];
    LeaseRunHistory m_history;
};

} // namespace snipehill::test
