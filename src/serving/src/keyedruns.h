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

/** A complete response, sent to all attempts with the same key. */
struct KeyedResponse
{
    unsigned status = 0;
    HeaderList headers;
    std::string body;
};

/** What happens to an attempt that arrives with a key. */
enum class AttachResult {
    Run, //!< the first attempt with the key at this sidecar; the caller queues it
    Attached, //!< another attempt has the key; this one gets the same response
    Mismatch, //!< the key was used for another request
};

/**
 * The idempotency keys that this sidecar has seen, for requests that must run at most once. Repeats attach to the
 * running attempt, or get its stored response. This table saves work and holds the full responses; whether a request
 * may run is decided by the intents stream alone. Thread-safe.
 */
class KeyedRuns
{
public:
    /** Attaches the attempt to its key and responds at once if the result is known. */
    AttachResult attach(const AttemptPointer &attempt);
    /** Ends a run that has a response: sends it to all attached attempts and stores it for repeats. */
    void finish(const IntentKey &key, KeyedResponse response, const wire::Usage &usage);
    /** Ends a run without a response: sends the refusal to all attached attempts, and keeps it for repeats if the request may have run. */
    void fail(const IntentKey &key, const wire::RefusalMessage &refusal, bool mayHaveRun);

private:
    struct KeyedRun
    {
        std::uint64_t fingerprint = 0;
        std::vector<AttemptPointer> attempts;
        std::optional<KeyedResponse> response;
        std::optional<wire::RefusalMessage> unknownOutcome; //!< set if the request may have run and its response is not available
    };
    void addEnded(const IntentKey &key);

    std::mutex m_lock;
    std::map<IntentKey, KeyedRun> m_runs;
    std::deque<IntentKey> m_ended; //!< oldest first; bounds the number of stored results
};

/** Returns the key under which the attempt's intent is recorded. */
IntentKey intentKeyOf(const wire::Run &run);

/** Sends a complete response as frames and ends the attempt. */
void sendResponse(SidecarAttempt &attempt, const KeyedResponse &response, const wire::Usage &usage);

/** Sends a refusal and ends the attempt. */
void sendRefusal(SidecarAttempt &attempt, const wire::RefusalMessage &refusal);

} // namespace snipehill
