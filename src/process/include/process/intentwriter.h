#pragma once

#include <connection/endpoint.h>
#include <core/ids.h>
#include <core/reason.h>
#include <core/time.h>
#include <process/intentwriterstate.h>
#include <request/intenttable.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace snipehill
{

/** Options of an IntentWriter; filled from the settings. */
struct IntentWriterOptions
{
    Endpoint log;
    Incarnation self;
    std::string stream = "intents"; //!< target groups with many requests may use a separate stream
    double appendsPerSecond = 20; //!< this process's share of the budget for appends
    milliseconds claimTimeout{3000}; //!< after which a claim is abandoned
};

/** Counters for metrics. */
struct IntentCounts
{
    std::uint64_t claims = 0;
    std::uint64_t owned = 0;
    std::uint64_t ownedByOther = 0;
    std::uint64_t logUnavailable = 0;
    std::uint64_t appends = 0; //!< calls to the log
    std::uint64_t entries = 0; //!< entries in the appends; entries / appends is the mean batch size
    std::uint64_t lostResponses = 0; //!< appends without a response, resolved by reading back
    std::uint64_t budgetWaits = 0; //!< appends delayed by the budget
    std::uint64_t recordsRead = 0;
};

/**
 * Ensures at-most-once execution of the requests of one sidecar through the intents stream.
 *
 * Appends all queued claims in one record, reads back up to that record and resolves each claim. Reads the stream only
 * while a claim is pending. Methods may be called from any thread. Before destruction, call stop() and end the io_context.
 */
class IntentWriter
{
public:
    IntentWriter(IntentWriterOptions options, const boost::asio::any_io_executor &executor);
    ~IntentWriter();

    /**
     * Claims the key. The result comes within claimTimeout or the given timeout, whichever is shorter. Repeats are
     * recognized for as long as the log retains the records. A request that owns its key must be sent immediately.
     */
    boost::asio::awaitable<IntentClaim> claim(IntentKey key, std::string bodyHash, milliseconds timeout);
    /** Records the response of a request that ran under the claim. The append happens in the background. */
    void finished(const IntentKey &key, std::uint64_t claim, RecordedResponse response);
    /** Frees the key of a claim whose request was not and will not be sent to the target. */
    void notRun(const IntentKey &key, std::uint64_t claim);
    /** Reads the stream to its end and returns what is recorded under the key. For repeats that wait for the owner's response. */
    boost::asio::awaitable<std::optional<IntentState>> lookUp(IntentKey key, milliseconds timeout, Reason &reason);
    /** True if no claim or outcome is pending, so that the process may exit. */
    bool idle() const;

    void start();
    void stop();
    IntentCounts counts() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace snipehill
