#include <version/recordparser.h>

#include <version/jsonfields.h>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace snipehill
{

namespace
{

constexpr std::size_t maxNameBytes = 128;
constexpr std::size_t maxPrefixBytes = 512;
constexpr std::size_t sha256Digits = 64;
constexpr int maxSchemaVersion = 1000;
constexpr double minWeight = 0.001;
constexpr double maxWeight = 1000;
constexpr double maxRate = 1e9;
constexpr std::uint32_t maxTargetCount = 100000;
constexpr std::uint32_t maxConcurrentRequests = 10000000;
constexpr milliseconds maxDeadline{3600000};

constexpr std::array recordKindNames{
    std::pair{"workspace", RecordKind::Workspace},
    std::pair{"key", RecordKind::Key},
    std::pair{"targetGroup", RecordKind::TargetGroup},
    std::pair{"route", RecordKind::Route},
};

bool isNameCharacter(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool isHexDigit(char c) noexcept
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

void readName(FieldReader &fields, const char *member, std::string &name)
{
    fields.read(member, name, maxNameBytes);
    if (name.empty()) {
        fields.fail(member, "must not be absent or empty");
    } else if (!std::all_of(name.begin(), name.end(), isNameCharacter)) {
        fields.fail(member, "may only hold letters, digits, '-', '_' and '.'");
    }
}

void readKind(FieldReader &fields, RecordKind &kind)
{
    std::string text;
    fields.read("kind", text, maxNameBytes);
    const auto *found = std::find_if(recordKindNames.begin(), recordKindNames.end(), [&](const auto &entry) {
        return text == entry.first;
    });
    if (found == recordKindNames.end()) {
        fields.fail("kind", "must be \"workspace\", \"key\", \"targetGroup\" or \"route\"");
    } else {
        kind = found->second;
    }
}

void readReplaces(FieldReader &fields, std::optional<Offset> &replaces)
{
    if (fields.member("replaces").isNull()) {
        return;
    }
    Offset offset = noOffset;
    fields.read("replaces", offset, 0, std::numeric_limits<Offset>::max());
    replaces = offset;
}

RecordSpec readWorkspace(FieldReader &fields, const std::string &name)
{
    Workspace workspace{.name = name};
    fields.read("weight", workspace.weight, minWeight, maxWeight);
    fields.read("requestsPerSecond", workspace.requestsPerSecond, 0, maxRate);
    fields.read("tokensPerSecond", workspace.tokensPerSecond, 0, maxRate);
    fields.read("concurrentRequests", workspace.concurrentRequests, 0, maxConcurrentRequests);
    return workspace;
}

RecordSpec readKey(FieldReader &fields, const std::string &name)
{
    Key key{.name = name};
    readName(fields, "workspace", key.workspace);
    fields.read("sha256", key.sha256, sha256Digits);
    if (key.sha256.size() != sha256Digits || !std::all_of(key.sha256.begin(), key.sha256.end(), isHexDigit)) {
        fields.fail("sha256", "must be 64 hexadecimal digits in lower case");
    }
    return key;
}

void readTargetKind(FieldReader &fields, TargetKind &kind)
{
    std::string text = "service";
    fields.read("kind", text, maxNameBytes);
    if (text != "engine" && text != "service") {
        fields.fail("kind", "must be \"engine\" or \"service\"");
    }
    kind = text == "engine" ? TargetKind::Engine : TargetKind::Service;
}

RecordSpec readTargetGroup(FieldReader &fields, const std::string &name)
{
    TargetGroup group{.name = name};
    readTargetKind(fields, group.kind);
    fields.read("model", group.model, maxNameBytes);
    fields.read("modelVersion", group.modelVersion, maxNameBytes);
    fields.read("minTargets", group.minTargets, 0, maxTargetCount);
    group.maxTargets = std::max(group.maxTargets, group.minTargets);
    fields.read("maxTargets", group.maxTargets, 1, maxTargetCount);
    fields.read("planRoles", group.planRoles);
    if (group.maxTargets < group.minTargets) {
        fields.fail("maxTargets", "must not be below minTargets");
    }
    if (group.kind == TargetKind::Engine && group.model.empty()) {
        fields.fail("model", "must be given for engines");
    }
    if (group.kind == TargetKind::Service && (!group.model.empty() || !group.modelVersion.empty() || group.planRoles)) {
        fields.fail("kind", "must be \"engine\" where model, modelVersion or planRoles is set");
    }
    return group;
}

RecordSpec readRoute(FieldReader &fields, const std::string &name)
{
    Route route{.name = name};
    fields.read("prefix", route.prefix, maxPrefixBytes);
    if (!route.prefix.starts_with('/')) {
        fields.fail("prefix", "must start with '/'");
    }
    readName(fields, "targetGroup", route.targetGroup);
    fields.read("idempotent", route.idempotent);
    fields.read("open", route.open);
    fields.read("requireIdempotencyKey", route.requireIdempotencyKey);
    std::int64_t deadline = route.deadline.count();
    fields.read("deadlineMs", deadline, 1, maxDeadline.count());
    route.deadline = milliseconds(deadline);
    if (route.requireIdempotencyKey && route.idempotent) {
        fields.fail("requireIdempotencyKey", "needs \"idempotent\": false");
    }
    return route;
}

RecordSpec readSpec(FieldReader &fields, const ObjectName &object)
{
    switch (object.kind) {
    case RecordKind::Workspace:
        return readWorkspace(fields, object.name);
    case RecordKind::Key:
        return readKey(fields, object.name);
    case RecordKind::TargetGroup:
        return readTargetGroup(fields, object.name);
    case RecordKind::Route:
        break;
    }
    return readRoute(fields, object.name);
}

} // namespace

const char *toString(RecordKind kind) noexcept
{
    return recordKindNames[static_cast<std::size_t>(kind)].first;
}

std::optional<RecordEnvelope> parseEnvelope(const Json::Value &record, Reason &reason)
{
    FieldReader fields(record, "", Step::Parse);
    RecordEnvelope envelope;
    readKind(fields, envelope.object.kind);
    readName(fields, "name", envelope.object.name);
    std::int64_t schemaVersion = 0;
    fields.read("schemaVersion", schemaVersion, 1, maxSchemaVersion);
    if (schemaVersion == 0) {
        fields.fail("schemaVersion", "must be given");
    }
    envelope.schemaVersion = static_cast<int>(schemaVersion);
    readReplaces(fields, envelope.replaces);
    fields.read("withdrawn", envelope.withdrawn);
    const Json::Value &spec = fields.member("spec");
    if (envelope.withdrawn && !spec.isNull()) {
        fields.fail("spec", "must be absent where the object is withdrawn");
    }
    if (!envelope.withdrawn && !spec.isObject()) {
        fields.fail("spec", "must be an object");
    }
    if (!fields.finish(reason)) {
        return std::nullopt;
    }
    return envelope;
}

std::optional<RecordSpec> parseSpec(const RecordEnvelope &envelope, const Json::Value &record, Reason &reason)
{
    FieldReader fields(record["spec"], "spec.", Step::Parse);
    RecordSpec spec = readSpec(fields, envelope.object);
    if (!fields.finish(reason)) {
        return std::nullopt;
    }
    return spec;
}

std::optional<RecordFile> parseRecordFile(std::string_view text, Reason &reason)
{
    const auto record = parseJson(text, reason);
    if (!record) {
        return std::nullopt;
    }
    const auto envelope = parseEnvelope(*record, reason);
    if (!envelope) {
        return std::nullopt;
    }
    if (envelope->schemaVersion > newestSchemaVersion) {
        reason = {Step::Parse, "", "schemaVersion is newer than this program understands"};
        return std::nullopt;
    }
    if (!envelope->withdrawn && !parseSpec(*envelope, *record, reason)) {
        return std::nullopt;
    }
    return RecordFile{*envelope, *record};
}

} // namespace snipehill
