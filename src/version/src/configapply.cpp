#include <version/configapply.h>

#include "configview.h"

#include <version/configsnapshot.h>

#include <array>
#include <utility>

namespace snipehill
{

namespace
{

ApplyResult rejected(std::string detail)
{
    return {ApplyOutcome::Rejected, {Step::Config, "", std::move(detail)}};
}

std::string offsetText(const std::optional<Offset> &offset)
{
    return offset ? "record " + std::to_string(*offset) : "no record";
}

/** Name of another active object of the same kind, with the same or a lower schema version, that satisfies the predicate; empty if none. */
template<typename Predicate> std::string findConflicting(const ConfigVersion &config, const RecordEnvelope &envelope, Predicate isConflict)
{
    for (const auto &[object, versions] : config.variants) {
        if (object.kind != envelope.object.kind || object.name == envelope.object.name) {
            continue;
        }
        for (const auto &[version, variant] : versions) {
            if (version <= envelope.schemaVersion && !variant.withdrawn && isConflict(variant.spec)) {
                return object.name;
            }
        }
    }
    return {};
}

std::optional<Reason> checkKey(const ConfigVersion &config, const RecordEnvelope &envelope, const Key &key)
{
    if (!isActive(config, {RecordKind::Workspace, key.workspace}, envelope.schemaVersion)) {
        return Reason{Step::Config, "", "spec.workspace names \"" + key.workspace + "\", which is not in force"};
    }
    const std::string other = findConflicting(config, envelope, [&](const RecordSpec &spec) {
        return std::get<Key>(spec).sha256 == key.sha256;
    });
    if (!other.empty()) {
        return Reason{Step::Config, "", "spec.sha256 is that of key \"" + other + "\""};
    }
    return std::nullopt;
}

std::optional<Reason> checkRoute(const ConfigVersion &config, const RecordEnvelope &envelope, const Route &route)
{
    if (!isActive(config, {RecordKind::TargetGroup, route.targetGroup}, envelope.schemaVersion)) {
        return Reason{Step::Config, "", "spec.targetGroup names \"" + route.targetGroup + "\", which is not in force"};
    }
    const std::string other = findConflicting(config, envelope, [&](const RecordSpec &spec) {
        return std::get<Route>(spec).prefix == route.prefix;
    });
    if (!other.empty()) {
        return Reason{Step::Config, "", "spec.prefix is that of route \"" + other + "\""};
    }
    return std::nullopt;
}

std::optional<Reason> checkReferences(const ConfigVersion &config, const RecordEnvelope &envelope, const RecordSpec &spec)
{
    if (const Key *key = std::get_if<Key>(&spec)) {
        return checkKey(config, envelope, *key);
    }
    if (const Route *route = std::get_if<Route>(&spec)) {
        return checkRoute(config, envelope, *route);
    }
    return std::nullopt;
}

std::optional<Reason> checkReplaces(const ConfigVersion &config, const RecordEnvelope &envelope)
{
    const RecordVariant *current = findVariant(config, envelope.object, envelope.schemaVersion);
    const std::optional<Offset> expected = current ? std::optional(current->offset) : std::nullopt;
    if (envelope.replaces != expected) {
        return Reason{Step::Config, "", "replaces names " + offsetText(envelope.replaces) + " but " + offsetText(expected) + " is the latest"};
    }
    if (envelope.withdrawn && (!current || current->withdrawn)) {
        return Reason{Step::Config, "", "withdrawn object is not in force"};
    }
    return std::nullopt;
}

ApplyResult applySupported(ConfigVersion &config, Offset offset, const RecordEnvelope &envelope, const Json::Value &record)
{
    if (auto reason = checkReplaces(config, envelope)) {
        return {ApplyOutcome::Rejected, std::move(*reason)};
    }
    RecordVariant variant{.offset = offset, .withdrawn = envelope.withdrawn, .record = record};
    if (!envelope.withdrawn) {
        Reason reason;
        auto spec = parseSpec(envelope, record, reason);
        if (!spec) {
            return {ApplyOutcome::Rejected, std::move(reason)};
        }
        if (auto problem = checkReferences(config, envelope, *spec)) {
            return {ApplyOutcome::Rejected, std::move(*problem)};
        }
        variant.spec = std::move(*spec);
    }
    setVariant(config, envelope.object, envelope.schemaVersion, std::move(variant));
    return {ApplyOutcome::Effective, {}};
}

ApplyResult applySnapshot(ConfigVersion &config, Offset offset, const Json::Value &record)
{
    Reason reason;
    auto snapshot = readSnapshot(record, config.supportedSchemaVersion, reason);
    if (!snapshot) {
        return {ApplyOutcome::Rejected, std::move(reason)};
    }
    if (snapshot->offset != offset - 1) {
        return rejected("upTo names " + offsetText(snapshot->offset) + ", but a snapshot must name the record directly before it");
    }
    snapshot->offset = offset;
    snapshot->snapshotOffset = offset;
    config = std::move(*snapshot);
    return {ApplyOutcome::Effective, {}};
}

ApplyResult advanceWithoutHistory(ConfigFold &fold, Offset offset, const Json::Value &record)
{
    ApplyResult missed{ApplyOutcome::HistoryMissing, {Step::Config, "", "earlier records are missing, waiting for a snapshot"}};
    if (!isSnapshot(record)) {
        return missed;
    }
    ApplyResult result = applySnapshot(fold.config, offset, record);
    fold.complete = result.outcome == ApplyOutcome::Effective;
    return result;
}

} // namespace

const char *toString(ApplyOutcome outcome) noexcept
{
    static constexpr std::array names{"effective", "rejected", "kept-aside", "old", "missed"};
    return names[static_cast<std::size_t>(outcome)];
}

ApplyResult applyRecord(ConfigVersion &config, Offset offset, const Json::Value &record)
{
    if (offset <= config.offset) {
        return {ApplyOutcome::AlreadyApplied, {Step::Config, "", "record " + std::to_string(config.offset) + " was already applied"}};
    }
    config.offset = offset;
    if (isSnapshot(record)) {
        return applySnapshot(config, offset, record);
    }
    Reason reason;
    const auto envelope = parseEnvelope(record, reason);
    if (!envelope) {
        return {ApplyOutcome::Rejected, std::move(reason)};
    }
    if (envelope->schemaVersion > config.supportedSchemaVersion) {
        config.unsupportedRecords.push_back({offset, false, record});
        return {ApplyOutcome::Unsupported, {Step::Config, "", "schemaVersion is newer than this program understands"}};
    }
    return applySupported(config, offset, *envelope, record);
}

std::optional<Offset> replaceableOffset(const ConfigVersion &config, const ObjectName &object, int schemaVersion)
{
    const RecordVariant *variant = findVariant(config, object, schemaVersion);
    return variant ? std::optional(variant->offset) : std::nullopt;
}

void beginPage(ConfigFold &fold, Offset firstRetained)
{
    if (firstRetained > fold.nextRead) {
        fold.complete = false;
        fold.nextRead = firstRetained;
    } else if (fold.nextRead == 0) {
        fold.complete = true;
    }
}

ApplyResult advance(ConfigFold &fold, Offset offset, const Json::Value &record)
{
    if (offset < fold.nextRead) {
        return {ApplyOutcome::AlreadyApplied, {Step::Config, "", "record was already read"}};
    }
    if (offset > fold.nextRead) {
        fold.complete = false;
    }
    fold.nextRead = offset + 1;
    return fold.complete ? applyRecord(fold.config, offset, record) : advanceWithoutHistory(fold, offset, record);
}

} // namespace snipehill
