#include "crashguard.h"

#include <process/log.h>
#include <process/metrics.h>
#include <request/estimate.h>

#include <json/writer.h>

#include <algorithm>
#include <cstdio>

namespace snipehill
{

namespace
{

std::string hexText(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

/** Whether requests with the causes are refused, not only sent one at a time. */
bool isRefused(const BlockedCauses &blocked, const CrashEvidenceSettings &settings)
{
    return blocked.crashes >= settings.minCrashes;
}

bool containsCauses(const std::vector<BlockedCauses> &list, const BlockedCauses &blocked)
{
    return std::any_of(list.begin(), list.end(), [&blocked](const BlockedCauses &other) {
        return other.causes == blocked.causes && other.certain == blocked.certain && other.doubtful == blocked.doubtful;
    });
}

LogFields describe(const BlockedCauses &blocked)
{
    return {{"causes", toString(blocked.causes)},
            {"crashes", blocked.crashes},
            {"lostRuns", blocked.lostRuns},
            {"certain", blocked.certain ? 1 : 0},
            {"doubtful", blocked.doubtful ? 1 : 0},
            {"failedTrials", blocked.failedTrials},
            {"runs", toString(blocked.runs)},
            {"next", hexText(blocked.next)},
            {"nextCrashes", blocked.nextCrashes}};
}

/** Why a verdict no longer holds. */
const char *withdrawalReason(const CrashEvidence &evidence, const BlockedCauses &blocked)
{
    const bool changed = std::any_of(evidence.blocked.begin(), evidence.blocked.end(), [&blocked](const BlockedCauses &other) {
        return other.causes == blocked.causes;
    });
    if (changed) {
        return "certainty changed";
    }
    for (const TargetRunHash run : blocked.runs) {
        const auto crash = evidence.crashes.find(run);
        if (crash == evidence.crashes.end()) {
            return "a crash was forgotten";
        }
        const auto isCleared = [&crash](CrashCause cause) {
            return crash->second.cleared.contains(cause);
        };
        if (std::any_of(blocked.causes.begin(), blocked.causes.end(), isCleared)) {
            return "a cause was cleared";
        }
    }
    return "the crashes are explained otherwise";
}

} // namespace

std::string toString(std::span<const CrashCause> causes)
{
    std::string text;
    for (const CrashCause cause : causes) {
        text += (text.empty() ? "" : ",") + hexText(cause);
    }
    return text;
}

void CrashGuard::evaluate(TimePoint now)
{
    if (!m_evidence.changed && m_evidence.crashes.empty()) {
        return;
    }
    const std::vector<BlockedCauses> before = m_evidence.blocked;
    evaluateCrashes(m_evidence, m_settings, now);
    for (const BlockedCauses &blocked : m_evidence.blocked) {
        if (isRefused(blocked, m_settings) && !containsCauses(before, blocked)) {
            processMetrics().count(Counter::CrashVerdicts, {"blocked"});
            logDistinctEvent(LogComponent::Entry, LogLevel::Warning, "requests blocked", describe(blocked));
        }
    }
    for (const BlockedCauses &blocked : before) {
        if (isRefused(blocked, m_settings) && !containsCauses(m_evidence.blocked, blocked)) {
            processMetrics().count(Counter::CrashVerdicts, {"released"});
            LogFields fields = describe(blocked);
            const auto refused = m_refusals.find(blocked.causes);
            fields.emplace_back("refused", refused == m_refusals.end() ? 0 : refused->second);
            fields.emplace_back("why", withdrawalReason(m_evidence, blocked));
            logDistinctEvent(LogComponent::Entry, LogLevel::Warning, "block withdrawn", std::move(fields));
            m_refusals.erase(blocked.causes);
        }
    }
}

bool CrashGuard::recordBroken(const TargetRef &target, const CrashSuspect &suspect, Duration flowing, TimePoint now)
{
    if (flowing > m_settings.suspectTime) {
        processMetrics().count(Counter::BrokenExchanges, {"flowing"});
        return false;
    }
    const std::lock_guard lock(m_lock);
    if (m_evidence.crashes.contains(target.run)) {
        recordCrash(m_evidence, target.run, suspect, m_settings, now);
        processMetrics().count(Counter::BrokenExchanges, {"crash"});
        return false;
    }
    const auto [found, added] = m_unresolved.try_emplace(target.run, Unresolved{.noticed = now, .suspects = {}});
    found->second.suspects.push_back(suspect);
    return added;
}

void CrashGuard::resolve(const TargetRef &target, bool ended, TimePoint now)
{
    const std::lock_guard lock(m_lock);
    const auto found = m_unresolved.find(target.run);
    if (found == m_unresolved.end()) {
        return;
    }
    const Unresolved unresolved = std::move(found->second);
    m_unresolved.erase(found);
    processMetrics().count(Counter::BrokenExchanges, {ended ? "crash" : "no_crash"}, unresolved.suspects.size());
    if (!ended) {
        return;
    }
    for (const CrashSuspect &suspect : unresolved.suspects) {
        recordCrash(m_evidence, target.run, suspect, m_settings, unresolved.noticed);
    }
    processMetrics().count(Counter::TargetCrashes);
    evaluate(now);
    std::uint32_t most = 0;
    std::vector<CrashCause> mostSuspected;
    for (const CrashSuspect &suspect : unresolved.suspects) {
        for (const CrashCause cause : suspect.causes) {
            const std::uint32_t crashes = suspicionOf(m_evidence, {&cause, 1});
            if (crashes > most) {
                most = crashes;
                mostSuspected.clear();
            }
            if (crashes == most && crashes > 0 && std::find(mostSuspected.begin(), mostSuspected.end(), cause) == mostSuspected.end()) {
                mostSuspected.push_back(cause);
            }
        }
    }
    constexpr std::size_t maxLoggedCauses = 8;
    mostSuspected.resize(std::min(mostSuspected.size(), maxLoggedCauses));
    logDistinctEvent(LogComponent::Entry,
                     LogLevel::Warning,
                     "target ended with requests on it",
                     {{"target", target.id},
                      {"run", hexText(target.run)},
                      {"requests", unresolved.suspects.size()},
                      {"unexplained", most},
                      {"mostSuspected", toString(mostSuspected)}});
}

void CrashGuard::recordSound(std::span<const CrashCause> causes, TimePoint began)
{
    const std::lock_guard lock(m_lock);
    snipehill::recordSound(m_evidence, causes, began, m_settings);
}

std::optional<CrashBlock> CrashGuard::findBlock(std::span<const CrashCause> causes, TimePoint now)
{
    const std::lock_guard lock(m_lock);
    return findBlockLocked(causes, now);
}

std::optional<CrashBlock> CrashGuard::findBlockLocked(std::span<const CrashCause> causes, TimePoint now)
{
    evaluate(now);
    const BlockedCauses *blocked = findBlocked(m_evidence, causes, m_settings, now);
    if (!blocked) {
        return std::nullopt;
    }
    recordRefusal(m_evidence, *blocked, now);
    ++m_refusals[blocked->causes];
    return CrashBlock{blocked->causes, blocked->lostRuns, blockedFor(m_evidence, *blocked, causes, m_settings, now)};
}

CrashDecision CrashGuard::admit(std::span<const CrashCause> causes, TimePoint now)
{
    const std::lock_guard lock(m_lock);
    CrashDecision decision{.block = findBlockLocked(causes, now)};
    decision.trial = !decision.block && beginTrial(m_evidence, causes, m_settings, now);
    if (decision.trial) {
        processMetrics().count(Counter::CrashVerdicts, {"tried"});
    }
    return decision;
}

void CrashGuard::endTrial(std::span<const CrashCause> causes, bool received, TimePoint now)
{
    const std::lock_guard lock(m_lock);
    snipehill::endTrial(m_evidence, causes, received, m_settings, now);
}

void CrashGuard::setPeers(std::string_view self, const std::vector<std::string> &peers)
{
    const std::lock_guard lock(m_lock);
    m_evidence.self = fingerprintOf(self);
    m_evidence.peers.clear();
    for (const std::string &peer : peers) {
        m_evidence.peers.push_back(fingerprintOf(peer));
    }
}

bool CrashGuard::isSuspect(std::span<const CrashCause> causes, TimePoint now)
{
    const std::lock_guard lock(m_lock);
    evaluate(now);
    return suspicionOf(m_evidence, causes) + 1 >= m_settings.minCrashes;
}

bool CrashGuard::release(CrashCause cause, TimePoint now)
{
    const std::lock_guard lock(m_lock);
    const bool released = releaseCause(m_evidence, cause, m_settings, now);
    evaluate(now);
    return released;
}

std::string CrashGuard::blockedAsJson(TimePoint now)
{
    const std::lock_guard lock(m_lock);
    evaluate(now);
    Json::Value list(Json::arrayValue);
    for (const BlockedCauses &blocked : m_evidence.blocked) {
        if (!isRefused(blocked, m_settings)) {
            continue;
        }
        Json::Value item;
        for (const CrashCause cause : blocked.causes) {
            item["causes"].append(hexText(cause));
        }
        item["crashes"] = blocked.crashes;
        item["lostRuns"] = blocked.lostRuns;
        item["certain"] = blocked.certain;
        item["doubtful"] = blocked.doubtful;
        item["secondsSinceCrash"] = Json::Int64(std::chrono::duration_cast<seconds>(now - blocked.lastCrash).count());
        list.append(std::move(item));
    }
    return Json::writeString(Json::StreamWriterBuilder(), list) + "\n";
}

std::vector<CrashReport> CrashGuard::takeReports(TimePoint now)
{
    const std::lock_guard lock(m_lock);
    evaluate(now);
    return takeCrashReports(m_evidence, m_settings, now);
}

void CrashGuard::mergeReports(std::span<const CrashReport> reports, TimePoint now)
{
    const std::lock_guard lock(m_lock);
    for (const CrashReport &report : reports) {
        mergeCrashReport(m_evidence, report, m_settings, now);
    }
}

} // namespace snipehill
