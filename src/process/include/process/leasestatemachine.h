#pragma once

#include <process/lease.h>

#include <map>
#include <memory>

namespace snipehill
{

/** Durations for leases; must be the same in all processes of a deployment. */
struct LeaseSettings
{
    milliseconds duration{6000};
    milliseconds margin{1000}; //!< covers the drift between two clocks over one duration
};

/** A lease that this process holds and may act under. */
struct LeaseHold
{
    Offset token = noOffset; //!< fencing token
    LogEra era = 0; //!< era of the log in which the lease was claimed
    std::uint64_t tenure = 0; //!< equal in two holds only if no other process can have held the lease between them, also across eras
    TimePoint since{}; //!< when the first claim of the tenure was sent
    TimePoint eraKnownSince{}; //!< when this process first received a response of the era; not set if the log does not tell its era
};

/** Number of renewals that a holder sends within the duration of a lease. */
constexpr int renewalsPerLease = 3;

/** End of the time in which the sender of an effective record may rely on its lease. */
TimePoint leaseValidUntil(TimePoint sent, const LeaseSettings &settings) noexcept;

/** Earliest time at which a candidate that received the scope's latest effective record may claim the lease. */
TimePoint claimableFrom(TimePoint received, milliseconds recordDuration, const LeaseSettings &settings) noexcept;

/** Phase of one process with respect to the lease on one scope. */
enum class LeasePhase {
    Unread, //!< the stream was not read to its end, or the scope's state is uncertain
    Waiting, //!< another process may hold the lease
    Claiming, //!< a claim was sent and its effect is not known yet
    Holding, //!< the scope's latest effective record was written by this process
};

/** Name used in status reports: "unread", "waiting", "claiming" or "holding". */
const char *toString(LeasePhase phase) noexcept;

/**
 * Lease state of one process, holder or candidate, for one scope. Decides which records to append and whether a call is
 * allowed; does no I/O.
 *
 * The lease is considered valid only after an own record was read back as effective, and its validity counts from the
 * time at which the record was created for sending. A lost response to the append therefore does no harm.
 *
 * With a log that tells its era, a record gives validity only in the era in which it was made, and nothing is claimed for
 * one lease after an era became known: leases of earlier eras, whose records may be forgotten, have ended by then. A
 * process whose own lease from an earlier era is still valid is the only one, so it may claim at once.
 * The source file implements the phases with Boost.MSM. Not thread-safe; the owner synchronizes access.
 */
class LeaseStateMachine
{
public:
    LeaseStateMachine(std::string scope, Incarnation self, LeaseSettings settings);
    ~LeaseStateMachine();
    LeaseStateMachine(LeaseStateMachine &&) noexcept;
    LeaseStateMachine &operator=(LeaseStateMachine &&) noexcept;

    /** To be called after a record of the scope was read and applied to the table. */
    void onRecord(const LeaseTable &table, LeaseEffect effect, const LeaseRecord &record, TimePoint received);
    /** To be called when the stream has been read to its end. */
    void onCaughtUp(const LeaseTable &table, TimePoint now);
    /** To be called when retention removed unread records: all earlier knowledge is invalid. */
    void onGap();
    /** To be called when the log's era becomes known, first or by a rise, with a new table. Not called for logs that do not tell it. */
    void onEra(LogEra era, TimePoint knownSince);

    /** Returns the claim or renewal to append now, if one is due. The validity of the lease counts from the given time. */
    std::optional<LeaseRecord> nextRecord(const LeaseTable &table, TimePoint now, std::uint64_t nonce);
    /** Ends the validity of the lease and returns the release to append if the lease is held. Nothing is claimed afterwards. */
    std::optional<LeaseRecord> release(const LeaseTable &table, TimePoint now, std::uint64_t nonce);

    /**
     * True if the lease is valid now and stays valid for the longest duration of the call. After a change of the token, false
     * until all calls allowed before have ended, so that no call with the lower token arrives later.
     */
    bool mayCall(TimePoint now, milliseconds callTimeout) noexcept;
    /** The lease, under the same condition as mayCall(). */
    std::optional<LeaseHold> hold(TimePoint now, milliseconds callTimeout) noexcept;
    /** End of the lease's validity; empty if the lease is not held. */
    std::optional<TimePoint> validUntil() const noexcept;
    /** Fencing token of the lease that is or was last held. Kept after the validity has ended, until another holder's record is read. */
    std::optional<Offset> epoch() const noexcept;
    LeasePhase phase() const noexcept;
    const std::string &scope() const noexcept;

private:
    struct Machine;
    std::string m_scope;
    Incarnation m_self;
    LeaseSettings m_settings;
    std::unique_ptr<Machine> m_machine;
    struct Sent
    {
        TimePoint at{};
        bool continuing = false; //!< a claim sent while the lease of an earlier era was valid
    };
    /** The machine's knowledge of its own lease after an own record of the current era took effect. */
    void onOwnEffective(const LeaseTable &table, const LeaseRecord &record, TimePoint received);
    /** True if a lease of an earlier era is still valid: nobody else can hold or claim the lease. */
    bool holdsFromEarlierEra(TimePoint now) const noexcept;
    /** Earliest time of a claim, except by the holder. */
    TimePoint claimTime() const noexcept;

    std::map<std::uint64_t, Sent> m_sent; //!< by nonce, records whose effect is not known yet
    LogEra m_era = 0;
    TimePoint m_eraKnownSince{};
    std::optional<TimePoint> m_quarantineUntil; //!< end of all leases of earlier eras
    std::optional<TimePoint> m_validUntil;
    std::optional<TimePoint> m_lastValidUntil; //!< latest end of a validity, also after another process has claimed
    std::optional<Offset> m_epoch;
    LeaseHold m_lease; //!< the lease that m_epoch belongs to
    TimePoint m_claimableFrom{};
    TimePoint m_lastSent{};
    TimePoint m_lastCallEnd{}; //!< latest end of a call that mayCall() allowed
    TimePoint m_callableFrom{}; //!< end of the calls allowed under the token before
    bool m_releasing = false;
};

} // namespace snipehill
