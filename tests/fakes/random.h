#pragma once

#include <cmath>
#include <cstdint>

namespace snipehill::fakes
{

/** SplitMix64 generator; the sequence of a seed is the same on every platform. */
struct Random
{
    std::uint64_t state = 1;

    std::uint64_t next() noexcept
    {
        state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t value = state;
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31U);
    }

    /** Uniform in [0, 1). */
    double uniform() noexcept
    {
        return static_cast<double>(next() >> 11U) * 0x1.0p-53;
    }

    /** Uniform in [low, high]. */
    std::uint64_t between(std::uint64_t low, std::uint64_t high) noexcept
    {
        return low + next() % (high - low + 1);
    }

    /** Exponential with the given mean. */
    double exponential(double mean) noexcept
    {
        return -mean * std::log(1 - uniform());
    }
};

} // namespace snipehill::fakes
