#pragma once

#include <core/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipehill
{

/** What may be done with a request more than once. */
enum class RequestKind {
    Idempotent, //!< may run any number of times
    NonIdempotent, //!< runs at most once
    Streaming, //!< answered by events; runs at most once unless the route is resumable
};

/** "idempotent", "non_idempotent" or "streaming". */
const char *toString(RequestKind kind) noexcept;

/** One of the target groups that a route's requests are split between. */
struct WeightedGroup
{
    std::string group;
    double weight = 1;
};

/** Rule for the requests of one host and path prefix. */
struct RouteRule
{
    std::string name;
    std::string host;
    std::string prefix; //!< begins and ends with a slash; the longest match wins
    RequestKind kind = RequestKind::Idempotent;
    std::vector<WeightedGroup> groups; //!< at least one
    milliseconds timeout{30000}; //!< a request that still has no answer is given up
    milliseconds latencyGoal{1000}; //!< wanted time to the answer, for streams to the first event
    milliseconds eventGapGoal{0}; //!< longest wanted pause between events, 0 where there are none
    std::uint32_t priority = 0; //!< 0 is the most urgent
    std::uint32_t maxAttempts = 1; //!< targets that one request may run on
    bool open = false; //!< served without a key
    bool hasPromptBlocks = false; //!< requests say which prompt parts they consist of
    bool resumable = false; //!< a stream may go on at another target
};

/** What is common to the engines of a group. */
struct EngineProperties
{
    std::uint32_t slots = 1; //!< requests run side by side
    std::uint64_t kvCacheTokens = 0; //!< for running requests and cached prompt parts together
    std::uint64_t kvBytesPerToken = 0; //!< of memory for one token
    double linkBitsPerSecond = 0; //!< between engines
    milliseconds kvHandleLifetime{0}; //!< a prompt that was read apart is kept this long
};

/** Bounds on the number of targets of a group in one failure domain. */
struct ScaleBounds
{
    std::uint32_t min = 0;
    std::uint32_t max = 0;
};

/** Interchangeable targets. */
struct GroupRule
{
    std::string name;
    std::uint32_t maxConnections = 0; //!< that one target accepts from all instances together, 0: unknown
    std::optional<EngineProperties> engine; //!< empty for plain services
    std::optional<ScaleBounds> scale; //!< set where the number of targets is ours to order
};

/** A workspace whose keys are in force. */
struct WorkspaceRule
{
    std::string name;
    std::optional<std::uint32_t> priority; //!< goes before that of the route
};

/** What a caller may send and how long it may take. */
struct CallerLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 4U << 20U;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15000};
};

/**
 * One version of the routing configuration. Immutable once built and shared by all requests that began under it.
 */
struct RoutingVersion
{
    std::uint64_t version = 0;
    std::vector<RouteRule> routes;
    std::map<std::string, GroupRule, std::less<>> groups;
    std::vector<WorkspaceRule> workspaces;
    std::unordered_map<std::string, std::size_t> keys; //!< secret to position in workspaces
    bool requiresKeys = false; //!< false: the configuration knows no workspaces, every route is open
    CallerLimits limits;
    std::unordered_map<std::string, std::vector<std::size_t>> byHost; //!< positions in routes, longest prefix first
};

using RoutingVersionPointer = std::shared_ptr<const RoutingVersion>;

/** Fills the index by host; to be called once after the routes are in place. */
void indexRoutes(RoutingVersion &version);

/** Route with the longest prefix of the path on the host; null if there is none. The host may carry a port. */
const RouteRule *findRoute(const RoutingVersion &version, std::string_view host, std::string_view path);

/** Workspace that a key belongs to; null if no workspace has it. */
const WorkspaceRule *findWorkspace(const RoutingVersion &version, const std::string &key);

/** Group for one request, drawn by weight; draw is in [0, 1). */
const std::string &drawGroup(const RouteRule &route, double draw);

/** Whether a request of the route may run again after it may have run. */
bool mayRepeat(const RouteRule &route) noexcept;

} // namespace snipehill
