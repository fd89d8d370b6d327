#include "changes.h"

#include <version/configapply.h>
#include <version/jsonfields.h>

#include <algorithm>
#include <array>
#include <set>

namespace snipehill
{

namespace
{

const RecordVariant *findVariantInForce(const ConfigVersion &config, const ObjectName &object, int schemaVersion)
{
    const auto versions = config.variants.find(object);
    if (versions == config.variants.end()) {
        return nullptr;
    }
    const auto variant = versions->second.find(schemaVersion);
    return variant == versions->second.end() || variant->second.withdrawn ? nullptr : &variant->second;
}

std::string formatFieldValue(const Json::Value &value)
{
    return value.isNull() ? "default" : writeJson(value);
}

std::vector<std::string> describeChangedFields(const Json::Value &before, const Json::Value &after)
{
    std::set<std::string> names;
    for (const Json::Value *spec : {&before, &after}) {
        for (const std::string &name : spec->getMemberNames()) {
            names.insert(name);
        }
    }
    std::vector<std::string> fields;
    for (const std::string &name : names) {
        if (before[name] != after[name]) {
            fields.push_back(name + ": " + formatFieldValue(before[name]) + " -> " + formatFieldValue(after[name]));
        }
    }
    return fields;
}

Json::Value buildRecord(const RecordEnvelope &envelope, const std::optional<Offset> &replaces)
{
    Json::Value record(Json::objectValue);
    record["kind"] = toString(envelope.object.kind);
    record["schemaVersion"] = envelope.schemaVersion;
    record["name"] = envelope.object.name;
    record["replaces"] = replaces ? Json::Value(Json::Int64(*replaces)) : Json::Value();
    return record;
}

Change buildWithdrawal(const ConfigVersion &inForce, const ObjectName &object, int schemaVersion, const std::string &path)
{
    Change change{ChangeKind::Withdraw, object, path, {}, {}};
    change.record = buildRecord({.object = object, .schemaVersion = schemaVersion}, replaceableOffset(inForce, object, schemaVersion));
    change.record["withdrawn"] = true;
    return change;
}

std::optional<Change> planChange(const Declaration &declaration, const ConfigVersion &inForce)
{
    const RecordEnvelope &envelope = declaration.file.envelope;
    const RecordVariant *current = findVariantInForce(inForce, envelope.object, envelope.schemaVersion);
    if (envelope.withdrawn) {
        return current ? std::optional(buildWithdrawal(inForce, envelope.object, envelope.schemaVersion, declaration.path)) : std::nullopt;
    }
    const Json::Value &spec = declaration.file.record["spec"];
    Change change{current ? ChangeKind::Update : ChangeKind::Create, envelope.object, declaration.path, {}, {}};
    if (current) {
        change.fields = describeChangedFields(current->record["spec"], spec);
        if (change.fields.empty()) {
            return std::nullopt;
        }
    }
    change.record = buildRecord(envelope, replaceableOffset(inForce, envelope.object, envelope.schemaVersion));
    change.record["spec"] = spec;
    return change;
}

/** Whether records of other kinds refer to objects of this kind. */
bool isReferenced(RecordKind kind)
{
    return kind == RecordKind::Workspace || kind == RecordKind::TargetGroup;
}

/** Position of a change in the append order; see planChanges(). */
int appendRank(const Change &change)
{
    if (change.kind == ChangeKind::Withdraw) {
        return isReferenced(change.object.kind) ? 3 : 0;
    }
    return isReferenced(change.object.kind) ? 1 : 2;
}

const char *toString(ChangeKind kind) noexcept
{
    static constexpr std::array names{"create", "update", "withdraw"};
    return names[static_cast<std::size_t>(kind)];
}

} // namespace

std::string toText(const ObjectName &object)
{
    return std::string(toString(object.kind)) + " " + object.name;
}

std::vector<Change> planChanges(const std::vector<Declaration> &declared, const ConfigVersion &inForce, bool prune)
{
    std::vector<Change> changes;
    for (const Declaration &declaration : declared) {
        if (auto change = planChange(declaration, inForce)) {
            changes.push_back(std::move(*change));
        }
    }
    if (prune) {
        for (const ObjectName &object : findUndeclaredObjects(declared, inForce)) {
            for (const auto &[schemaVersion, variant] : inForce.variants.at(object)) {
                if (!variant.withdrawn) {
                    changes.push_back(buildWithdrawal(inForce, object, schemaVersion, ""));
                }
            }
        }
    }
    std::stable_sort(changes.begin(), changes.end(), [](const Change &a, const Change &b) {
        return appendRank(a) < appendRank(b);
    });
    return changes;
}

std::vector<ObjectName> findUndeclaredObjects(const std::vector<Declaration> &declared, const ConfigVersion &inForce)
{
    std::set<ObjectName> names;
    for (const Declaration &declaration : declared) {
        names.insert(declaration.file.envelope.object);
    }
    std::vector<ObjectName> undeclared;
    for (const auto &[object, versions] : inForce.variants) {
        const bool live = std::any_of(versions.begin(), versions.end(), [](const auto &version) {
            return !version.second.withdrawn;
        });
        if (live && !names.contains(object)) {
            undeclared.push_back(object);
        }
    }
    return undeclared;
}

std::vector<FileProblem> findRejectedChanges(ConfigVersion inForce, const std::vector<Change> &changes)
{
    std::vector<FileProblem> problems;
    for (const Change &change : changes) {
        const ApplyResult result = applyRecord(inForce, inForce.offset + 1, change.record);
        if (result.outcome != ApplyOutcome::Effective) {
            problems.push_back({change.path, toText(change.object) + ": " + result.reason.detail});
        }
    }
    return problems;
}

std::string toText(const std::vector<Change> &changes)
{
    std::string text;
    for (const Change &change : changes) {
        text.append(toString(change.kind)).append(" ").append(toText(change.object));
        text.append(change.path.empty() ? " (declared nowhere)" : " (" + change.path + ")").append("\n");
        for (const std::string &field : change.fields) {
            text.append("    ").append(field).append("\n");
        }
    }
    return text;
}

Json::Value toJson(const std::vector<Change> &changes)
{
    Json::Value list(Json::arrayValue);
    for (const Change &change : changes) {
        Json::Value entry;
        entry["change"] = toString(change.kind);
        entry["kind"] = toString(change.object.kind);
        entry["name"] = change.object.name;
        entry["path"] = change.path;
        entry["fields"] = Json::Value(Json::arrayValue);
        for (const std::string &field : change.fields) {
            entry["fields"].append(field);
        }
        list.append(std::move(entry));
    }
    return list;
}

} // namespace snipehill
