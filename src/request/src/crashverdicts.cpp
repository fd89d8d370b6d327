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

/** The crashes that are not explained yet, by the number of requests on their runs. */
struct OpenSizes
{
    std::map<std::size_t, std::size_t> crashes; //!< by requests on the run
    std::size_t runs = 0;
    std::size_t requests = 0;
};

OpenSizes countSizes(const std::vector<OpenCrash> &crashes, const std::vector<bool> &explained)
{
    OpenSizes sizes;
    for (std::size_t crash = 0; crash < crashes.size(); ++crash) {
        if (!explained[crash]) {
            ++sizes.crashes[crashes[crash].requests];
            ++sizes.runs;
            sizes.requests += crashes[crash].requests;
        }
    }
    return sizes;
}

/**
 * How much likelier it is that the requests with a cause were on the crashed runs because they crash them than by chance, as a
 * logarithm. By chance, each request on a run has the cause as often as the requests on all these runs do.
 */
double improbability(const Tally &tally, const OpenSizes &sizes)
{
    const double share = static_cast<double>(tally.requests) / static_cast<double>(sizes.requests);
    double expected = 0; // runs with the cause, by chance
    for (const auto &[requests, crashes] : sizes.crashes) {
        expected += static_cast<double>(crashes) * (1 - std::pow(1 - share, static_cast<double>(requests)));
    }
    const double all = static_cast<double>(sizes.runs);
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

/** What is blocked because of the open crashes of one cause. */
BlockedCauses describe(const std::vector<Presence> &presences,
                       const Tally &counted,
                       const std::vector<OpenCrash> &crashes,
                       const std::vector<bool> &explained,
                       const CrashEvidenceSettings &settings)
{
    BlockedCauses blocked{.causes = companionsOf(presences, crashes, explained), .crashes = counted.independent, .lostRuns = counted.runs};
    blocked.certain = counted.runs >= settings.certainCrashes;
    blocked.improbability = improbability(counted, countSizes(crashes, explained));
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

/** A cause with enough open crashes, and what it is ranked by. */
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

/** The causes with enough open crashes, the most likely culprit first. */
std::vector<Ranked> rankCauses(const Presences &presences,
                               const std::vector<OpenCrash> &crashes,
                               const std::vector<bool> &explained,
                               std::uint32_t minCrashes,
                               const CrashEvidenceSettings &settings)
{
    std::vector<Ranked> ranked;
    const OpenSizes sizes = countSizes(crashes, explained);
    for (const auto &[cause, list] : presences) {
        if (list.size() < minCrashes) {
            continue;
        }
        Tally counted = tally(list, crashes, explained, settings);
        if (counted.independent >= minCrashes) {
            ranked.push_back({improbability(counted, sizes), std::move(counted), cause});
        }
    }
    std::sort(ranked.begin(), ranked.end(), isLikelier);
    return ranked;
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
            return std::includes(blocked.causes.begin(), blocked.causes.end(), other.causes.begin(), other.causes.end());
        });
        if (!implied) {
            blocked.certain = false;
            blocked.doubtful = true;
            blocked.failedTrials = countFailedTrials(list, item.tally, crashes, explained, settings);
            evidence.blocked.push_back(std::move(blocked));
        }
    }
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

} // namespace snipehill
