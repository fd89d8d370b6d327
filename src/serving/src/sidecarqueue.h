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

/** An attempt to run now, and the target slot that it runs on. */
struct DispatchedAttempt
{
    AttemptPointer attempt;
    QueuedRequest request;
    TargetSlot *slot = nullptr;
    int priority = 0;
};

/** Throughput of the target, averaged over recent requests. */
struct TargetRates
{
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
};

/** The fair queue of a sidecar and the slots of its target. Thread-safe, one lock. */
class SidecarQueue
{
public:
    SidecarQueue(boost::asio::any_io_executor executor, std::uint32_t slots);

    /** Adds an attempt; false if the queue is full. An isolated attempt runs with no other request on the target. */
    bool add(const AttemptPointer &attempt, bool isolated);
    /** Returns the next attempt with a free slot for it, or empty. */
    std::optional<DispatchedAttempt> next();
    /** Frees the slot and charges the actual cost to the workspace. */
    void release(const DispatchedAttempt &dispatched, std::uint64_t costTokens);
    /** Removes and returns waiting attempts whose deadline has passed. */
    std::vector<AttemptPointer> takeExpired(TimePoint now);
    /** Removes a waiting attempt; false if it is not waiting. */
    bool cancelWaiting(AttemptId attempt);
    /** Removes and returns all waiting attempts. */
    std::vector<AttemptPointer> takeAll();

    void recordRates(std::uint64_t promptTokens, Duration prefill, std::uint64_t outputTokens, Duration decode);
    /** Fills in the slots, queue lengths, token counts and rates of a report. */
    void fillLoadReport(LoadReport &report) const;
    std::size_t attemptCount() const;

private:
    /** Removes the attempt from the waiting attempts and their totals. */
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
    LoadReport m_totals; //!< queued and admitted tokens, updated incrementally instead of summed for each report
};

} // namespace snipehill
