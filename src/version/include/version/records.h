#pragma once

#include <core/ids.h>
#include <core/loadreport.h>
#include <core/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace snipehill
{

/** A tenant; its requests, limits and usage are isolated from those of other tenants. */
struct Workspace
{
    std::string name;
    double weight = 1; //!< relative share of an overloaded target among workspaces
    double requestsPerSecond = 0; //!< 0: unlimited
    double tokensPerSecond = 0; //!< prompt and output tokens, 0: unlimited
    std::uint32_t concurrentRequests = 0; //!< 0: unlimited
};

/** Credential of a workspace; only the hash of the secret is stored. */
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

/** Targets that are interchangeable for routing; the instance list defines the members. */
struct TargetGroup
{
    std::string name;
    TargetKind kind = TargetKind::Service;
    std::string model; //!< engines only: the model that the targets serve
    std::string modelVersion; //!< engines only
    std::uint32_t minTargets = 1; //!< targets are never stopped below this number
    std::uint32_t maxTargets = 1; //!< targets are never started above this number
    bool planRoles = false; //!< engines only: the role planner may change roles
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

/** An active object and the record that defined it. */
template<typename T> struct Versioned
{
    T value;
    Offset offset = noOffset; //!< of the defining record; the next record for the object must give it as "replaces"
    int schemaVersion = 1;
};

} // namespace snipehill
