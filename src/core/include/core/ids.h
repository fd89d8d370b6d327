#pragma once

#include <cstdint>
#include <string>

namespace snipehill
{

/** Position of a record in a stream of the platform's log; offsets within one stream only increase. */
using Offset = std::int64_t;

/** Stands for "no record" and precedes every offset. */
constexpr Offset noOffset = -1;

/**
 * How often the log has come back from an older copy, as told by the log; 0 if it does not tell. What was appended after
 * that copy was made is lost, and the same offsets are given out again, so an offset is unique only within one era.
 */
using LogEra = std::uint64_t;

/** Random 64-bit id of one attempt of a request, unique among all entries. */
using AttemptId = std::uint64_t;

/** Identifies one run of a process: the instance name from its settings and a random number generated at start. */
struct Incarnation
{
    std::string instance;
    std::uint64_t number = 0;
    friend bool operator==(const Incarnation &, const Incarnation &) = default;
    friend auto operator<=>(const Incarnation &, const Incarnation &) = default; // NOLINT(modernize-use-nullptr) false positive of clang-tidy 14
};

/** Random 64-bit number from the operating system's generator. */
std::uint64_t randomId();

/** Random 128-bit id in hexadecimal, for X-Request-Id. */
std::string randomRequestId();

} // namespace snipehill
