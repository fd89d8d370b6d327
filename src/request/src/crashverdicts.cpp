#include <request/crashevidence.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <optional>
#include <tuple>
#include <utility>

namespace snipehill
{

namespace
{

constexpr std::size_t runsPerVerdict = 8; // more than certainCrashes, so that an entry that learns only these is as certain
constexpr std::uint32_t trialGrowth = 3; // pauses between trials grow by this power of two with each failed one
constexpr std::uint32_t maxTrialGrowth = 4; // longer pauses would outlast the evidence
constexpr double rivalMargin = 0.7; // logarithm of 2: a cause that is half as likely may be the culprit as well

struct OpenCrash
{
    TargetRunHash run = 0;
    const CrashRecord *record = nullptr;
    std::size_t requests = 0; //!< on the run, as far as known
};

using SuspectEntry = std::map<std::vector<CrashCause>, SuspectRecord>::value_type;

/** The requests with one cause on one run. */
struct Presence
{
    std::size_t crash = 0; //!< index of the open crash
    std::vector<const SuspectEntry *> requests;

    TimePoint latestSent(const OpenCrash &open) const
    {
        Duration shortest = requests.front()->second.sentBefore;
        for (const SuspectEntry *request : requests) {
            shortest = std::min(shortest, request->second.sentBefore);
        }
        return open.record->time - shortest;
    }
};

using Presences = std::unordered_map<CrashCause, std::vector<Presence>>; // by time of the crash

/** What the crashes that are not explained yet say about one cause. */
struct Tally
{
    std::uint32_t independent = 0;
    std::uint32_t runs = 0;
    std::uint32_t requests = 0;
    std::vector<bool> counted; //!< for each presence: whether it counts as independent
    TimePoint suspectSince{}; //!< time of the independent crash that made the cause a suspect
};

std::vector<OpenCrash> crashesByTime(const CrashEvidence &evidence)
{
    std::vector<OpenCrash> crashes;
    for (const auto &[run, record] : evidence.crashes) {
        crashes.push_back({run, &record, record.suspects.size()});
    }
    std::stable_sort(crashes.begin(), crashes.end(), [](const OpenCrash &left, const OpenCrash &right) {
        return left.record->time < right.record->time;
    });
    return crashes;
}

Presences findPresences(const std::vector<OpenCrash> &crashes)
{
    Presences presences;
    for (std::size_t crash = 0; crash < crashes.size(); ++crash) {
        const CrashRecord &record = *crashes[crash].record;
        for (const SuspectEntry &suspect : record.suspects) {
            for (const CrashCause cause : suspect.first) {
                if (record.cleared.contains(cause)) {
                    continue;
                }
                auto &list = presences[cause];
                if (list.empty() || list.back().crash != crash) {
                    list.push_back({crash, {}});
                }
                list.back().requests.push_back(&suspect);
            }
        }
    }
    return presences;
}

/** Counts the crashes of a cause that are still open. */
Tally tally(const std::vector<Presence> &presences,
            const std::vector<OpenCrash> &crashes,
            const std::vector<bool> &explained,
            const CrashEvidenceSettings &settings)
{
    Tally result;
    TimePoint lastCounted{};
    for (const Presence &presence : presences) {
        const OpenCrash &crash = crashes[presence.crash];
        const bool open = !explained[presence.crash];
        const TimePoint sent = presence.latestSent(crash);
        const bool apart = result.runs == 0 || sent > lastCounted || crash.record->time - lastCounted >= settings.simultaneous;
        result.counted.push_back(open && apart);
        if (!open) {
            continue;
        }
        ++result.runs;
        result.requests += static_cast<std::uint32_t>(presence.requests.size());
        if (apart) {
            lastCounted = crash.record->time;
            result.suspectSince = ++result.independent == settings.suspectCrashes ? lastCounted : result.suspectSince;
        }
    }
    return result;
}

/**
 * How much likelier it is that the requests with a cause were on the crashed runs because they crash them than by chance, as a
 * logarithm. By chance, each request on a run has the cause as often as the requests on all these runs do.
 */
double improbability(const Tally &tally, const std::vector<OpenCrash> &crashes, const std::vector<bool> &explained)
{
    std::size_t requests = 0;
    std::size_t runs = 0;
    for (std::size_t crash = 0; crash < crashes.size(); ++crash) {
        if (!explained[crash]) {
            requests += crashes[crash].requests;
            ++runs;
        }
    }
    const double share = static_cast<double>(tally.requests) / static_cast<double>(requests);
    double expected = 0; // runs with the cause, by chance
    for (std::size_t crash = 0; crash < crashes.size(); ++crash) {
        expected += explained[crash] ? 0 : 1 - std::pow(1 - share, static_cast<double>(crashes[crash].requests));
    }
    const double all = static_cast<double>(runs);
    const double present = tally.runs;
    if (present <= expected) {
        return 0;
    }
    const double absent = all - present;
    return present * std::log(present / expected) + (absent > 0 ? absent * std::log(absent / (all - expected)) : 0);
}

/** Causes that each request with the cause has in each of its open crashes, itself included. */
std::vector<CrashCause> companionsOf(const std::vector<Presence> &presences, const std::vector<OpenCrash> &crashes, const std::vector<bool> &explained)
{
    std::optional<std::vector<CrashCause>> common;
    for (const Presence &presence : presences) {
        if (explained[presence.crash]) {
            continue;
        }
        for (const SuspectEntry *request : presence.requests) {
            std::vector<CrashCause> kept;
            const std::vector<CrashCause> &before = common ? *common : request->first;
            std::set_intersection(before.begin(), before.end(), request->first.begin(), request->first.end(), std::back_inserter(kept));
            common = std::move(kept);
        }
        std::erase_if(*common, [&](CrashCause cause) {
            return crashes[presence.crash].record->cleared.contains(cause);
        });
    }
    return common.value_or(std::vector<CrashCause>());
}

BlockedCauses describe(const std::vector<Presence> &presences,
                       const Tally &counted,
                       const std::vector<OpenCrash> &crashes,
                       const std::vector<bool> &explained,
                       const CrashEvidenceSettings &settings)
{
    BlockedCauses blocked{.causes = companionsOf(presences, crashes, explained), .crashes = counted.independent, .lostRuns = counted.runs};
    blocked.certain = counted.runs >= settings.certainCrashes;
    blocked.improbability = improbability(counted, crashes, explained);
    std::vector<TargetRunHash> dependent;
    for (std::size_t i = 0; i < presences.size(); ++i) {
        const std::size_t crash = presences[i].crash;
        if (!explained[crash]) {
            (counted.counted[i] ? blocked.runs : dependent).push_back(crashes[crash].run);
            if (counted.counted[i]) {
                blocked.evidence.push_back(crash);
            }
            blocked.lastCrash = crashes[crash].record->time;
        }
    }
    std::move(dependent.begin(), dependent.end(), std::back_inserter(blocked.runs));
    blocked.runs.resize(std::min(blocked.runs.size(), runsPerVerdict));
    return blocked;
}

/** The open causes with enough crashes, the most likely culprit first. */
struct Ranked
{
    double improbability = 0;
    Tally tally;
    CrashCause cause = 0;
};

bool isLikelier(const Ranked &left, const Ranked &right)
{
    const auto rank = [](const Ranked &item) {
        return std::make_tuple(item.improbability, item.tally.independent, item.tally.runs, -static_cast<double>(item.tally.requests), item.cause);
    };
    return rank(left) > rank(right);
}

std::vector<Ranked> rankCauses(const Presences &presences,
                               const std::vector<OpenCrash> &crashes,
                               const std::vector<bool> &explained,
                               std::uint32_t minCrashes,
                               const CrashEvidenceSettings &settings)
{
    std::vector<Ranked> ranked;
    for (const auto &[cause, list] : presences) {
        Tally counted = tally(list, crashes, explained, settings);
        if (counted.independent >= minCrashes) {
            ranked.push_back({improbability(counted, crashes, explained), std::move(counted), cause});
        }
    }
    std::sort(ranked.begin(), ranked.end(), isLikelier);
    return ranked;
}

bool includesAll(std::span<const CrashCause> causes, const std::vector<CrashCause> &part)
{
    return std::includes(causes.begin(), causes.end(), part.begin(), part.end());
}

/** Crashes that nothing else explains under requests that were sent when the cause was a suspect already. */
std::uint32_t countFailedTrials(const std::vector<Presence> &presences,
                                const Tally &counted,
                                const std::vector<OpenCrash> &crashes,
                                const std::vector<bool> &explained,
                                const CrashEvidenceSettings &settings)
{
    return static_cast<std::uint32_t>(std::count_if(presences.begin(), presences.end(), [&](const Presence &presence) {
        return !explained[presence.crash] && presence.latestSent(crashes[presence.crash]) > counted.suspectSince + settings.blockSpread;
    }));
}

/** Blocks causes whose crashes are all explained by others, but that may as well have caused them, and limits suspect ones to one request at a time. */
void blockDoubtful(CrashEvidence &evidence,
                   const Presences &presences,
                   const std::vector<OpenCrash> &crashes,
                   const std::vector<bool> &explained,
                   const CrashEvidenceSettings &settings)
{
    const std::vector<bool> none(crashes.size());
    for (const Ranked &item : rankCauses(presences, crashes, none, settings.suspectCrashes, settings)) {
        const auto &list = presences.at(item.cause);
        BlockedCauses blocked = describe(list, item.tally, crashes, none, settings);
        const bool implied = std::any_of(evidence.blocked.begin(), evidence.blocked.end(), [&blocked](const BlockedCauses &other) {
            return includesAll(blocked.causes, other.causes);
        });
        if (!implied) {
            blocked.certain = false;
            blocked.doubtful = true;
            blocked.failedTrials = countFailedTrials(list, item.tally, crashes, explained, settings);
            evidence.blocked.push_back(std::move(blocked));
        }
    }
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

void evaluateCrashes(CrashEvidence &evidence, const CrashEvidenceSettings &settings, TimePoint now)
{
    const std::size_t expired = std::erase_if(evidence.crashes, [&](const auto &crash) {
        return now - crash.second.lastNeeded > settings.retention;
    });
    if (!std::exchange(evidence.changed, false) && expired == 0) {
        return;
    }
    const std::vector<OpenCrash> crashes = crashesByTime(evidence);
    const Presences presences = findPresences(crashes);
    evidence.blocked.clear();
    evidence.unexplained.clear();
    evidence.suspected.clear();
    std::vector<bool> explained(crashes.size());
    while (true) {
        const std::vector<Ranked> ranked = rankCauses(presences, crashes, explained, settings.minCrashes, settings);
        if (ranked.empty()) {
            break;
        }
        const auto &list = presences.at(ranked.front().cause);
        BlockedCauses blocked = describe(list, ranked.front().tally, crashes, explained, settings);
        blocked.failedTrials = countFailedTrials(list, ranked.front().tally, crashes, explained, settings);
        if (ranked.size() > 1) {
            blocked.next = ranked[1].cause;
            blocked.nextCrashes = ranked[1].tally.independent;
        }
        evidence.blocked.push_back(std::move(blocked));
        for (const Presence &presence : list) {
            explained[presence.crash] = true;
        }
    }
    for (const auto &[cause, list] : presences) {
        evidence.suspected.insert(cause);
        evidence.unexplained[cause] = tally(list, crashes, explained, settings).independent;
    }
    blockDoubtful(evidence, presences, crashes, explained, settings);
    std::erase_if(evidence.trials, [&evidence](const auto &trial) {
        return std::none_of(evidence.blocked.begin(), evidence.blocked.end(), [&trial](const BlockedCauses &blocked) {
            return blocked.causes == trial.first;
        });
    });
    evidence.candidates.assign(crashes.size(), {});
    const std::vector<bool> none(crashes.size());
    for (const Ranked &item : rankCauses(presences, crashes, none, settings.suspectCrashes, settings)) {
        for (const Presence &presence : presences.at(item.cause)) {
            evidence.candidates[presence.crash].push_back({item.cause, item.tally.independent, item.improbability});
        }
    }
}

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
    // Later than that, the result of another request's trial, of this entry or of one whose turn it is, ends the block or begins a new pause.
    return pause ? std::max<Duration>(settings.trialWait, blocked.lastCrash + *pause - now) : Duration(settings.retention);
}

} // namespace snipehill
