#pragma once

#include <request/estimate.h>

#include <cstdint>
#include <string_view>

namespace snipehill
{

/** SplitMix64 finalizer: mixes the bits of a hash or a counter. */
inline std::uint64_t mixBits(std::uint64_t value) noexcept
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/** Rendezvous hashing weight of a member for a key. */
inline std::uint64_t rendezvousHash(std::string_view key, std::string_view member) noexcept
{
    return mixBits(fingerprintOf(member, fingerprintOf(key)));
}

} // namespace snipehill
