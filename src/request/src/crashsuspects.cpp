#include <request/crashsuspects.h>

#include <algorithm>
#include <tuple>

namespace snipehill
{

namespace
{

constexpr SuspectRank statusesPerGeneration = 4;

SuspectRank rankOf(SuspectRank generation, CrashStatus status)
{
    return generation * statusesPerGeneration + static_cast<SuspectRank>(status);
}

/** The lowest rank with this status that overrides the given rank. */
SuspectRank nextRank(SuspectRank rank, CrashStatus status)
{
    const SuspectRank generation = std::max<SuspectRank>(1, rank / statusesPerGeneration);
    const SuspectRank same = rankOf(generation, status);
    return same > rank ? same : rankOf(generation + 1, status);
}

void raiseStatus(CrashSuspects &suspects, std::uint64_t fingerprint, CrashStatus status, TimePoint now)
{
    SuspectRecord &record = suspects.records[fingerprint];
    record = SuspectRecord{nextRank(record.rank, status), now};
}

/** How long a record has an effect, counted from SuspectRecord::since. */
Duration lifetimeOf(SuspectRank rank, const CrashSettings &settings)
{
    return crashStatusOf(rank) == CrashStatus::Blocked ? settings.blockTime + settings.probationTime : settings.suspectTime;
}

void dropOldest(CrashSuspects &suspects, const CrashSettings &settings)
{
    while (suspects.records.size() > settings.maxRecords) {
        const auto oldest = std::min_element(suspects.records.begin(), suspects.records.end(), [](const auto &left, const auto &right) {
            return left.second.since < right.second.since;
        });
        suspects.records.erase(oldest);
    }
}

} // namespace

CrashStatus crashStatusOf(SuspectRank rank) noexcept
{
    return static_cast<CrashStatus>(rank % statusesPerGeneration);
}

RunPermission runPermissionFor(const CrashSuspects &suspects, std::uint64_t fingerprint, const CrashSettings &settings, TimePoint now)
{
    const auto found = suspects.records.find(fingerprint);
    if (found == suspects.records.end()) {
        return RunPermission::Clear;
    }
    const SuspectRecord &record = found->second;
    const CrashStatus status = crashStatusOf(record.rank);
    if (status == CrashStatus::Cleared || now - record.since >= lifetimeOf(record.rank, settings)) {
        return RunPermission::Clear;
    }
    const bool blocked = status == CrashStatus::Blocked && now - record.since < settings.blockTime;
    return blocked ? RunPermission::Blocked : RunPermission::Isolated;
}

void recordCrash(CrashSuspects &suspects, std::span<const std::uint64_t> inFlight, bool isolated, const CrashSettings &settings, TimePoint now)
{
    for (const std::uint64_t fingerprint : inFlight) {
        const auto found = suspects.records.find(fingerprint);
        const bool suspected = found != suspects.records.end() && crashStatusOf(found->second.rank) != CrashStatus::Cleared;
        if (isolated) {
            raiseStatus(suspects, fingerprint, CrashStatus::Blocked, now);
        } else if (!suspected) {
            raiseStatus(suspects, fingerprint, CrashStatus::Suspect, now);
        }
    }
    dropOldest(suspects, settings);
}

void recordIsolatedSuccess(CrashSuspects &suspects, std::uint64_t fingerprint, TimePoint now)
{
    if (suspects.records.contains(fingerprint)) {
        raiseStatus(suspects, fingerprint, CrashStatus::Cleared, now);
    }
}

void mergeSuspectUpdates(CrashSuspects &suspects, std::span<const SuspectUpdate> updates, const CrashSettings &settings, TimePoint now)
{
    for (const SuspectUpdate &item : updates) {
        if (item.age >= lifetimeOf(item.rank, settings)) {
            continue;
        }
        const TimePoint since = now - item.age;
        const auto [found, added] = suspects.records.try_emplace(item.fingerprint, SuspectRecord{item.rank, since});
        SuspectRecord &record = found->second;
        if (item.rank > record.rank) {
            record = SuspectRecord{item.rank, since};
        } else if (item.rank == record.rank) {
            // Keep the earlier time, so that an update that circulates between processes doesn't become younger each time.
            record.since = std::min(record.since, since);
        }
    }
    dropOldest(suspects, settings);
}

std::vector<SuspectUpdate> suspectUpdates(const CrashSuspects &suspects, std::size_t max, const CrashSettings &settings, TimePoint now)
{
    std::vector<SuspectUpdate> updates;
    for (const auto &[fingerprint, record] : suspects.records) {
        if (now - record.since + settings.updateMargin < lifetimeOf(record.rank, settings)) {
            updates.push_back({fingerprint, record.rank, std::chrono::duration_cast<milliseconds>(now - record.since)});
        }
    }
    const std::size_t count = std::min(max, updates.size());
    std::partial_sort(
        updates.begin(), updates.begin() + static_cast<std::ptrdiff_t>(count), updates.end(), [](const SuspectUpdate &left, const SuspectUpdate &right) {
            return std::tie(left.age, left.fingerprint) < std::tie(right.age, right.fingerprint);
        });
    updates.resize(count);
    return updates;
}

void removeExpired(CrashSuspects &suspects, const CrashSettings &settings, TimePoint now)
{
    std::erase_if(suspects.records, [&](const auto &item) {
        return now - item.second.since >= lifetimeOf(item.second.rank, settings);
    });
}

} // namespace snipehill
