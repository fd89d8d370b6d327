#include <process/configreplica.h>

#include <version/configsnapshot.h>

#include <algorithm>

namespace snipehill
{

namespace
{

constexpr std::size_t recentLimit = 64;

void remember(ConfigReplica &replica, Offset offset, const Json::Value &record)
{
    replica.recent.push_back({offset, record});
    if (replica.recent.size() > recentLimit) {
        replica.recent.pop_front();
    }
}

/** Takes one record; true if the configuration moved. */
bool take(ConfigReplica &replica, Offset offset, const Json::Value &record, const ApplyObserver &observer)
{
    const ApplyResult result = advance(replica.fold, offset, record);
    if (result.outcome == ApplyOutcome::Old) {
        return false;
    }
    if (observer) {
        observer(offset, result);
    }
    if (result.outcome == ApplyOutcome::Missed) {
        return false;
    }
    remember(replica, offset, record);
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

std::optional<Offset> readOffset(const Json::Value &object, const char *name)
{
    const Json::Value &value = object[name];
    return value.isInt64() ? std::optional<Offset>(value.asInt64()) : std::nullopt;
}

bool takeRecords(ConfigReplica &replica, const Json::Value &list, const ApplyObserver &observer)
{
    bool moved = false;
    for (const Json::Value &entry : list) {
        const auto offset = entry.isObject() ? readOffset(entry, "offset") : std::nullopt;
        // Records of a peer only continue what this process holds, a hole in them ends the list.
        if (!offset || !replica.fold.complete || *offset > replica.fold.nextRead) {
            break;
        }
        moved = take(replica, *offset, entry["record"], observer) || moved;
    }
    return moved;
}

bool takeCopy(ConfigReplica &replica, const Json::Value &copy)
{
    Reason reason;
    auto config = readCopy(copy, replica.fold.config.understands, reason);
    if (!config || config->offset <= replica.fold.config.offset) {
        return false;
    }
    replica.fold.config = std::move(*config);
    replica.fold.complete = true;
    replica.fold.nextRead = replica.fold.config.offset + 1;
    replica.recent.clear();
    return true;
}

void noteContact(ConfigReplica &replica, const Json::Value &told, Offset peerOffset, TimePoint sentAt)
{
    const Json::Value &age = told["contactAgeMs"];
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
        return false; // asked for before a peer's copy set the reader back to an earlier record
    }
    bool moved = false;
    for (const LogRecord &record : page.records) {
        moved = take(replica, record.offset, record.value, observer) || moved;
        if (wasAtEnd && replica.fold.config.snapshotOffset == record.offset) {
            replica.snapshotSeenAt = now;
        }
    }
    replica.partialReadAt = page.records.empty() ? std::nullopt : std::optional(now);
    // Only an empty page tells that nothing follows.
    if (page.records.empty() && replica.fold.complete && page.next <= replica.fold.nextRead) {
        replica.contactAt = replica.contactAt ? std::max(*replica.contactAt, sentAt) : sentAt;
    }
    return moved;
}

Json::Value makeConfigUpdate(const ConfigReplica &replica, const std::string &instance, Offset peerOffset, TimePoint now)
{
    const ConfigVersion &config = replica.fold.config;
    Json::Value told(Json::objectValue);
    told["instance"] = instance;
    told["offset"] = Json::Int64(config.offset);
    if (replica.contactAt) {
        // Rounded up, so that an age never shrinks on its way.
        told["contactAgeMs"] = Json::Int64(std::chrono::ceil<milliseconds>(now - *replica.contactAt).count());
    }
    if (peerOffset >= config.offset) {
        return told;
    }
    if (hasRecordsAfter(replica, peerOffset)) {
        told["records"] = recordsAfter(replica, peerOffset);
    } else {
        told["copy"] = writeCopy(config);
    }
    return told;
}

bool applyConfigUpdate(ConfigReplica &replica, const Json::Value &told, std::optional<TimePoint> sentAt, const ApplyObserver &observer)
{
    const auto offset = told.isObject() ? readOffset(told, "offset") : std::nullopt;
    if (!offset || !told["instance"].isString()) {
        return false;
    }
    const std::string instance = told["instance"].asString();
    replica.highestKnownOffset = std::max(replica.highestKnownOffset, *offset);
    bool moved = false;
    if (told["records"].isArray()) {
        moved = takeRecords(replica, told["records"], observer);
    } else if (told["copy"].isObject()) {
        moved = takeCopy(replica, told["copy"]);
    }
    if (sentAt) {
        noteContact(replica, told, *offset, *sentAt);
        replica.memberContacts[instance] = {instance, *sentAt, *offset};
    }
    return moved;
}

Offset pullOffset(const ConfigReplica &replica)
{
    return replica.fold.complete ? replica.fold.config.offset : noOffset;
}

FreshnessInputs freshnessInputs(const ConfigReplica &replica, const std::vector<std::string> &members)
{
    FreshnessInputs view{.complete = replica.fold.complete,
                         .contactAt = replica.contactAt,
                         .partialReadAt = replica.partialReadAt,
                         .offset = replica.fold.config.offset,
                         .highestKnownOffset = replica.highestKnownOffset,
                         .members = {}};
    for (const std::string &member : members) {
        const auto contact = replica.memberContacts.find(member);
        view.members.push_back(contact == replica.memberContacts.end() ? MemberContact{member, std::nullopt, noOffset} : contact->second);
    }
    return view;
}

} // namespace snipehill
