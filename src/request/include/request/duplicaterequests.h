#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace snipehill
{

/**
 * In-flight requests of one entry by fingerprint. Until one request with a fingerprint has been answered, its duplicates are
 * routed to the instance that runs the first of them, so that a body that crashes its target reaches only one target.
 * After the first response, duplicates may run on any target. Not thread-safe; the owner locks.
 */
struct DuplicateRequests
{
    std::size_t maxAnswered = 4096; //!< capacity of answered; the oldest fingerprint is evicted first
    std::unordered_map<std::uint64_t, std::vector<std::string>> inFlight; //!< instances that run each fingerprint, one element per request
    std::unordered_set<std::uint64_t> answered; //!< fingerprints with at least one complete response
    std::deque<std::uint64_t> answeredOrder; //!< elements of answered, oldest first
};

/** Records that a request with the fingerprint was sent to an instance. */
void recordDuplicateSent(DuplicateRequests &duplicates, std::uint64_t fingerprint, std::string_view instance);

/**
 * Records that a request with the fingerprint ended on an instance.
 *
 * @param answered the target sent a complete response
 */
void recordDuplicateEnded(DuplicateRequests &duplicates, std::uint64_t fingerprint, std::string_view instance, bool answered);

/** Instance that the next request with the fingerprint must run on, for PlacementRequest::colocateWith; empty if any will do. */
std::string colocatedInstance(const DuplicateRequests &duplicates, std::uint64_t fingerprint);

} // namespace snipehill
