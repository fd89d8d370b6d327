#include <process/configholding.h>

#include <version/configsnapshot.h>

#include <algorithm>

namespace snipehill
{

namespace
{

constexpr std::size_t recentLimit = 64;

void remember(ConfigHolding &holding, Offset offset, const Json::Value &record)
{
    holding.recent.push_back({offset, record});
    if (holding.recent.size() > recentLimit) {
        holding.recent.pop_front();
    }
}

/** Takes one record; true if the configuration moved. */
bool take(ConfigHolding &holding, Offset offset, const Json::Value &record, const ApplyObserver &observer)
{
    const ApplyResult result = advance(holding.fold, offset, record);
    if (result.outcome == ApplyOutcome::AlreadyApplied) {
        return false;
    }
    if (observer) {
        observer(offset, result);
    }
    if (result.outcome == ApplyOutcome::HistoryMissing) {
        return false;
    }
    remember(holding, offset, record);
    return true;
}

bool hasRecordsAfter(const ConfigHolding &holding, Offset offset)
{
    const Offset own = holding.fold.config.offset;
    const auto missing = static_cast<std::size_t>(own - offset);
    return offset != noOffset && missing <= holding.recent.size() && holding.recent[holding.recent.size() - missing].offset == offset + 1;
}

Json::Value recordsAfter(const ConfigHolding &holding, Offset offset)
{
    Json::Value list(Json::arrayValue);
    for (const LogRecord &record : holding.recent) {
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

bool takeRecords(ConfigHolding &holding, const Json::Value &list, const ApplyObserver &observer)
{
    bool moved = false;
    for (const Json::Value &entry : list) {
        const auto offset = entry.isObject() ? readOffset(entry, "offset") : std::nullopt;
        // Records of a peer only continue what this process holds, a hole in them ends the list.
        if (!offset || !holding.fold.complete || *offset > holding.fold.nextRead) {
            break;
        }
        moved = take(holding, *offset, entry["record"], observer) || moved;
    }
    return moved;
}

bool takeCopy(ConfigHolding &holding, const Json::Value &copy)
{
    Reason reason;
    auto config = readFullCopy(copy, holding.fold.config.supportedSchemaVersion, reason);
    if (!config || config->offset <= holding.fold.config.offset) {
        return false;
    }
    holding.fold.config = std::move(*config);
    holding.fold.complete = true;
    holding.fold.nextRead = holding.fold.config.offset + 1;
    holding.recent.clear();
    return true;
}

void noteContact(ConfigHolding &holding, const Json::Value &told, Offset peerOffset, TimePoint sentAt)
{
    const Json::Value &age = told["contactAgeMs"];
    if (!age.isInt64() || age.asInt64() < 0 || holding.fold.config.offset < peerOffset) {
        return;
    }
    const TimePoint contact = sentAt - milliseconds(age.asInt64());
    holding.contactAt = holding.contactAt ? std::max(*holding.contactAt, contact) : contact;
}

} // namespace

bool takePage(ConfigHolding &holding, const LogPage &page, TimePoint sentAt, TimePoint now, const ApplyObserver &observer)
{
    const bool wasAtEnd = holding.contactAt.has_value();
    beginPage(holding.fold, page.firstRetained);
    holding.highestHeard = std::max(holding.highestHeard, page.next - 1);
    if (!page.records.empty() && page.records.front().offset > holding.fold.nextRead) {
        return false; // asked for before a peer's copy set the reader back to an earlier record
    }
    bool moved = false;
    for (const LogRecord &record : page.records) {
        moved = take(holding, record.offset, record.value, observer) || moved;
        if (wasAtEnd && holding.fold.config.snapshotOffset == record.offset) {
            holding.snapshotSeenAt = now;
        }
    }
    holding.unfinishedAt = page.records.empty() ? std::nullopt : std::optional(now);
    // Only an empty page tells that nothing follows.
    if (page.records.empty() && holding.fold.complete && page.next <= holding.fold.nextRead) {
        holding.contactAt = holding.contactAt ? std::max(*holding.contactAt, sentAt) : sentAt;
    }
    return moved;
}

Json::Value tellPeer(const ConfigHolding &holding, const std::string &instance, Offset peerOffset, TimePoint now)
{
    const ConfigVersion &config = holding.fold.config;
    Json::Value told(Json::objectValue);
    told["instance"] = instance;
    told["offset"] = Json::Int64(config.offset);
    if (holding.contactAt) {
        // Rounded up, so that an age never shrinks on its way.
        told["contactAgeMs"] = Json::Int64(std::chrono::ceil<milliseconds>(now - *holding.contactAt).count());
    }
    if (peerOffset >= config.offset) {
        return told;
    }
    if (hasRecordsAfter(holding, peerOffset)) {
        told["records"] = recordsAfter(holding, peerOffset);
    } else {
        told["copy"] = writeFullCopy(config);
    }
    return told;
}

bool hearPeer(ConfigHolding &holding, const Json::Value &told, std::optional<TimePoint> sentAt, const ApplyObserver &observer)
{
    const auto offset = told.isObject() ? readOffset(told, "offset") : std::nullopt;
    if (!offset || !told["instance"].isString()) {
        return false;
    }
    const std::string instance = told["instance"].asString();
    holding.highestHeard = std::max(holding.highestHeard, *offset);
    bool moved = false;
    if (told["records"].isArray()) {
        moved = takeRecords(holding, told["records"], observer);
    } else if (told["copy"].isObject()) {
        moved = takeCopy(holding, told["copy"]);
    }
    if (sentAt) {
        noteContact(holding, told, *offset, *sentAt);
        holding.contacts[instance] = {instance, *sentAt, *offset};
    }
    return moved;
}

Offset askFrom(const ConfigHolding &holding)
{
    return holding.fold.complete ? holding.fold.config.offset : noOffset;
}

FreshnessInputs freshnessView(const ConfigHolding &holding, const std::vector<std::string> &members)
{
    FreshnessInputs view{.complete = holding.fold.complete,
                         .contactAt = holding.contactAt,
                         .partialReadAt = holding.unfinishedAt,
                         .offset = holding.fold.config.offset,
                         .highestKnownOffset = holding.highestHeard,
                         .members = {}};
    for (const std::string &member : members) {
        const auto contact = holding.contacts.find(member);
        view.members.push_back(contact == holding.contacts.end() ? MemberContact{member, std::nullopt, noOffset} : contact->second);
    }
    return view;
}

} // namespace snipehill
