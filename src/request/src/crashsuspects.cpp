#include <request/crashsuspects.h>

#include <algorithm>
#include <tuple>

namespace snipehill
{

namespace
{

constexpr SuspectRank verdictsPerGeneration = 4;

SuspectRank rankOf(SuspectRank generation, Verdict verdict)
{
    return generation * verdictsPerGeneration + static_cast<SuspectRank>(verdict);
}

/** The lowest rank with this verdict that overrides the given one. */
SuspectRank nextRank(SuspectRank rank, Verdict verdict)
{
    const SuspectRank generation = std::max<SuspectRank>(1, rank / verdictsPerGeneration);
    const SuspectRank same = rankOf(generation, verdict);
    return same > rank ? same : rankOf(generation + 1, verdict);
}

void raise(CrashSuspects &suspects, std::uint64_t fingerprint, Verdict verdict, TimePoint now)
{
    SuspectRecord &record = suspects.records[fingerprint];
    record = SuspectRecord{nextRank(record.rank, verdict), now};
}

/** How long a record has any effect. */
Duration lifetimeOf(SuspectRank rank, const CrashSettings &settings)
{
    return verdictOf(rank) == Verdict::Blocked ? settings.blockTime + settings.memory : settings.suspectTime;
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

Verdict verdictOf(SuspectRank rank) noexcept
{
    return static_cast<Verdict>(rank % verdictsPerGeneration);
}

Judgement judge(const CrashSuspects &suspects, std::uint64_t fingerprint, const CrashSettings &settings, TimePoint now)
{
    const auto found = suspects.records.find(fingerprint);
    if (found == suspects.records.end()) {
        return Judgement::Clear;
    }
    const SuspectRecord &record = found->second;
    const Verdict verdict = verdictOf(record.rank);
    if (verdict == Verdict::Cleared || now - record.since >= lifetimeOf(record.rank, settings)) {
        return Judgement::Clear;
    }
    const bool blocked = verdict == Verdict::Blocked && now - record.since < settings.blockTime;
    return blocked ? Judgement::Blocked : Judgement::RunAlone;
}

void noteCrash(CrashSuspects &suspects, std::span<const std::uint64_t> inFlight, bool alone, const CrashSettings &settings, TimePoint now)
{
    for (const std::uint64_t fingerprint : inFlight) {
        const auto found = suspects.records.find(fingerprint);
        const bool known = found != suspects.records.end() && verdictOf(found->second.rank) != Verdict::Cleared;
        if (alone) {
            raise(suspects, fingerprint, Verdict::Blocked, now);
        } else if (!known) {
            raise(suspects, fingerprint, Verdict::Suspect, now);
        }
    }
    dropOldest(suspects, settings);
}

void noteAloneSuccess(CrashSuspects &suspects, std::uint64_t fingerprint, TimePoint now)
{
    if (suspects.records.contains(fingerprint)) {
        raise(suspects, fingerprint, Verdict::Cleared, now);
    }
}

void mergeNews(CrashSuspects &suspects, std::span<const SuspectNews> news, const CrashSettings &settings, TimePoint now)
{
    for (const SuspectNews &item : news) {
        if (item.age >= lifetimeOf(item.rank, settings)) {
            continue;
        }
        const TimePoint since = now - item.age;
        const auto [found, added] = suspects.records.try_emplace(item.fingerprint, SuspectRecord{item.rank, since});
        SuspectRecord &record = found->second;
        if (item.rank > record.rank) {
            record = SuspectRecord{item.rank, since};
        } else if (item.rank == record.rank) {
            // The earlier time wins: news that goes round in circles must not look younger each time.
            record.since = std::min(record.since, since);
        }
    }
    dropOldest(suspects, settings);
}

std::vector<SuspectNews> suspectNews(const CrashSuspects &suspects, std::size_t max, const CrashSettings &settings, TimePoint now)
{
    std::vector<SuspectNews> news;
    for (const auto &[fingerprint, record] : suspects.records) {
        if (now - record.since + settings.newsMargin < lifetimeOf(record.rank, settings)) {
            news.push_back({fingerprint, record.rank, std::chrono::duration_cast<milliseconds>(now - record.since)});
        }
    }
    const std::size_t count = std::min(max, news.size());
    std::partial_sort(news.begin(), news.begin() + static_cast<std::ptrdiff_t>(count), news.end(), [](const SuspectNews &left, const SuspectNews &right) {
        return std::tie(left.age, left.fingerprint) < std::tie(right.age, right.fingerprint);
    });
    news.resize(count);
    return news;
}

void forgetOld(CrashSuspects &suspects, const CrashSettings &settings, TimePoint now)
{
    std::erase_if(suspects.records, [&](const auto &item) {
        return now - item.second.since >= lifetimeOf(item.second.rank, settings);
    });
}

} // namespace snipehill
