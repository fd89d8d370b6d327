#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

namespace snipehill::fakes
{

/** Outcome of one simulated request; times in seconds of virtual time since the start of the run. */
struct RequestRecord
{
    std::string workspace;
    double due = 0; //!< when the caller sends it; latency counts from here
    double firstToken = -1; //!< -1: none
    double end = -1; //!< -1: not finished
    std::uint64_t outputTokens = 0;
    std::uint32_t attempts = 0;
    bool refused = false;
};

/** Service target that a response must meet to count towards goodput. */
struct GoodputLimits
{
    double firstToken = 1.5; //!< seconds
    double tokenGap = 0.080; //!< seconds between tokens, mean over the response
};

inline bool isGood(const RequestRecord &record, const GoodputLimits &limits = {})
{
    if (record.refused || record.end < 0 || record.firstToken - record.due > limits.firstToken) {
        return false;
    }
    const double gaps = static_cast<double>(std::max<std::uint64_t>(record.outputTokens, 2) - 1);
    return (record.end - record.firstToken) / gaps <= limits.tokenGap;
}

/** Nearest-rank percentile; 0 without values. */
inline double percentile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto position = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(position, 1, values.size()) - 1];
}

/** Summary of a run. */
struct Summary
{
    std::size_t requests = 0;
    std::size_t refused = 0;
    std::size_t unfinished = 0;
    std::size_t good = 0;
    double goodput = 0; //!< fraction of the requests that met the service target
    double p50 = 0; //!< seconds from due to first token, of requests that got one
    double p95 = 0;
    double p99 = 0;
};

/** Summary of the requests of one workspace, or of all for an empty name, that were due in [from, to). */
inline Summary summarise(const std::vector<RequestRecord> &records, const std::string &workspace = {}, double from = 0, double to = 1e18)
{
    Summary summary;
    std::vector<double> firstTokens;
    for (const RequestRecord &record : records) {
        if (record.due < from || record.due >= to || (!workspace.empty() && record.workspace != workspace)) {
            continue;
        }
        ++summary.requests;
        summary.refused += record.refused ? 1 : 0;
        summary.unfinished += !record.refused && record.end < 0 ? 1 : 0;
        summary.good += isGood(record) ? 1 : 0;
        if (record.firstToken >= 0) {
            firstTokens.push_back(record.firstToken - record.due);
        }
    }
    summary.goodput = summary.requests > 0 ? static_cast<double>(summary.good) / static_cast<double>(summary.requests) : 0;
    summary.p50 = percentile(firstTokens, 0.50);
    summary.p95 = percentile(firstTokens, 0.95);
    summary.p99 = percentile(firstTokens, 0.99);
    return summary;
}

} // namespace snipehill::fakes
