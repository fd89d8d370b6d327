#pragma once

#include <process/lease.h>

#include <map>
#include <memory>

namespace snipehill
{

/** Times of a lease; equal in all processes of one deployment. */
struct LeaseSettings
{
    milliseconds duration{6000};
    milliseconds margin{1000}; //!< covers the drift of two clocks over one duration
};

/** A holder renews this often in the duration of a lease. */
constexpr int renewalsPerLease = 3;

/** Last instant at which the sender of an effective record may believe in its lease. */
TimePoint leaseValidUntil(TimePoint sent, const LeaseSettings &settings) noexcept;

/** First instant at which a candidate may claim after it received the latest effective record. */
TimePoint claimableFrom(TimePoint received, milliseconds recordDuration, const LeaseSettings &settings) noexcept;

/** Phase of a process towards one scope. */
enum class LeasePhase {
    Unread, //!< has not read the stream to its end, or the scope's state is uncertain
    Waiting, //!< another process may hold the lease
    Claiming, //!< a claim was sent, its effect is not known yet
    Holding, //!< the latest effective record is its own
};

/** "unread", "waiting", "claiming" or "holding". */
const char *toString(LeasePhase phase) noexcept;

/**
 * Holder or candidate of one scope: decides what to append and when a call is allowed, does no I/O.
 *
 * The state machine is Boost.MSM inside the source file. Belief comes only from own records that were read
 * back as effective and counts from the time at which the record was handed to the sender, so it does not
 * matter whether the answer to the append was lost.
 * Not thread-safe: the owner locks.
 */
class LeaseStateMachine
{
public:
    LeaseStateMachine(std::string scope, Incarnation self, LeaseSettings settings);
    ~LeaseStateMachine();
    LeaseStateMachine(LeaseStateMachine &&) noexcept;
    LeaseStateMachine &operator=(LeaseStateMachine &&) noexcept;

    /** A record of the scope was read and applied to the table. */
    void onRecord(const LeaseTable &table, LeaseEffect effect, const LeaseRecord &record, TimePoint received);
    /** The stream was read to its end. */
    void onCaughtUp(const LeaseTable &table, TimePoint now);
    /** Records aged out unread: what was known is void. */
    void onGap();

    /** The claim or renewal to append now, if one is due; its send time counts from now. */
    std::optional<LeaseRecord> nextRecord(const LeaseTable &table, TimePoint now, std::uint64_t nonce);
    /** Stops believing and returns the release to append, if the lease is held. No claim follows. */
    std::optional<LeaseRecord> release(const LeaseTable &table, TimePoint now, std::uint64_t nonce);

    /** The lease is believed in now and for as long as the call may take. */
    bool mayCall(TimePoint now, milliseconds callTimeout) const noexcept;
    /** End of belief; empty when not held. */
    std::optional<TimePoint> validUntil() const noexcept;
    /** Fencing number of the lease that is or was last held, also past the end of belief while no successor was read. */
    std::optional<Offset> epoch() const noexcept;
    LeasePhase phase() const noexcept;
    const std::string &scope() const noexcept;

private:
    struct Machine;
    std::string m_scope;
    Incarnation m_self;
    LeaseSettings m_settings;
    std::unique_ptr<Machine> m_machine;
    std::map<std::uint64_t, TimePoint> m_sent; //!< by nonce, records whose effect is not known yet
    std::optional<TimePoint> m_validUntil;
    std::optional<Offset> m_epoch;
    TimePoint m_claimableFrom{};
    TimePoint m_lastSent{};
    bool m_releasing = false;
};

} // namespace snipehill
