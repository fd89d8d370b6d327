#pragma once

#include <core/time.h>
#include <request/prefixindex.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipehill
{

/** A block of a prompt, identified without the blocks before it. */
struct PromptPart
{
    std::string name; //!< as the caller sent it
    std::uint64_t hash = 0; //!< of the model and the name
};

/** A caller's request, parsed by the platform adapter. Not modified while it is served. */
struct IncomingRequest
{
    std::string id; //!< request id of this attempt of the caller, echoed in the response
    std::string method;
    std::string target; //!< path and query as received
    std::string path; //!< without the query
    std::string host;
    std::string apiKey; //!< API key; empty if none was sent
    std::optional<milliseconds> deadline; //!< how long the caller waits, counted from the arrival of the request
    bool hasTokenCounts = false; //!< the caller sent the token counts, which may be 0
    std::uint64_t promptTokens = 0; //!< 0 if the request has no prompt
    std::uint64_t outputTokens = 0; //!< upper bound of the output
    std::vector<PrefixBlock> prefixBlocks; //!< blocks of the prompt, in order
    std::vector<PromptPart> promptParts; //!< the same blocks; the last one belongs to this request or to its session
    std::string lastEventId; //!< the event stream resumes after this event; empty to start at the first event
    std::vector<std::pair<std::string, std::string>> headers; //!< forwarded unchanged
    std::string body;
};

/** Headers that are added to a request to a target. */
struct TargetRequestHeaders
{
    std::string targetId; //!< a different target that now has the address refuses the request
    std::string workspace; //!< empty if the route is open to all callers
    milliseconds remaining{0}; //!< time left until the caller's deadline
    std::optional<std::uint32_t> urgency; //!< scheduling order at the engine, 0 first; not set for plain services
    bool prefillOnly = false; //!< prefill the prompt and keep its KV cache without generating tokens
    std::string kvCacheRef; //!< KV cache of a prefilled prompt to continue from; empty if there is none
    std::string fetchFrom; //!< "IP:PORT" of an engine to fetch cached prompt blocks from; empty if there is none
    std::string lastEventId; //!< see IncomingRequest::lastEventId
};

/** Time for which a target that refused a request asks for no further ones from the sender. */
struct PauseRequest
{
    milliseconds length{0}; //!< within bounds, whatever was asked
    std::string asked; //!< as the target wrote it, shortened
    const char *adjusted = ""; //!< why the length is not what was asked; empty if it is
};

/** What a target states about itself in a response. Holds for the target, not for the request. */
struct TargetStatement
{
    bool leaving = false; //!< the target is about to end
    std::optional<PauseRequest> pause;
};

/** Status and headers of a target's response. */
struct TargetResponse
{
    unsigned status = 0;
    bool matchesRequest = false; //!< carries the id of the request that was sent
    bool hasSignature = false; //!< carries the target's signature
    bool notRun = false; //!< the target states that it did not run the request
    bool contentEncoded = false; //!< the body has a content encoding, so it is not the body that the target produced
    bool isEventStream = false; //!< the body is an event stream
    std::optional<std::pair<std::uint32_t, std::uint32_t>> load; //!< running and queued requests on the target
    std::optional<std::uint32_t> slots; //!< requests that the target says it can serve at once
    std::optional<std::uint32_t> pacePercent; //!< how long work takes there by its own statement; 100: as usual
    std::optional<seconds> keepAlive; //!< idle time after which the target closes the connection
    TargetStatement statement;
    std::vector<std::pair<std::string, std::string>> headers; //!< headers to forward to the caller
};

} // namespace snipehill
