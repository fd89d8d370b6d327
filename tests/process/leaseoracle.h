#pragma once

#include "virtualtime.h"

#include <process/leasemanager.h>

namespace snipehill::test
{

/** Gives one lease by the rules of the lease table, with one holder at a time, as seen in true time. */
class LeaseOracle
{
public:
    static constexpr milliseconds duration{4000};
    static constexpr milliseconds margin{700};

    struct Candidate
    {
        Incarnation self;
        LogEra era = 0; //!< newest era that it knows
        Duration eraKnownSince{};
    };

    /** A candidate that reaches the log renews, claims in a new era, or claims a free lease after the quarantine. */
    void reach(const Candidate &candidate, LogEra logEra, Duration now)
    {
        if (candidate.era != logEra) {
            return;
        }
        const bool holds = m_holder == candidate.self && now < m_validUntil;
        const bool free = now >= m_validUntil + 2 * margin && now >= candidate.eraKnownSince + duration + margin;
        if (!holds && !free) {
            return;
        }
        if (!holds || m_era != logEra) {
            m_token = static_cast<Offset>(logEra << 32U) | ++m_claims;
            m_era = logEra;
        }
        if (!holds) {
            m_holder = candidate.self;
            m_since = now;
            ++m_tenure;
        }
        m_validUntil = now + duration - margin;
    }

    std::optional<LeaseHold> hold(const Candidate &candidate, Duration callTimeout, Duration now) const
    {
        if (m_holder != candidate.self || now + callTimeout >= m_validUntil) {
            return std::nullopt;
        }
        return LeaseHold{.token = m_token, .era = m_era, .tenure = m_tenure, .since = TimePoint(m_since), .eraKnownSince = TimePoint(candidate.eraKnownSince)};
    }

    /** Ends the lease at once, as a holder that stops does. */
    void release(const Incarnation &holder, Duration now)
    {
        if (m_holder == holder) {
            m_validUntil = std::min(m_validUntil, now);
        }
    }

private:
    Incarnation m_holder;
    Duration m_validUntil{};
    Duration m_since{};
    LogEra m_era = 0;
    Offset m_token = noOffset;
    Offset m_claims = 0;
    std::uint64_t m_tenure = 0;
};

} // namespace snipehill::test
