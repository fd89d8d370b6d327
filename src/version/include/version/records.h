#pragma once

#include <core/ids.h>
#include <core/loadreport.h>
#include <core/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace snipehill
{

/** Tenant whose requests, limits and usage stay apart from all others. */
struct Workspace
{
    std::string name;
    double weight = 1; //!< share of a contended target relative to other workspaces
    double requestsPerSecond = 0; //!< 0: unlimited
    double tokensPerSecond = 0; //!< prompt and output tokens, 0: unlimited
    std::uint32_t concurrentRequests = 0; //!< 0: unlimited
};

/** Credential of a workspace; only the hash of the secret is ever recorded. */
struct Key
{
    std::string name;
    std::string workspace;
    std::string sha256; //!< hexadecimal SHA-256 of the secret
};

/** What a target group runs. */
enum class TargetKind {
    Engine,
    Service,
};

/** Targets that are interchangeable for routing; members come from the instance list. */
struct TargetGroup
{
    std::string name;
    TargetKind kind = TargetKind::Service;
    std::string model; //!< engines only: model that its targets serve
    std::string modelVersion; //!< engines only
    std::uint32_t minTargets = 1; //!< never stopped below
    std::uint32_t maxTargets = 1; //!< never started above
    bool planRoles = false; //!< engines only: roles may be changed by the role plan
};

/** Maps requests to a target group. */
struct Route
{
    std::string name;
    std::string prefix; //!< path prefix; the longest match wins
    std::string targetGroup;
    bool idempotent = true; //!< false: a request runs at most once
    bool open = false; //!< true: served without a key
    bool requireIdempotencyKey = false;
    milliseconds deadline{30000};
};

/** One effective record of a kind, as it came out of the log. */
template<typename T> struct Versioned
{
    T value;
    Offset offset = noOffset; //!< record that set it; the next record for the name must name it
    int schemaVersion = 1;
};

} // namespace snipehill
