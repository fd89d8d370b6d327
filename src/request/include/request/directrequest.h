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

/** A caller's request, with what the system needs of it. Filled by the adapter of the platform, constant while it is served. */
struct IncomingRequest
{
    std::string id; //!< of this try of the caller; it stands in the answer
    std::string method;
    std::string target; //!< path and query, as sent
    std::string path; //!< without the query
    std::string host;
    std::string apiKey; //!< empty: none was sent
    std::optional<milliseconds> deadline; //!< the caller waits so long from the arrival of the request
    std::uint64_t promptTokens = 0; //!< 0: no prompt
    std::uint64_t outputTokens = 0; //!< at most
    std::vector<PrefixBlock> prefixBlocks; //!< of the prompt, in order
    std::string lastEventId; //!< the stream goes on after this event; empty: from its start
    std::vector<std::pair<std::string, std::string>> headers; //!< passed on as they are
    std::string body;
};

/** What the system adds to a request for one target. */
struct TargetRequestHeaders
{
    std::string targetId; //!< another target that got the address refuses the request
    std::string workspace; //!< empty: the route is open
    milliseconds remaining{0}; //!< of the caller's time
    std::optional<std::uint32_t> urgency; //!< 0 is served first; engines only
    bool prefillOnly = false; //!< the prompt is read and kept, nothing runs
    std::string kvCacheRef; //!< kept prompt to go on from; empty: none
    std::string fetchFrom; //!< "IP:PORT" of an engine that keeps parts of the prompt; empty: none
    std::string lastEventId; //!< see IncomingRequest
};

/** Head of a target's answer. */
struct TargetResponse
{
    unsigned status = 0;
    bool matchesRequest = false; //!< it names the request that was sent
    bool hasSignature = false; //!< it carries the target's signature
    bool notRun = false; //!< the target says that it did not run the request
    bool contentEncoded = false; //!< its body is not the one the target made
    bool isEventStream = false; //!< the body is a series of events
    std::optional<std::pair<std::uint32_t, std::uint32_t>> load; //!< running and waiting requests
    std::optional<seconds> keepAlive; //!< the target closes the connection when it is idle for so long
    std::vector<std::pair<std::string, std::string>> headers; //!< for the caller
};

} // namespace snipehill
