#pragma once

#include <connection/endpoint.h>
#include <core/ids.h>
#include <core/reason.h>
#include <core/time.h>
#include <process/intentbook.h>
#include <request/intenttable.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace snipehill
{

/** What a writer needs to know; filled from the settings. */
struct IntentWriterOptions
{
    Endpoint log;
    Incarnation self;
    std::string stream = "intents"; //!< groups with many requests may have one of their own
    double appendsPerSecond = 20; //!< this process's share of the appends budget
    milliseconds claimTimeout{3000}; //!< after which a claim is given up
};

/** Counters for metrics. */
struct IntentCounts
{
    std::uint64_t claims = 0;
    std::uint64_t owned = 0;
    std::uint64_t ownedByOther = 0;
    std::uint64_t logDown = 0;
    std::uint64_t appends = 0; //!< calls to the log
    std::uint64_t entries = 0; //!< entries in them; entries / appends is the group commit
    std::uint64_t lostAnswers = 0; //!< appends resolved by reading back
    std::uint64_t waited = 0; //!< appends that waited for the budget
    std::uint64_t recordsRead = 0;
};

/**
 * Decides at-most-once for the requests of one sidecar through the intents stream.
 *
 * Appends all claims that wait in one record, reads back up to it and answers each. Reads the stream only
 * while there is something to decide. Methods may be called by any thread; must outlive its loops: stop(), then
 * end the io_context, before destruction.
 */
class IntentWriter
{
public:
    IntentWriter(IntentWriterOptions options, const boost::asio::any_io_executor &executor);
    ~IntentWriter();

    /**
     * Claims the key; the answer comes within claimTimeout or the given time, whichever is shorter. Repeats are
     * recognised for as long as the log keeps the records. The request is to be sent at once when it is owned.
     */
    boost::asio::awaitable<IntentClaim> claim(IntentKey key, std::string bodyHash, milliseconds timeout);
    /** Records the answer of a request that ran under the claim; appended in the background. */
    void finished(const IntentKey &key, std::uint64_t claim, RecordedResponse answer);
    /** Frees the key of a claim under which the request was not and will not be sent to the target. */
    void notRun(const IntentKey &key, std::uint64_t claim);
    /** What is recorded about a key, after reading the stream to its end; for repeats that wait for an answer. */
    boost::asio::awaitable<std::optional<IntentState>> lookUp(IntentKey key, milliseconds timeout, Reason &reason);
    /** True when nothing waits to be appended, so that the process may end. */
    bool idle() const;

    void start();
    void stop();
    IntentCounts counts() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace snipehill
