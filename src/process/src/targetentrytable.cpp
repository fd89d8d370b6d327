#include <process/targetentrytable.h>

#include <algorithm>

namespace snipehill
{

namespace
{

constexpr std::chrono::minutes removedTargetMemory{10}; // far longer than the age of any copy that the log comes back from

/** Latest start time of the targets known at each address. */
using AddressOwners = std::map<std::string, std::int64_t, std::less<>>;

AddressOwners findAddressOwners(const TargetEntryTable &table)
{
    AddressOwners owners;
    for (const auto &[id, known] : table.targets) {
        auto &latest = owners[known.entry.address];
        latest = std::max(latest, known.entry.startTimeMs);
    }
    return owners;
}

/** Whether an entry of a target in an older copy says less than what is known of the same target. */
bool isOlderThanKnown(const KnownTarget &known, const TargetEntry &entry)
{
    if (entry.startTimeMs != known.entry.startTimeMs) {
        return entry.startTimeMs < known.entry.startTimeMs;
    }
    const bool numbered = entry.sequence > 0 && known.entry.sequence > 0;
    if (numbered && entry.sequence != known.entry.sequence) {
        return entry.sequence < known.entry.sequence;
    }
    return known.removed || (known.entry.draining && !entry.draining);
}

bool isOutdated(const TargetEntryTable &table, const AddressOwners &owners, const TargetEntry &entry)
{
    if (entry.startTimeMs == 0) {
        return false; // nothing tells which of two entries is the later one
    }
    const auto known = table.targets.find(entry.id);
    if (known != table.targets.end() && isOlderThanKnown(known->second, entry)) {
        return true;
    }
    const auto owner = owners.find(entry.address);
    return owner != owners.end() && owner->second > entry.startTimeMs;
}

TargetChange removeTarget(const std::string &id, KnownTarget &known, TimePoint now)
{
    known.removed = true;
    known.removedAt = now;
    known.missing = false;
    return {.id = id};
}

/** The target has no record any more. */
std::optional<TargetChange> applyMissing(TargetEntryTable &table, const std::string &id, TimePoint now)
{
    const auto found = table.targets.find(id);
    if (found == table.targets.end() || found->second.removed) {
        return std::nullopt;
    }
    if (now < table.graceUntil) {
        found->second.missing = true;
        return std::nullopt;
    }
    return removeTarget(id, found->second, now);
}

/** Keeps what is known of a target although the log shows an older entry of it. */
void keepKnown(TargetEntryTable &table, const std::string &id, TimePoint now)
{
    const auto found = table.targets.find(id);
    if (found != table.targets.end()) {
        found->second.missing = false;
        found->second.removedAt = now;
    }
}

} // namespace

void startTargetGrace(TargetEntryTable &table, TimePoint until)
{
    table.graceUntil = until;
}

std::optional<TargetChange> applyTargetRecord(TargetEntryTable &table, const TargetRecord &record, TimePoint now)
{
    if (record.unreadable) {
        return std::nullopt;
    }
    if (!record.entry) {
        return applyMissing(table, record.id, now);
    }
    table.targets[record.id] = {.entry = *record.entry};
    return TargetChange{record.offset, record.id, record.entry};
}

TargetSnapshotResult applyTargetSnapshot(TargetEntryTable &table, const std::vector<TargetRecord> &records, SnapshotSource source, TimePoint now)
{
    TargetSnapshotResult result;
    const AddressOwners owners = source == SnapshotSource::OlderCopy ? findAddressOwners(table) : AddressOwners();
    std::set<std::string_view> shown;
    for (const TargetRecord &record : records) {
        if (record.entry || record.unreadable) {
            shown.insert(record.id);
        }
        if (record.entry && source == SnapshotSource::OlderCopy && isOutdated(table, owners, *record.entry)) {
            keepKnown(table, record.id, now);
            result.outdated.insert(record.id);
        } else if (auto change = applyTargetRecord(table, record, now)) {
            result.changes.push_back(std::move(*change));
        }
    }
    for (auto &[id, known] : table.targets) {
        if (known.removed || shown.contains(id)) {
            continue;
        }
        if (auto change = applyMissing(table, id, now)) {
            result.changes.push_back(std::move(*change));
        } else {
            ++result.missing;
        }
    }
    return result;
}

std::vector<TargetChange> expireTargets(TargetEntryTable &table, TimePoint now)
{
    std::vector<TargetChange> changes;
    for (auto &[id, known] : table.targets) {
        if (known.missing && now >= table.graceUntil) {
            changes.push_back(removeTarget(id, known, now));
        }
    }
    std::erase_if(table.targets, [now](const auto &target) {
        return target.second.removed && now - target.second.removedAt > removedTargetMemory;
    });
    return changes;
}

} // namespace snipehill
