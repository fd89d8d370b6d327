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
 * Requests in flight by fingerprint, as one entry sees them. Until a request of a fingerprint has ended well once, its
 * copies go where the first one runs, so that a body that crashes targets reaches one target and not as many as there
 * are copies. Popular bodies are free to go anywhere as soon as one has been answered. Not thread safe; the owner locks.
 */
struct DuplicateRequests
{
    std::size_t maxAnswered = 4096; //!< fingerprints remembered as harmless, the oldest is dropped beyond this
    std::unordered_map<std::uint64_t, std::vector<std::string>> inFlight; //!< instances that run copies
    std::unordered_set<std::uint64_t> answered;
    std::deque<std::uint64_t> answeredOrder;
};

/** Notes that a copy was sent to an instance. */
void recordDuplicateSent(DuplicateRequests &duplicates, std::uint64_t fingerprint, std::string_view instance);

/** Notes that a copy ended on an instance; answered is true when the target gave its whole answer. */
void recordDuplicateEnded(DuplicateRequests &duplicates, std::uint64_t fingerprint, std::string_view instance, bool answered);

/** Instance that the next copy has to join, for PlacementRequest::companion; empty if it may go anywhere. */
std::string colocatedInstance(const DuplicateRequests &duplicates, std::uint64_t fingerprint);

} // namespace snipehill
