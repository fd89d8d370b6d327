#pragma once

#include "sidecarattempt.h"
#include "targetexchange.h"

#include <core/loadreport.h>
#include <request/fairqueue.h>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace snipehill
{

/** An attempt that may go to the target now, and the lane that it runs on. */
struct DispatchedAttempt
{
    AttemptPointer attempt;
    QueuedRequest request;
    TargetSlot *slot = nullptr;
    int priority = 0;
};

/** Speeds of the target over recent requests. */
struct TargetRates
{
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
};

/** The fair queue of a sidecar with the lanes of its target. Thread-safe, one lock. */
class SidecarQueue
{
public:
    SidecarQueue(boost::asio::any_io_executor executor, std::uint32_t slots);

    /** False: the queue is full. */
    bool add(const AttemptPointer &attempt, bool isolated);
    /** The next attempt for a free lane, or empty. */
    std::optional<DispatchedAttempt> next();
    /** Gives the lane back and books the cost. */
    void release(const DispatchedAttempt &dispatched, std::uint64_t costTokens);
    /** Waiting attempts whose deadline has passed. */
    std::vector<AttemptPointer> takeExpired(TimePoint now);
    /** Takes a waiting attempt out; false if it does not wait. */
    bool cancelWaiting(AttemptId attempt);
    /** Takes all waiting attempts out. */
    std::vector<AttemptPointer> takeAll();

    void recordRates(std::uint64_t promptTokens, Duration prefill, std::uint64_t outputTokens, Duration decode);
    /** Fills the part of a report that the queue knows. */
    void fillLoadReport(LoadReport &report) const;
    std::size_t attemptCount() const;

private:
    /** Takes the attempt out of the waiting ones and their totals. */
    AttemptPointer removeWaiting(AttemptId attempt);

    mutable std::mutex m_lock;
    FairQueueSettings m_settings;
    FairQueue m_queue;
    std::unordered_map<AttemptId, AttemptPointer> m_waiting;
    std::unordered_map<AttemptId, AttemptPointer> m_running;
    std::vector<std::unique_ptr<TargetSlot>> m_slots;
    std::vector<TargetSlot *> m_freeSlots;
    TargetRates m_rates;
    std::uint64_t m_runningDecodeTokens = 0;
    LoadReport m_totals; //!< queued and admitted tokens, kept up to date instead of summed for each report
};

} // namespace snipehill
