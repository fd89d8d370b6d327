#include "directquota.h"

#include <process/metrics.h>
#include <request/workspacequota.h>

#include <cmath>
#include <random>

namespace snipehill
{

namespace
{

constexpr unsigned tooManyRequests = 429;

} // namespace

QuotaCharge::~QuotaCharge()
{
    if (m_cost > 0 && !m_request.mayHaveRun) {
        m_request.context.quotas.giveBack(m_request.workspace, m_cost, Clock::now());
    }
}

std::optional<DirectRefusal> QuotaCharge::take()
{
    if (!m_request.quota) {
        return std::nullopt;
    }
    thread_local std::minstd_rand generator(std::random_device{}());
    const double draw = std::uniform_real_distribution<double>(0, 1)(generator);
    const std::uint64_t cost = quotaCost(*m_request.quota, m_request.caller);
    const QuotaDecision decision = m_request.context.quotas.admit(m_request.workspace, cost, draw, Clock::now());
    if (decision.admitted) {
        m_cost = cost;
        return std::nullopt;
    }
    processMetrics().count(Counter::QuotaRefusals, {m_request.workspace});
    logRequest(m_request,
               LogLevel::Info,
               "beyond the quota",
               {{"workspace", m_request.workspace},
                {"cost", cost},
                {"level", std::llround(decision.level)},
                {"limit", std::llround(decision.limit)},
                {"peers", decision.peers},
                {"oldestReportMs", std::chrono::duration_cast<milliseconds>(decision.oldestReport).count()}});
    return DirectRefusal{.status = tooManyRequests,
                         .reason = {Step::Admit, "", "the workspace is beyond its limit"},
                         .retryAfter = decision.retryAfter,
                         .explanation = "the workspace has used up its limit"};
}

} // namespace snipehill
