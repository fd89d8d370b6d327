#include <process/leasestatemachine.h>

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>
#include <utility>

namespace snipehill
{

namespace msm = boost::msm;

namespace
{

constexpr std::size_t maxPendingRecords = 64;

struct CaughtUp
{
};
struct ClaimSent
{
};
struct ClaimRejected
{
};
struct OwnEffective
{
};
struct OtherEffective
{
};
struct OwnReleased
{
};
struct Gap
{
};

struct LeaseMachineDefinition : public msm::front::state_machine_def<LeaseMachineDefinition>
{
    struct Unread : public msm::front::state<>
    {
    };
    struct Waiting : public msm::front::state<>
    {
    };
    struct Claiming : public msm::front::state<>
    {
    };
    struct Holding : public msm::front::state<>
    {
    };

    template<typename Event, typename Fsm> void no_transition(const Event &, Fsm &, int) { }

    template<typename From, typename Event, typename To> using Row = msm::front::Row<From, Event, To, msm::front::none, msm::front::none>;

    using initial_state = Unread;
    using transition_table = boost::mpl::vector<Row<Unread, CaughtUp, Waiting>,
                                                Row<Unread, OwnEffective, Holding>,
                                                Row<Waiting, ClaimSent, Claiming>,
                                                Row<Waiting, OwnEffective, Holding>,
                                                Row<Claiming, OwnEffective, Holding>,
                                                Row<Claiming, OtherEffective, Waiting>,
                                                Row<Claiming, ClaimRejected, Waiting>,
                                                Row<Holding, OtherEffective, Waiting>,
                                                Row<Holding, OwnReleased, Waiting>,
                                                Row<Waiting, Gap, Unread>,
                                                Row<Claiming, Gap, Unread>,
                                                Row<Holding, Gap, Unread>>;
};

// Indexed by Boost.MSM state number: the order in which the transition table first names the states.
constexpr LeasePhase phases[] = {LeasePhase::Unread, LeasePhase::Waiting, LeasePhase::Claiming, LeasePhase::Holding};

} // namespace

struct LeaseStateMachine::Machine
{
    msm::back::state_machine<LeaseMachineDefinition> fsm;
};

TimePoint leaseValidUntil(TimePoint sent, const LeaseSettings &settings) noexcept
{
    return sent + settings.duration - settings.margin;
}

TimePoint claimableFrom(TimePoint received, milliseconds recordDuration, const LeaseSettings &settings) noexcept
{
    return received + recordDuration + settings.margin;
}

const char *toString(LeasePhase phase) noexcept
{
    switch (phase) {
    case LeasePhase::Unread:
        return "unread";
    case LeasePhase::Waiting:
        return "waiting";
    case LeasePhase::Claiming:
        return "claiming";
    case LeasePhase::Holding:
        return "holding";
    }
    return "";
}

LeaseStateMachine::LeaseStateMachine(std::string scope, Incarnation self, LeaseSettings settings)
    : m_scope(std::move(scope)), m_self(std::move(self)), m_settings(settings), m_machine(std::make_unique<Machine>())
{
    m_machine->fsm.start();
}

LeaseStateMachine::~LeaseStateMachine() = default;
LeaseStateMachine::LeaseStateMachine(LeaseStateMachine &&) noexcept = default;
LeaseStateMachine &LeaseStateMachine::operator=(LeaseStateMachine &&) noexcept = default;

void LeaseStateMachine::onRecord(const LeaseTable &table, LeaseEffect effect, const LeaseRecord &record, TimePoint received)
{
    const bool own = record.holder == m_self;
    const bool ofCurrentEra = record.era == table.era;
    if (effect == LeaseEffect::None) {
        const bool ownClaim = own && ofCurrentEra && record.action == LeaseAction::Claim;
        m_sent.erase(record.nonce);
        if (ownClaim) {
            m_machine->fsm.process_event(ClaimRejected{});
        }
        return;
    }
    m_claimableFrom = record.action == LeaseAction::Release ? received : claimableFrom(received, record.duration, m_settings);
    if (effect == LeaseEffect::Unknown) {
        return;
    }
    if (!own || !ofCurrentEra) {
        // A record of an earlier era may have survived the lease of this process or be late; it ends only a lease that it has replaced.
        if (ofCurrentEra || m_lease.era == table.era) {
            m_validUntil.reset();
            m_epoch.reset();
        }
        m_machine->fsm.process_event(OtherEffective{});
        return;
    }
    if (record.action == LeaseAction::Release) {
        m_machine->fsm.process_event(OwnReleased{});
        return;
    }
    onOwnEffective(table, record, received);
    m_machine->fsm.process_event(OwnEffective{});
}

void LeaseStateMachine::onOwnEffective(const LeaseTable &table, const LeaseRecord &record, TimePoint received)
{
    const auto sent = m_sent.find(record.nonce);
    const bool known = sent != m_sent.end();
    const Offset token = table.scopes.at(m_scope).epoch;
    if (m_epoch != token) {
        const bool continues = m_epoch && known && sent->second.continuing;
        if (!continues) {
            ++m_lease.tenure;
            m_lease.since = known ? sent->second.at : received;
        }
        m_epoch = token;
        m_lease.token = token;
        m_lease.era = table.era;
        m_lease.eraKnownSince = m_eraKnownSince;
        m_callableFrom = m_lastCallEnd;
    }
    if (known && !m_releasing) {
        m_validUntil = leaseValidUntil(sent->second.at, m_settings);
        m_lastValidUntil = std::max(m_lastValidUntil, m_validUntil);
    }
    m_sent.erase(record.nonce);
}

void LeaseStateMachine::onCaughtUp(const LeaseTable &table, TimePoint)
{
    if (phase() == LeasePhase::Unread && isClaimable(table, m_scope)) {
        m_machine->fsm.process_event(CaughtUp{});
    }
}

void LeaseStateMachine::onGap()
{
    m_validUntil.reset();
    m_machine->fsm.process_event(Gap{});
}

void LeaseStateMachine::onEra(LogEra era, TimePoint knownSince)
{
    m_era = era;
    m_eraKnownSince = knownSince;
    m_quarantineUntil = claimableFrom(knownSince, m_settings.duration, m_settings);
    m_sent.clear();
    m_lastSent = {};
    m_machine->fsm.process_event(Gap{});
}

bool LeaseStateMachine::holdsFromEarlierEra(TimePoint now) const noexcept
{
    return m_validUntil && now <= *m_validUntil && m_lease.era != m_era;
}

TimePoint LeaseStateMachine::claimTime() const noexcept
{
    TimePoint earliest = m_claimableFrom;
    if (m_quarantineUntil) {
        earliest = std::max(earliest, *m_quarantineUntil);
    }
    // No quick return: calls under the lease that this process lost may have arrived until its end.
    if (m_lastValidUntil) {
        earliest = std::max(earliest, *m_lastValidUntil + m_settings.duration);
    }
    return earliest;
}

std::optional<LeaseRecord> LeaseStateMachine::nextRecord(const LeaseTable &table, TimePoint now, std::uint64_t nonce)
{
    const LeasePhase current = phase();
    const bool retryDue = now - m_lastSent >= m_settings.duration / renewalsPerLease;
    if (m_releasing || current == LeasePhase::Unread || !isClaimable(table, m_scope) || (!retryDue && m_lastSent != TimePoint{})) {
        return std::nullopt;
    }
    const bool continuing = holdsFromEarlierEra(now);
    if (current != LeasePhase::Holding && !continuing && now < claimTime()) {
        return std::nullopt;
    }
    LeaseRecord record = makeClaim(table, m_scope);
    const bool renews = current == LeasePhase::Holding && record.replaces != noOffset;
    if (!renews && !canIssueToken(table)) {
        return std::nullopt;
    }
    if (renews) {
        record.action = LeaseAction::Renew;
        record.epoch = *m_epoch;
    } else {
        m_machine->fsm.process_event(ClaimSent{});
    }
    record.holder = m_self;
    record.nonce = nonce;
    record.duration = m_settings.duration;
    if (m_sent.size() >= maxPendingRecords) {
        m_sent.erase(std::min_element(m_sent.begin(), m_sent.end(), [](const auto &left, const auto &right) {
            return left.second.at < right.second.at;
        }));
    }
    m_sent[nonce] = {now, continuing};
    m_lastSent = now;
    return record;
}

std::optional<LeaseRecord> LeaseStateMachine::release(const LeaseTable &table, TimePoint now, std::uint64_t nonce)
{
    m_releasing = true;
    m_validUntil.reset();
    const auto lease = table.scopes.find(m_scope);
    if (phase() != LeasePhase::Holding || lease == table.scopes.end() || lease->second.latest < table.firstRetained) {
        return std::nullopt;
    }
    LeaseRecord record = makeClaim(table, m_scope);
    record.action = LeaseAction::Release;
    record.epoch = *m_epoch;
    record.holder = m_self;
    record.nonce = nonce;
    record.duration = m_settings.duration;
    m_lastSent = now;
    return record;
}

bool LeaseStateMachine::mayCall(TimePoint now, milliseconds callTimeout) noexcept
{
    if (!m_validUntil || now + callTimeout > *m_validUntil || now < m_callableFrom) {
        return false;
    }
    m_lastCallEnd = std::max(m_lastCallEnd, now + callTimeout);
    return true;
}

std::optional<LeaseHold> LeaseStateMachine::hold(TimePoint now, milliseconds callTimeout) noexcept
{
    if (!m_epoch || !mayCall(now, callTimeout)) {
        return std::nullopt;
    }
    return m_lease;
}

std::optional<TimePoint> LeaseStateMachine::validUntil() const noexcept
{
    return m_validUntil;
}

std::optional<Offset> LeaseStateMachine::epoch() const noexcept
{
    return m_epoch;
}

LeasePhase LeaseStateMachine::phase() const noexcept
{
    return phases[m_machine->fsm.current_state()[0]];
}

const std::string &LeaseStateMachine::scope() const noexcept
{
    return m_scope;
}

} // namespace snipehill
