#pragma once

#include "sidecarattempt.h"

#include <connection/httpserver.h>
#include <request/intenttable.h>

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace snipehill
{

/** A whole answer, as attempts of the same key get it. */
struct KeyedResponse
{
    unsigned status = 0;
    HeaderList headers;
    std::string body;
};

/** How an attempt that arrives with a key goes on. */
enum class AttachResult {
    Run, //!< the first one here; it is to be queued
    Attached, //!< another attempt has the key; this one gets the same answer
    Mismatch, //!< the key was used for another request
};

/**
 * The keys of requests that must run at most once, as far as this sidecar has seen them: repeats attach to
 * the attempt that runs, or get its answer. An optimisation and the source of full answers; what decides
 * whether a request may run is the intents stream. Thread-safe.
 */
class KeyedRuns
{
public:
    /** Attaches the attempt, answers it at once if the answer is known. */
    AttachResult attach(const AttemptPointer &attempt);
    /** The run ended with an answer: remembers it and gives it to all attached attempts. */
    void finish(const IntentKey &key, KeyedResponse response, const wire::Usage &usage);
    /** The run ended without an answer: gives the refusal to all; keeps the key if the request may have run. */
    void fail(const IntentKey &key, const wire::RefusalMessage &refusal, bool mayHaveRun);

private:
    struct KeyedRun
    {
        std::uint64_t fingerprint = 0;
        std::vector<AttemptPointer> attempts;
        std::optional<KeyedResponse> response;
        std::optional<wire::RefusalMessage> unknownOutcome; //!< it may have run and nobody knows
    };
    void addEnded(const IntentKey &key);

    std::mutex m_lock;
    std::map<IntentKey, KeyedRun> m_runs;
    std::deque<IntentKey> m_ended; //!< oldest first, to bound the memory
};

/** Key of an attempt. */
IntentKey intentKeyOf(const wire::Run &run);

/** Sends a whole answer as frames. */
void sendResponse(SidecarAttempt &attempt, const KeyedResponse &response, const wire::Usage &usage);

/** Sends a refusal and ends the attempt. */
void sendRefusal(SidecarAttempt &attempt, const wire::RefusalMessage &refusal);

} // namespace snipehill
