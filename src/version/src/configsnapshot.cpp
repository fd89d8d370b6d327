#include <version/configsnapshot.h>

#include "configview.h"

#include <version/configapply.h>
#include <version/jsonfields.h>

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace snipehill
{

namespace
{

constexpr int snapshotSchemaVersion = 1; // the form of snapshots is fixed, as that of the envelope is

/** Share of the retention after which a snapshot is due. */
constexpr int dueShare = 4;
constexpr int dueShareWithAside = 2;

struct SnapshotEntry
{
    Offset offset = noOffset;
    bool judged = false;
    Json::Value record;
    RecordEnvelope envelope; //!< of entries that were read
};

Json::Value toJson(const SnapshotEntry &entry)
{
    Json::Value value(Json::objectValue);
    value["offset"] = Json::Int64(entry.offset);
    value["judged"] = entry.judged;
    value["record"] = entry.record;
    return value;
}

/** Entries in the order of their offsets, with withdrawals only from behind the given offset. */
std::vector<SnapshotEntry> collectEntries(const ConfigVersion &config, Offset forgottenUpTo)
{
    std::vector<SnapshotEntry> entries;
    for (const auto &[object, versions] : config.variants) {
        for (const auto &[version, variant] : versions) {
            if (!variant.withdrawn || variant.offset > forgottenUpTo) {
                entries.push_back({variant.offset, true, variant.record, {}});
            }
        }
    }
    for (const AsideRecord &aside : config.aside) {
        entries.push_back({aside.offset, aside.judged, aside.record, {}});
    }
    std::sort(entries.begin(), entries.end(), [](const SnapshotEntry &a, const SnapshotEntry &b) {
        return a.offset < b.offset;
    });
    return entries;
}

Json::Value entriesJson(const ConfigVersion &config, Offset forgottenUpTo)
{
    Json::Value list(Json::arrayValue);
    for (const SnapshotEntry &entry : collectEntries(config, forgottenUpTo)) {
        list.append(toJson(entry));
    }
    return list;
}

Json::Value writeRecord(const ConfigVersion &config, Offset forgottenUpTo)
{
    Json::Value record(Json::objectValue);
    record["kind"] = "snapshot";
    record["schemaVersion"] = snapshotSchemaVersion;
    record["upTo"] = Json::Int64(config.offset);
    record["previous"] = Json::Int64(config.snapshotOffset);
    record["entries"] = entriesJson(config, forgottenUpTo);
    return record;
}

std::optional<SnapshotEntry> parseEntry(const Json::Value &value, Reason &reason)
{
    FieldReader fields(value, "entries.", Step::Config);
    SnapshotEntry entry;
    fields.read("offset", entry.offset, 0, std::numeric_limits<Offset>::max());
    fields.read("judged", entry.judged);
    entry.record = fields.member("record");
    if (!fields.finish(reason)) {
        return std::nullopt;
    }
    auto envelope = parseEnvelope(entry.record, reason);
    if (!envelope) {
        return std::nullopt;
    }
    entry.envelope = std::move(*envelope);
    return entry;
}

/** Takes an entry that its writer knew to be effective, so without the checks of applyRecord. */
bool takeJudged(ConfigVersion &config, const SnapshotEntry &entry, Reason &reason)
{
    const RecordEnvelope &envelope = entry.envelope;
    RecordVariant variant{.offset = entry.offset, .withdrawn = envelope.withdrawn, .record = entry.record};
    if (!envelope.withdrawn) {
        auto spec = parseSpec(envelope, entry.record, reason);
        if (!spec) {
            return false;
        }
        variant.spec = std::move(*spec);
    }
    setVariant(config, envelope.object, envelope.schemaVersion, std::move(variant));
    return true;
}

bool takeEntry(ConfigVersion &config, const SnapshotEntry &entry, Reason &reason)
{
    if (entry.offset <= config.offset) {
        reason = {Step::Config, "", "entries.offset must grow"};
        return false;
    }
    config.offset = entry.offset;
    if (entry.envelope.schemaVersion > config.understands) {
        config.aside.push_back({entry.offset, entry.judged, entry.record});
        return true;
    }
    return !entry.judged || takeJudged(config, entry, reason);
}

bool isOpen(const SnapshotEntry &entry, int understands)
{
    return !entry.judged && entry.envelope.schemaVersion <= understands;
}

/** Judges what the writer could not, after all that it could. */
void judgeOpenEntries(ConfigVersion &config, const std::vector<SnapshotEntry> &entries)
{
    for (const SnapshotEntry &entry : entries) {
        if (isOpen(entry, config.understands)) {
            config.offset = entry.offset - 1;
            applyRecord(config, entry.offset, entry.record);
        }
    }
}

std::optional<ConfigVersion> readRecord(const Json::Value &record, int understands, bool judgeOpen, Reason &reason)
{
    FieldReader fields(record, "", Step::Config);
    std::string kind;
    fields.read("kind", kind, std::string("snapshot").size());
    std::int64_t schemaVersion = 0;
    fields.read("schemaVersion", schemaVersion, snapshotSchemaVersion, snapshotSchemaVersion);
    Offset upTo = noOffset;
    fields.read("upTo", upTo, noOffset, std::numeric_limits<Offset>::max());
    Offset previous = noOffset;
    fields.read("previous", previous, noOffset, std::numeric_limits<Offset>::max());
    const Json::Value &list = fields.member("entries");
    if (kind != "snapshot" || schemaVersion == 0 || !list.isArray()) {
        fields.fail("kind", "is not that of a snapshot");
    }
    if (!fields.finish(reason)) {
        return std::nullopt;
    }
    ConfigVersion config;
    config.understands = understands;
    std::vector<SnapshotEntry> entries;
    for (const Json::Value &value : list) {
        auto entry = parseEntry(value, reason);
        if (!entry || !takeEntry(config, *entry, reason)) {
            return std::nullopt;
        }
        if (!judgeOpen && isOpen(*entry, understands)) {
            reason = {Step::Config, "", "the writer did not understand record " + std::to_string(entry->offset)};
            return std::nullopt;
        }
        entries.push_back(std::move(*entry));
    }
    if (config.offset > upTo) {
        reason = {Step::Config, "", "entries.offset must not lie past upTo"};
        return std::nullopt;
    }
    judgeOpenEntries(config, entries);
    config.offset = upTo;
    config.snapshotOffset = previous;
    return config;
}

} // namespace

bool isSnapshot(const Json::Value &record)
{
    return record.isObject() && record["kind"].isString() && record["kind"].asString() == "snapshot";
}

Json::Value writeSnapshot(const ConfigVersion &config)
{
    // A withdrawal is carried through one snapshot: long enough for late duplicates, and the list stays short.
    return writeRecord(config, config.snapshotOffset);
}

Json::Value writeCopy(const ConfigVersion &config)
{
    return writeRecord(config, noOffset);
}

std::optional<ConfigVersion> readSnapshot(const Json::Value &record, int understands, Reason &reason)
{
    return readRecord(record, understands, true, reason);
}

std::optional<ConfigVersion> readCopy(const Json::Value &copy, int understands, Reason &reason)
{
    return readRecord(copy, understands, false, reason);
}

std::string configDigest(const ConfigVersion &config)
{
    return hashSecret(std::to_string(config.offset) + writeJson(entriesJson(config, noOffset)));
}

bool snapshotDue(const SnapshotNeed &need) noexcept
{
    if (!need.sinceLast) {
        return true;
    }
    return *need.sinceLast >= need.retention / (need.keepsAside ? dueShareWithAside : dueShare);
}

} // namespace snipehill
