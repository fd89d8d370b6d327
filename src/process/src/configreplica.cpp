#include <process/configreplica.h>

#include <version/configsnapshot.h>

#include <algorithm>

namespace snipehill
{

namespace
{

constexpr std::size_t maxRecentRecords = 64;

void keepRecent(ConfigReplica &replica, Offset offset, const Json::Value &record)
{
    replica.recent.push_back({offset, record});
    if (replica.recent.size() > maxRecentRecords) {
        replica.recent.pop_front();
    }
}

/** Applies one record; true if the configuration changed. */
bool applyRecord(ConfigReplica &replica, Offset offset, const Json::Value &record, const ApplyObserver &observer)
{
    const ApplyResult result = advance(replica.fold, offset, record);
    if (result.outcome == ApplyOutcome::AlreadyApplied) {
        return false;
    }
    if (observer) {
        observer(offset, result);
    }
    if (result.outcome == ApplyOutcome::HistoryMissing) {
        return false;
    }
    keepRecent(replica, offset, record);
    return true;
}

bool hasRecordsAfter(const ConfigReplica &replica, Offset offset)
{
    const Offset own = replica.fold.config.offset;
    const auto missing = static_cast<std::size_t>(own - offset);
    return offset != noOffset && missing <= replica.recent.size() && replica.recent[replica.recent.size() - missing].offset == offset + 1;
}

Json::Value recordsAfter(const ConfigReplica &replica, Offset offset)
{
    Json::Value list(Json::arrayValue);
    for (const LogRecord &record : replica.recent) {
        if (record.offset > offset) {
            Json::Value entry(Json::objectValue);
            entry["offset"] = Json::Int64(record.offset);
            entry["record"] = record.value;
            list.append(std::move(entry));
        }
    }
    return list;
}

std::optional<Offset> parseOffset(const Json::Value &object, const char *name)
{
    const Json::Value &value = object[name];
    return value.isInt64() ? std::optional<Offset>(value.asInt64()) : std::nullopt;
}

bool applyRecords(ConfigReplica &replica, const Json::Value &list, const ApplyObserver &observer)
{
    bool changed = false;
    for (const Json::Value &entry : list) {
        const auto offset = entry.isObject() ? parseOffset(entry, "offset") : std::nullopt;
        // Records of a peer are only applied as a continuation of the own replica; the list ends at the first gap.
        if (!offset || !replica.fold.complete || *offset > replica.fold.nextRead) {
            break;
        }
        changed = applyRecord(replica, *offset, entry["record"], observer) || changed;
    }
    return changed;
}

bool applyCopy(ConfigReplica &replica, const Json::Value &copy)
{
    Reason reason;
    auto config = readFullCopy(copy, replica.fold.config.supportedSchemaVersion, reason);
    if (!config || config->offset <= replica.fold.config.offset) {
        return false;
    }
    replica.fold.config = std::move(*config);
    replica.fold.complete = true;
    replica.fold.nextRead = replica.fold.config.offset + 1;
    replica.recent.clear();
    return true;
}

void recordContact(ConfigReplica &replica, const Json::Value &update, Offset peerOffset, TimePoint sentAt)
{
    const Json::Value &age = update["contactAgeMs"];
    if (!age.isInt64() || age.asInt64() < 0 || replica.fold.config.offset < peerOffset) {
        return;
    }
    const TimePoint contact = sentAt - milliseconds(age.asInt64());
    replica.contactAt = replica.contactAt ? std::max(*replica.contactAt, contact) : contact;
}

} // namespace

bool applyPage(ConfigReplica &replica, const LogPage &page, TimePoint sentAt, TimePoint now, const ApplyObserver &observer)
{
    const bool wasAtEnd = replica.contactAt.has_value();
    beginPage(replica.fold, page.firstRetained);
    replica.highestKnownOffset = std::max(replica.highestKnownOffset, page.next - 1);
    if (!page.records.empty() && page.records.front().offset > replica.fold.nextRead) {
        return false; // requested before a peer's copy set the read position back to an earlier record
    }
    bool changed = false;
    for (const LogRecord &record : page.records) {
        changed = applyRecord(replica, record.offset, record.value, observer) || changed;
        if (wasAtEnd && replica.fold.config.snapshotOffset == record.offset) {
            replica.snapshotSeenAt = now;
        }
    }
    replica.partialReadAt = page.records.empty() ? std::nullopt : std::optional(now);
    // Only an empty page shows that no record follows.
    if (page.records.empty() && replica.fold.complete && page.next <= replica.fold.nextRead) {
        replica.contactAt = replica.contactAt ? std::max(*replica.contactAt, sentAt) : sentAt;
    }
    return changed;
}

Json::Value makeConfigUpdate(const ConfigReplica &replica, const std::string &instance, Offset peerOffset, TimePoint now)
{
    const ConfigVersion &config = replica.fold.config;
    Json::Value update(Json::objectValue);
    update["instance"] = instance;
    update["offset"] = Json::Int64(config.offset);
    if (replica.contactAt) {
        // Rounded up, so that the age never becomes smaller on its way.
        update["contactAgeMs"] = Json::Int64(std::chrono::ceil<milliseconds>(now - *replica.contactAt).count());
    }
    if (peerOffset >= config.offset) {
        return update;
    }
    if (hasRecordsAfter(replica, peerOffset)) {
        update["records"] = recordsAfter(replica, peerOffset);
    } else {
        update["copy"] = writeFullCopy(config);
    }
    return update;
}

bool applyConfigUpdate(ConfigReplica &replica, const Json::Value &update, std::optional<TimePoint> sentAt, const ApplyObserver &observer)
{
    const auto offset = update.isObject() ? parseOffset(update, "offset") : std::nullopt;
    if (!offset || !update["instance"].isString()) {
        return false;
    }
    const std::string instance = update["instance"].asString();
    replica.highestKnownOffset = std::max(replica.highestKnownOffset, *offset);
    bool changed = false;
    if (update["records"].isArray()) {
        changed = applyRecords(replica, update["records"], observer);
    } else if (update["copy"].isObject()) {
        changed = applyCopy(replica, update["copy"]);
    }
    if (sentAt) {
        recordContact(replica, update, *offset, *sentAt);
        replica.memberContacts[instance] = {instance, *sentAt, *offset};
    }
    return changed;
}

Offset pullOffset(const ConfigReplica &replica)
{
    return replica.fold.complete ? replica.fold.config.offset : noOffset;
}

FreshnessInputs freshnessInputs(const ConfigReplica &replica, const std::vector<std::string> &members)
{
    FreshnessInputs inputs{.complete = replica.fold.complete,
                           .contactAt = replica.contactAt,
                           .partialReadAt = replica.partialReadAt,
                           .offset = replica.fold.config.offset,
                           .highestKnownOffset = replica.highestKnownOffset,
                           .members = {}};
    for (const std::string &member : members) {
        const auto contact = replica.memberContacts.find(member);
        inputs.members.push_back(contact == replica.memberContacts.end() ? MemberContact{member, std::nullopt, noOffset} : contact->second);
    }
    return inputs;
}

} // namespace snipehill
