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

/** How often a request may be executed. */
enum class RequestKind {
    Idempotent, //!< may run any number of times
    NonIdempotent, //!< runs at most once
    Streaming, //!< the response is an event stream; runs at most once unless the route is resumable
};

/** "idempotent", "non_idempotent" or "streaming". */
const char *toString(RequestKind kind) noexcept;

/** One of the target groups among which the requests of a route are split. */
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
    std::string prefix; //!< path prefix, begins and ends with a slash; the longest match wins
    RequestKind kind = RequestKind::Idempotent;
    std::vector<WeightedGroup> groups; //!< at least one
    milliseconds timeout{30000}; //!< a request without a response after this time fails
    milliseconds latencyGoal{1000}; //!< desired time to the response, for streams to the first event
    milliseconds eventGapGoal{0}; //!< desired maximum time between events, 0 for routes without event streams
    std::uint32_t priority = 0; //!< 0 is the most urgent
    std::uint32_t maxAttempts = 1; //!< maximum number of targets on which one request is tried
    bool open = false; //!< served without an API key
    bool hasPromptBlocks = false; //!< requests list the blocks of their prompt
    bool resumable = false; //!< an interrupted stream may continue on another target
};

/** Properties shared by all engines of a group. */
struct EngineProperties
{
    std::uint32_t slots = 1; //!< requests that an engine runs concurrently
    std::uint64_t kvCacheTokens = 0; //!< KV cache capacity in tokens, shared by running requests and cached prompt blocks
    std::uint64_t kvBytesPerToken = 0; //!< KV cache size of one token
    double linkBitsPerSecond = 0; //!< bandwidth between engines
    milliseconds kvHandleLifetime{0}; //!< how long an engine keeps the KV cache of a prompt that it prefilled for another engine
};

/** Limits on the number of targets of a group in one failure domain. */
struct ScaleBounds
{
    std::uint32_t min = 0;
    std::uint32_t max = 0;
};

/** Settings of a group of interchangeable targets. */
struct GroupRule
{
    std::string name;
    std::uint32_t maxConnections = 0; //!< that one target accepts from all instances together; 0: unknown
    std::optional<EngineProperties> engine; //!< empty for plain services
    std::optional<ScaleBounds> scale; //!< set if this system controls the number of targets
};

/** What a workspace quota counts. */
enum class QuotaUnit {
    Requests,
    Tokens, //!< prompt tokens and maximum output tokens
};

/** Limit on what a workspace may use at all entries together: a token bucket. */
struct WorkspaceQuota
{
    double ratePerSecond = 0; //!< above 0
    double burst = 0; //!< capacity of the bucket, above 0
    QuotaUnit unit = QuotaUnit::Requests;
    std::uint64_t plainTokens = 0; //!< cost of a request without token counts, if the unit is tokens
    friend bool operator==(const WorkspaceQuota &, const WorkspaceQuota &) = default;
};

/** A workspace whose API keys are accepted. */
struct WorkspaceRule
{
    std::string name;
    std::optional<std::uint32_t> priority; //!< overrides the priority of the route
    std::optional<WorkspaceQuota> quota; //!< empty: no limit
};

/** Limits on the size of a caller's request and on the time to send it. */
struct CallerLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 4U << 20U;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15000};
};

/**
 * One version of the routing configuration. Immutable once built and shared by all requests that started with it.
 */
struct RoutingVersion
{
    std::uint64_t version = 0;
    std::vector<RouteRule> routes;
    std::map<std::string, GroupRule, std::less<>> groups;
    std::vector<WorkspaceRule> workspaces;
    std::unordered_map<std::string, std::size_t> keys; //!< maps the secret to the index in workspaces
    bool requiresKeys = false; //!< false: the configuration defines no workspaces and every route is served without a key
    CallerLimits limits;
    std::unordered_map<std::string, std::vector<std::size_t>> byHost; //!< indexes into routes by host name, longest prefix first
};

using RoutingVersionPointer = std::shared_ptr<const RoutingVersion>;

/** Builds byHost; call once after the routes are set. */
void indexRoutes(RoutingVersion &version);

/** Route of the host with the longest matching path prefix; null if there is none. The host may include a port. */
const RouteRule *findRoute(const RoutingVersion &version, std::string_view host, std::string_view path);

/** Workspace that the API key belongs to; null if the key is unknown. */
const WorkspaceRule *findWorkspace(const RoutingVersion &version, const std::string &key);

/** Selects the target group of one request by weight; draw is a random number in [0, 1). */
const std::string &drawGroup(const RouteRule &route, double draw);

/** True if a request of the route may run again although an earlier attempt may have run. */
bool mayRepeat(const RouteRule &route) noexcept;

} // namespace snipehill
