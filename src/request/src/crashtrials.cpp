#include <request/crashevidence.h>

#include <algorithm>
#include <optional>

namespace snipehill
{

namespace
{

constexpr std::uint32_t trialGrowth = 3; // pauses between trials grow by this power of two with each failed one
constexpr std::uint32_t maxTrialGrowth = 4; // longer pauses would outlast the evidence
constexpr double rivalMargin = 0.7; // logarithm of 2: a cause that is half as likely may be the culprit as well

bool includesAll(std::span<const CrashCause> causes, const std::vector<CrashCause> &part)
{
    return std::includes(causes.begin(), causes.end(), part.begin(), part.end());
}

/** Whether the crashes of a blocked combination would still be explained if all causes of a request were sound. */
bool isExplainedWithout(const CrashEvidence &evidence, const BlockedCauses &blocked, std::span<const CrashCause> causes, const CrashEvidenceSettings &settings)
{
    const auto left = std::count_if(blocked.evidence.begin(), blocked.evidence.end(), [&](std::size_t crash) {
        const auto &candidates = evidence.candidates[crash];
        return std::none_of(candidates.begin(), candidates.end(), [&](const CrashCandidate &candidate) {
            const bool rival = candidate.crashes >= settings.minCrashes ? candidate.improbability + rivalMargin >= blocked.improbability
                                                                        : candidate.improbability > blocked.improbability;
            return rival && !std::binary_search(causes.begin(), causes.end(), candidate.cause);
        });
    });
    return left < settings.minCrashes;
}

/** Number of entries that have their turn before this one; the same for all causes, as a request may have several blocked ones. */
std::int64_t entriesBefore(const CrashEvidence &evidence)
{
    return std::count_if(evidence.peers.begin(), evidence.peers.end(), [&evidence](std::uint64_t peer) {
        return peer < evidence.self;
    });
}

/** Time that an entry has for a trial before the next one may try as well. */
Duration turnTime(const CrashEvidence &evidence, const CrashEvidenceSettings &settings)
{
    return std::min<Duration>(settings.maxTrialTurn, settings.trialTurn * static_cast<std::int64_t>(evidence.peers.size() + 1));
}

/** Pause after the latest crash until a request with the blocked causes may be tried; empty: none is tried. */
std::optional<Duration>
pauseBeforeTrial(const CrashEvidence &evidence, const BlockedCauses &blocked, std::span<const CrashCause> causes, const CrashEvidenceSettings &settings)
{
    if (blocked.crashes < settings.minCrashes) {
        return Duration::zero();
    }
    if (isExplainedWithout(evidence, blocked, causes, settings)) {
        const bool manyCrashes = blocked.crashes >= settings.certainCrashes;
        const Duration first = blocked.doubtful ? Duration(settings.doubtfulPause)
            : manyCrashes                       ? Duration(settings.probation)
                                                : Duration(settings.contestedPause);
        return std::min<Duration>(settings.maxTrialPause, first * (1LL << (trialGrowth * std::min(blocked.failedTrials, maxTrialGrowth))));
    }
    return blocked.certain ? std::nullopt : std::optional<Duration>(settings.probation);
}

/** Whether this entry may send a request with the blocked causes now. */
bool mayTry(const CrashEvidence &evidence,
            const BlockedCauses &blocked,
            std::span<const CrashCause> causes,
            const CrashEvidenceSettings &settings,
            TimePoint now)
{
    const auto trial = evidence.trials.find(blocked.causes);
    if (trial != evidence.trials.end() && now < trial->second) {
        return false;
    }
    if (blocked.crashes < settings.minCrashes) {
        return true;
    }
    const auto pause = pauseBeforeTrial(evidence, blocked, causes, settings);
    return pause && now >= blocked.lastCrash + *pause + turnTime(evidence, settings) * entriesBefore(evidence);
}

} // namespace

const BlockedCauses *
findBlocked(const CrashEvidence &evidence, std::span<const CrashCause> causes, const CrashEvidenceSettings &settings, TimePoint now) noexcept
{
    for (const BlockedCauses &blocked : evidence.blocked) {
        if (includesAll(causes, blocked.causes) && !mayTry(evidence, blocked, causes, settings, now)) {
            return &blocked;
        }
    }
    return nullptr;
}

bool beginTrial(CrashEvidence &evidence, std::span<const CrashCause> causes, const CrashEvidenceSettings &settings, TimePoint now)
{
    bool begun = false;
    for (const BlockedCauses &blocked : evidence.blocked) {
        if (includesAll(causes, blocked.causes)) {
            evidence.trials[blocked.causes] = now + settings.trialTime;
            begun = true;
        }
    }
    return begun;
}

void endTrial(CrashEvidence &evidence, std::span<const CrashCause> causes, bool received, const CrashEvidenceSettings &settings, TimePoint now)
{
    for (auto &[blocked, until] : evidence.trials) {
        if (includesAll(causes, blocked)) {
            until = std::min(until, received ? now + settings.trialResultTime : now);
        }
    }
}

void recordRefusal(CrashEvidence &evidence, const BlockedCauses &blocked, TimePoint now)
{
    for (const TargetRunHash run : blocked.runs) {
        const auto crash = evidence.crashes.find(run);
        if (crash != evidence.crashes.end()) {
            crash->second.lastNeeded = std::max(crash->second.lastNeeded, now);
        }
    }
}

std::uint32_t suspicionOf(const CrashEvidence &evidence, std::span<const CrashCause> causes) noexcept
{
    std::uint32_t most = 0;
    for (const CrashCause cause : causes) {
        const auto found = evidence.unexplained.find(cause);
        most = found == evidence.unexplained.end() ? most : std::max(most, found->second);
    }
    return most;
}

Duration blockedFor(const CrashEvidence &evidence,
                    const BlockedCauses &blocked,
                    std::span<const CrashCause> causes,
                    const CrashEvidenceSettings &settings,
                    TimePoint now) noexcept
{
    const auto pause = pauseBeforeTrial(evidence, blocked, causes, settings);
    // Once the pause is over, the result of another request's trial is due soon.
    return pause ? std::max<Duration>(settings.trialWait, blocked.lastCrash + *pause - now) : Duration(settings.retention);
}

} // namespace snipehill
