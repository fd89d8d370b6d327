#include <request/crashevidence.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

namespace snipehill
{

namespace
{

constexpr std::size_t runsPerVerdict = 8; // more than certainCrashes, so that an entry that learns only these is as certain
constexpr seconds repeatTime{30}; // crashes without a verdict are repeated to other entries for this time; a verdict takes seconds
constexpr seconds neededStep{1}; // smaller differences of lastNeeded may come from the transit of a report

/** What the crashes that are not explained yet say about one cause. */
struct Tally
{
    std::uint32_t independent = 0;
    std::uint32_t runs = 0;
    std::uint32_t requests = 0;
    TimePoint lastCounted{};
};

using OpenCrash = std::pair<TargetRunHash, const CrashRecord *>;
using Tallies = std::unordered_map<CrashCause, Tally>;

CrashRecord &recordFor(CrashEvidence &evidence, TargetRunHash run, const CrashEvidenceSettings &settings, TimePoint time)
{
    const auto [found, added] = evidence.crashes.try_emplace(run);
    CrashRecord &record = found->second;
    if (added) {
        record.time = time;
        record.lastNeeded = time;
    }
    while (evidence.crashes.size() > settings.maxCrashes) {
        auto oldest = evidence.crashes.end();
        for (auto crash = evidence.crashes.begin(); crash != evidence.crashes.end(); ++crash) {
            if (crash != found && (oldest == evidence.crashes.end() || crash->second.lastNeeded < oldest->second.lastNeeded)) {
                oldest = crash;
            }
        }
        evidence.crashes.erase(oldest);
    }
    return record;
}

std::optional<TimePoint> lastSound(const CrashEvidence &evidence, CrashCause cause)
{
    for (const auto *times : {&evidence.sound, &evidence.olderSound}) {
        const auto found = times->find(cause);
        if (found != times->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

/** Adds a suspect; returns whether the record changed. */
bool addSuspect(CrashEvidence &evidence, CrashRecord &record, const CrashSuspect &suspect, bool local, const CrashEvidenceSettings &settings)
{
    const auto known = record.suspects.find(suspect.causes);
    if (known != record.suspects.end()) {
        const bool changed = suspect.sentBefore < known->second.sentBefore || (local && !known->second.local);
        known->second = {std::min(known->second.sentBefore, suspect.sentBefore), known->second.local || local};
        return changed;
    }
    if (record.suspects.size() >= settings.maxSuspectsPerCrash || suspect.causes.empty()) {
        return false;
    }
    record.suspects.emplace(suspect.causes, SuspectRecord{suspect.sentBefore, local});
    evidence.suspected.insert(suspect.causes.begin(), suspect.causes.end());
    for (const CrashCause cause : suspect.causes) {
        const auto began = lastSound(evidence, cause);
        if (began && *began > record.time && record.cleared.insert(cause).second) {
            record.clearedLocally.insert(cause);
            record.unsentUpdates = settings.sendsPerChange;
        }
    }
    return true;
}

bool hasCause(const CrashRecord &record, CrashCause cause)
{
    return std::any_of(record.suspects.begin(), record.suspects.end(), [cause](const auto &suspect) {
        return std::binary_search(suspect.first.begin(), suspect.first.end(), cause);
    });
}

/** Clears a cause of the crashes before a time; returns their number. */
std::size_t clearBefore(CrashEvidence &evidence, CrashCause cause, TimePoint began, const CrashEvidenceSettings &settings)
{
    std::size_t cleared = 0;
    if (!evidence.suspected.contains(cause)) {
        return cleared;
    }
    for (auto &[run, record] : evidence.crashes) {
        if (record.time < began && !record.cleared.contains(cause) && hasCause(record, cause)) {
            record.cleared.insert(cause);
            record.clearedLocally.insert(cause);
            record.unsentUpdates = settings.sendsPerChange;
            evidence.changed = true;
            ++cleared;
        }
    }
    return cleared;
}

/** Counts a crash for the causes of its suspects. */
void countCrash(Tallies &tallies, const CrashRecord &record)
{
    std::map<CrashCause, Duration> latest; // shortest time from sending to the crash
    for (const auto &[causes, suspect] : record.suspects) {
        for (const CrashCause cause : causes) {
            if (!record.cleared.contains(cause)) {
                const auto found = latest.try_emplace(cause, suspect.sentBefore).first;
                found->second = std::min(found->second, suspect.sentBefore);
                ++tallies[cause].requests;
            }
        }
    }
    for (const auto &[cause, sentBefore] : latest) {
        Tally &tally = tallies[cause];
        if (tally.runs == 0 || record.time - sentBefore > tally.lastCounted) {
            ++tally.independent;
            tally.lastCounted = record.time;
        }
        ++tally.runs;
    }
}

Tallies tally(const std::vector<OpenCrash> &crashes)
{
    Tallies tallies;
    for (const auto &[run, record] : crashes) {
        countCrash(tallies, *record);
    }
    return tallies;
}

/** The cause that explains most crashes; of several, the one with fewest requests, as its presence is the least likely by chance. */
Tallies::const_iterator mostLikely(const Tallies &tallies)
{
    const auto rank = [](const Tallies::value_type &item) {
        return std::make_tuple(item.second.independent, item.second.runs, std::numeric_limits<std::uint32_t>::max() - item.second.requests, item.first);
    };
    return std::max_element(tallies.begin(), tallies.end(), [&rank](const auto &left, const auto &right) {
        return rank(left) < rank(right);
    });
}

bool explains(const CrashRecord &record, CrashCause cause)
{
    return !record.cleared.contains(cause) && hasCause(record, cause);
}

/** Causes that stand beside the given one in some request in each of the crashes that it explains, itself included. */
std::vector<CrashCause> companionsOf(CrashCause cause, const std::vector<OpenCrash> &crashes)
{
    std::optional<std::set<CrashCause>> common;
    for (const OpenCrash &crash : crashes) {
        const CrashRecord &record = *crash.second;
        if (!explains(record, cause)) {
            continue;
        }
        std::set<CrashCause> beside;
        for (const auto &[causes, suspect] : record.suspects) {
            if (std::binary_search(causes.begin(), causes.end(), cause)) {
                beside.insert(causes.begin(), causes.end());
            }
        }
        std::erase_if(beside, [&](CrashCause other) {
            return record.cleared.contains(other) || (common && !common->contains(other));
        });
        common = std::move(beside);
    }
    return common ? std::vector<CrashCause>(common->begin(), common->end()) : std::vector<CrashCause>();
}

/** Blocks a cause and removes the crashes that it explains from the open ones. */
BlockedCauses blockCause(CrashCause cause, const Tally &counted, std::vector<OpenCrash> &crashes, const CrashEvidenceSettings &settings)
{
    BlockedCauses blocked{.causes = companionsOf(cause, crashes), .crashes = counted.independent, .lostRuns = counted.runs};
    blocked.certain = counted.runs >= settings.certainCrashes;
    std::vector<TargetRunHash> dependent;
    Tallies tallies;
    std::vector<OpenCrash> open;
    for (const OpenCrash &crash : crashes) {
        if (!explains(*crash.second, cause)) {
            open.push_back(crash);
            continue;
        }
        const std::uint32_t before = tallies[cause].independent;
        countCrash(tallies, *crash.second);
        (tallies[cause].independent > before ? blocked.runs : dependent).push_back(crash.first);
        blocked.lastCrash = crash.second->time;
    }
    crashes = std::move(open);
    std::move(dependent.begin(), dependent.end(), std::back_inserter(blocked.runs));
    blocked.runs.resize(std::min(blocked.runs.size(), runsPerVerdict));
    return blocked;
}

CrashReport emptyReport(TargetRunHash run, const CrashRecord &record, TimePoint now)
{
    return {.run = run,
            .age = std::chrono::duration_cast<milliseconds>(now - record.time),
            .unneeded = std::chrono::duration_cast<milliseconds>(now - record.lastNeeded),
            .suspects = {},
            .cleared = {}};
}

std::size_t causesIn(const CrashReport &report)
{
    std::size_t causes = report.cleared.size();
    for (const CrashSuspect &suspect : report.suspects) {
        causes += suspect.causes.size();
    }
    return causes;
}

/** What this entry has seen of a crash; entries that merge it don't tell it again as a change. */
CrashReport reportOfChanges(TargetRunHash run, const CrashRecord &record, TimePoint now)
{
    CrashReport report = emptyReport(run, record, now);
    for (const auto &[causes, suspect] : record.suspects) {
        if (suspect.local) {
            report.suspects.push_back({causes, suspect.sentBefore});
        }
    }
    report.cleared.assign(record.clearedLocally.begin(), record.clearedLocally.end());
    return report;
}

/** Causes that a verdict names, or of which one more crash could bring one. */
std::set<CrashCause> relevantCauses(const CrashEvidence &evidence, const CrashEvidenceSettings &settings)
{
    std::set<CrashCause> causes;
    for (const BlockedCauses &blocked : evidence.blocked) {
        causes.insert(blocked.causes.begin(), blocked.causes.end());
    }
    for (const auto &[cause, crashes] : evidence.unexplained) {
        if (crashes + 1 >= settings.minCrashes) {
            causes.insert(cause);
        }
    }
    return causes;
}

/** Whether a verdict rests on the crash, or it is recent enough for one to come. */
bool isWorthRepeating(const CrashEvidence &evidence, TargetRunHash run, const CrashRecord &record, TimePoint now)
{
    return now - record.time < repeatTime || std::any_of(evidence.blocked.begin(), evidence.blocked.end(), [run](const BlockedCauses &blocked) {
               return std::find(blocked.runs.begin(), blocked.runs.end(), run) != blocked.runs.end();
           });
}

/** What entries that missed the changes of a crash still need to know of it. */
CrashReport reportOfRelevant(TargetRunHash run, const CrashRecord &record, const std::set<CrashCause> &relevant, TimePoint now)
{
    CrashReport report = emptyReport(run, record, now);
    for (const auto &[causes, suspect] : record.suspects) {
        const bool needed = std::any_of(causes.begin(), causes.end(), [&](CrashCause cause) {
            return relevant.contains(cause) && !record.cleared.contains(cause);
        });
        if (needed) {
            report.suspects.push_back({causes, suspect.sentBefore});
        }
    }
    for (const CrashSuspect &suspect : report.suspects) {
        std::copy_if(suspect.causes.begin(), suspect.causes.end(), std::back_inserter(report.cleared), [&record](CrashCause cause) {
            return record.cleared.contains(cause);
        });
    }
    return report;
}

} // namespace

void recordCrash(CrashEvidence &evidence, TargetRunHash run, const CrashSuspect &suspect, const CrashEvidenceSettings &settings, TimePoint now)
{
    CrashRecord &record = recordFor(evidence, run, settings, now);
    if (addSuspect(evidence, record, suspect, true, settings)) {
        record.unsentUpdates = settings.sendsPerChange;
        evidence.changed = true;
    }
}

void recordSound(CrashEvidence &evidence, std::span<const CrashCause> causes, TimePoint began, const CrashEvidenceSettings &settings)
{
    if (evidence.sound.size() >= settings.maxSoundCauses / 2) {
        evidence.olderSound = std::exchange(evidence.sound, {});
    }
    for (const CrashCause cause : causes) {
        TimePoint &latest = evidence.sound[cause];
        latest = std::max(latest, began);
        clearBefore(evidence, cause, began, settings);
    }
}

bool releaseCause(CrashEvidence &evidence, CrashCause cause, const CrashEvidenceSettings &settings, TimePoint now)
{
    evaluateCrashes(evidence, settings, now);
    // Without the others of its combination, evidence against these alone would block more requests than before.
    std::set<CrashCause> causes{cause};
    for (const BlockedCauses &blocked : evidence.blocked) {
        if (std::binary_search(blocked.causes.begin(), blocked.causes.end(), cause)) {
            causes.insert(blocked.causes.begin(), blocked.causes.end());
        }
    }
    std::size_t cleared = 0;
    for (const CrashCause each : causes) {
        cleared += clearBefore(evidence, each, now, settings);
    }
    return cleared > 0;
}

void mergeCrashReport(CrashEvidence &evidence, const CrashReport &report, const CrashEvidenceSettings &settings, TimePoint now)
{
    if (report.unneeded > settings.retention) {
        return;
    }
    const TimePoint time = now - report.age;
    CrashRecord &record = recordFor(evidence, report.run, settings, time);
    bool changed = time + neededStep < record.time;
    record.time = std::min(record.time, time);
    if (now - report.unneeded > record.lastNeeded + neededStep) {
        record.lastNeeded = now - report.unneeded;
    }
    for (const CrashSuspect &suspect : report.suspects) {
        changed = addSuspect(evidence, record, suspect, false, settings) || changed;
    }
    for (const CrashCause cause : report.cleared) {
        changed = record.cleared.insert(cause).second || changed;
    }
    evidence.changed = evidence.changed || changed;
}

std::vector<CrashReport> takeCrashReports(CrashEvidence &evidence, const CrashEvidenceSettings &settings, TimePoint now)
{
    std::vector<CrashReport> reports;
    std::size_t causes = 0;
    for (auto &[run, record] : evidence.crashes) {
        if (record.unsentUpdates > 0 && causes < settings.changesPerUpdate) {
            --record.unsentUpdates;
            reports.push_back(reportOfChanges(run, record, now));
            causes += causesIn(reports.back());
        }
    }
    const std::set<CrashCause> relevant = relevantCauses(evidence, settings);
    auto crash = evidence.crashes.lower_bound(evidence.nextReport);
    causes = 0;
    for (std::size_t i = 0; i < evidence.crashes.size() && !relevant.empty() && causes < settings.repeatsPerUpdate; ++i) {
        if (crash == evidence.crashes.end()) {
            crash = evidence.crashes.begin();
        }
        if (isWorthRepeating(evidence, crash->first, crash->second, now)) {
            CrashReport report = reportOfRelevant(crash->first, crash->second, relevant, now);
            causes += causesIn(report);
            if (!report.suspects.empty()) {
                reports.push_back(std::move(report));
            }
        }
        ++crash;
    }
    evidence.nextReport = crash == evidence.crashes.end() ? 0 : crash->first;
    return reports;
}

void evaluateCrashes(CrashEvidence &evidence, const CrashEvidenceSettings &settings, TimePoint now)
{
    const std::size_t expired = std::erase_if(evidence.crashes, [&](const auto &crash) {
        return now - crash.second.lastNeeded > settings.retention;
    });
    if (!std::exchange(evidence.changed, false) && expired == 0) {
        return;
    }
    std::vector<OpenCrash> open;
    for (const auto &[run, record] : evidence.crashes) {
        open.emplace_back(run, &record);
    }
    std::sort(open.begin(), open.end(), [](const OpenCrash &left, const OpenCrash &right) {
        return left.second->time < right.second->time;
    });
    evidence.blocked.clear();
    evidence.unexplained.clear();
    Tallies tallies = tally(open);
    evidence.suspected.clear();
    for (const auto &[cause, counted] : tallies) {
        evidence.suspected.insert(cause);
    }
    while (!tallies.empty()) {
        const auto likely = mostLikely(tallies);
        if (likely->second.independent < settings.minCrashes) {
            break;
        }
        const CrashCause cause = likely->first;
        BlockedCauses blocked = blockCause(cause, likely->second, open, settings);
        tallies.erase(cause);
        const auto next = mostLikely(tallies);
        if (next != tallies.end()) {
            blocked.next = next->first;
            blocked.nextCrashes = next->second.independent;
        }
        evidence.blocked.push_back(std::move(blocked));
        tallies = tally(open);
    }
    for (const auto &[cause, counted] : tallies) {
        evidence.unexplained[cause] = counted.independent;
    }
}

const BlockedCauses *
findBlocked(const CrashEvidence &evidence, std::span<const CrashCause> causes, const CrashEvidenceSettings &settings, TimePoint now) noexcept
{
    for (const BlockedCauses &blocked : evidence.blocked) {
        const bool applies = blocked.certain || now - blocked.lastCrash < settings.probation;
        if (applies && std::includes(causes.begin(), causes.end(), blocked.causes.begin(), blocked.causes.end())) {
            return &blocked;
        }
    }
    return nullptr;
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

Duration blockedFor(const BlockedCauses &blocked, const CrashEvidenceSettings &settings, TimePoint now) noexcept
{
    return blocked.certain ? Duration(settings.retention) : std::max(Duration::zero(), blocked.lastCrash + settings.probation - now);
}

} // namespace snipehill
