#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace snipehill
{

/**
 * Mean memory that a response takes, by route, so that it can be reserved before a request is sent: a response that finds no memory
 * has run, and its caller can't be told otherwise.
 *
 * The mean is used instead of the maximum because a single large response would let all requests of its route reserve too much.
 * Used on the serving thread only; one value for each route of the configuration.
 */
class AnswerSizes
{
public:
    /** Records what a complete response took, in bytes. */
    void record(const std::string &route, std::size_t bytes)
    {
        constexpr double newestWeight = 1.0 / 16; // follows a change within some tens of responses
        const auto [known, added] = m_means.try_emplace(route, static_cast<double>(bytes));
        if (!added) {
            known->second += newestWeight * (static_cast<double>(bytes) - known->second);
        }
    }

    /** Bytes that the next response is expected to take; 0 before the first one of the route. */
    std::size_t expected(const std::string &route) const
    {
        const auto known = m_means.find(route);
        return known == m_means.end() ? 0 : static_cast<std::size_t>(known->second);
    }

private:
    std::map<std::string, double> m_means;
};

} // namespace snipehill
