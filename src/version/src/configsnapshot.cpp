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

constexpr int snapshotSchemaVersion = 1; // the format of snapshots is fixed, like that of the record envelope

/** A snapshot is due once the last one is older than the retention of the log divided by this number. */
constexpr int retentionDivisor = 4;
constexpr int retentionDivisorWithUnsupported = 2; // waits longer, so that a process which supports all records goes first

struct SnapshotEntry
{
    Offset offset = noOffset;
    bool validated = false; //!< known to be effective; the JSON key is "judged"
    Json::Value record;
    RecordEnvelope envelope; //!< set only in parsed entries
};

Json::Value toJson(const SnapshotEntry &entry)
{
    Json::Value value(Json::objectValue);
    value["offset"] = Json::Int64(entry.offset);
    value["judged"] = entry.validated;
    value["record"] = entry.record;
    return value;
}

/** Entries in order of offset; of the withdrawals only those after the given offset. */
std::vector<SnapshotEntry> collectEntries(const ConfigVersion &config, Offset withdrawalsAfter)
{
    std::vector<SnapshotEntry> entries;
    for (const auto &[object, versions] : config.variants) {
        for (const auto &[version, variant] : versions) {
            if (!variant.withdrawn || variant.offset > withdrawalsAfter) {
                entries.push_back({variant.offset, true, variant.record, {}});
            }
        }
    }
    for (const UnsupportedRecord &unsupported : config.unsupportedRecords) {
        entries.push_back({unsupported.offset, unsupported.validated, unsupported.record, {}});
    }
    std::sort(entries.begin(), entries.end(), [](const SnapshotEntry &a, const SnapshotEntry &b) {
        return a.offset < b.offset;
    });
    return entries;
}

Json::Value entriesJson(const ConfigVersion &config, Offset withdrawalsAfter)
{
    Json::Value list(Json::arrayValue);
    for (const SnapshotEntry &entry : collectEntries(config, withdrawalsAfter)) {
        list.append(toJson(entry));
    }
    return list;
}

Json::Value writeSnapshotRecord(const ConfigVersion &config, Offset withdrawalsAfter)
{
    Json::Value record(Json::objectValue);
    record["kind"] = "snapshot";
    record["schemaVersion"] = snapshotSchemaVersion;
    record["upTo"] = Json::Int64(config.offset);
    record["previous"] = Json::Int64(config.snapshotOffset);
    record["entries"] = entriesJson(config, withdrawalsAfter);
    return record;
}

std::optional<SnapshotEntry> parseEntry(const Json::Value &value, Reason &reason)
{
    FieldReader fields(value, "entries.", Step::Config);
    SnapshotEntry entry;
    fields.read("offset", entry.offset, 0, std::numeric_limits<Offset>::max());
    fields.read("judged", entry.validated);
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

/** Applies an entry that its writer knew to be effective, without the checks of applyRecord(). */
bool applyValidatedEntry(ConfigVersion &config, const SnapshotEntry &entry, Reason &reason)
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

bool applyEntry(ConfigVersion &config, const SnapshotEntry &entry, Reason &reason)
{
    if (entry.offset <= config.offset) {
        reason = {Step::Config, "", "entries.offset must increase"};
        return false;
    }
    config.offset = entry.offset;
    if (entry.envelope.schemaVersion > config.supportedSchemaVersion) {
        config.unsupportedRecords.push_back({entry.offset, entry.validated, entry.record});
        return true;
    }
    return !entry.validated || applyValidatedEntry(config, entry, reason);
}

bool needsValidation(const SnapshotEntry &entry, int supportedSchemaVersion)
{
    return !entry.validated && entry.envelope.schemaVersion <= supportedSchemaVersion;
}

/** Validates the entries that the writer did not support; runs after all other entries are applied. */
void validatePendingEntries(ConfigVersion &config, const std::vector<SnapshotEntry> &entries)
{
    for (const SnapshotEntry &entry : entries) {
        if (needsValidation(entry, config.supportedSchemaVersion)) {
            config.offset = entry.offset - 1;
            applyRecord(config, entry.offset, entry.record);
        }
    }
}

std::optional<ConfigVersion> readSnapshotRecord(const Json::Value &record, int supportedSchemaVersion, bool validatePending, Reason &reason)
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
    config.supportedSchemaVersion = supportedSchemaVersion;
    std::vector<SnapshotEntry> entries;
    for (const Json::Value &value : list) {
        auto entry = parseEntry(value, reason);
        if (!entry || !applyEntry(config, *entry, reason)) {
            return std::nullopt;
        }
        if (!validatePending && needsValidation(*entry, supportedSchemaVersion)) {
            reason = {Step::Config, "", "the writer did not support the schema version of record " + std::to_string(entry->offset)};
            return std::nullopt;
        }
        entries.push_back(std::move(*entry));
    }
    if (config.offset > upTo) {
        reason = {Step::Config, "", "entries.offset must not lie past upTo"};
        return std::nullopt;
    }
    validatePendingEntries(config, entries);
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
    // A withdrawal is included in one snapshot only: long enough to detect late duplicates, while the list stays short.
    return writeSnapshotRecord(config, config.snapshotOffset);
}

Json::Value writeFullCopy(const ConfigVersion &config)
{
    return writeSnapshotRecord(config, noOffset);
}

std::optional<ConfigVersion> readSnapshot(const Json::Value &record, int supportedSchemaVersion, Reason &reason)
{
    return readSnapshotRecord(record, supportedSchemaVersion, true, reason);
}

std::optional<ConfigVersion> readFullCopy(const Json::Value &copy, int supportedSchemaVersion, Reason &reason)
{
    return readSnapshotRecord(copy, supportedSchemaVersion, false, reason);
}

std::string configDigest(const ConfigVersion &config)
{
    return sha256Hex(std::to_string(config.offset) + writeJson(entriesJson(config, noOffset)));
}

bool isSnapshotDue(const SnapshotConditions &conditions) noexcept
{
    if (!conditions.timeSinceLast) {
        return true;
    }
    return *conditions.timeSinceLast >= conditions.retention / (conditions.hasUnsupportedRecords ? retentionDivisorWithUnsupported : retentionDivisor);
}

} // namespace snipehill
