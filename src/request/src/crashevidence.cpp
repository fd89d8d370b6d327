#include <request/crashevidence.h>

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace snipehill
{

namespace
{

constexpr seconds repeatTime{30}; // crashes without a verdict are repeated to other entries for this time; a verdict takes seconds
constexpr seconds neededStep{1}; // smaller differences of lastNeeded may come from the transit of a report

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

} // namespace snipehill
