#include <process/lease.h>

#include <algorithm>
#include <array>
#include <utility>

namespace snipehill
{

namespace
{

struct ActionName
{
    LeaseAction action;
    const char *name;
};

constexpr std::array<ActionName, 3> actionNames{{{LeaseAction::Claim, "claim"}, {LeaseAction::Renew, "renew"}, {LeaseAction::Release, "release"}}};

std::optional<LeaseAction> parseAction(const std::string &name)
{
    for (const ActionName &entry : actionNames) {
        if (name == entry.name) {
            return entry.action;
        }
    }
    return std::nullopt;
}

const char *nameOf(LeaseAction action)
{
    for (const ActionName &entry : actionNames) {
        if (action == entry.action) {
            return entry.name;
        }
    }
    return "";
}

void setLatestRecord(ScopeLease &lease, Offset offset, const LeaseRecord &record)
{
    lease.latest = offset;
    lease.epoch = record.action == LeaseAction::Claim ? offset : record.epoch;
    lease.holder = record.holder;
    lease.duration = record.duration;
    lease.released = record.action == LeaseAction::Release;
}

bool hasEffect(const ScopeLease &lease, const LeaseRecord &record)
{
    if (record.action == LeaseAction::Claim) {
        return record.replaces == noOffset ? record.firstRetained > lease.latest : record.replaces == lease.latest;
    }
    return record.replaces == lease.latest && record.holder == lease.holder && record.epoch == lease.epoch && !lease.released;
}

LeaseEffect applyKnown(ScopeLease &lease, Offset offset, const LeaseRecord &record)
{
    if (!hasEffect(lease, record)) {
        return LeaseEffect::None;
    }
    setLatestRecord(lease, offset, record);
    return LeaseEffect::Effective;
}

LeaseEffect addUndecided(ScopeLease &lease, Offset offset, const LeaseRecord &record)
{
    setLatestRecord(lease, offset, record);
    lease.undecided.push_back({offset, record});
    return LeaseEffect::Unknown;
}

// A writer only replaces a record that it knows to be effective, so the replaced offset resolves the undecided records.
LeaseEffect resolveUndecided(ScopeLease &lease, Offset offset, const LeaseRecord &record)
{
    const std::vector<UndecidedLeaseRecord> undecided = std::exchange(lease.undecided, {});
    const auto replaced = std::find_if(undecided.begin(), undecided.end(), [&record](const UndecidedLeaseRecord &candidate) {
        return candidate.offset == record.replaces;
    });
    if (replaced == undecided.end()) {
        lease.undecided = undecided;
        return LeaseEffect::None;
    }
    lease.certain = true;
    setLatestRecord(lease, replaced->offset, replaced->record);
    for (auto later = std::next(replaced); later != undecided.end(); ++later) {
        applyKnown(lease, later->offset, later->record);
    }
    return applyKnown(lease, offset, record);
}

} // namespace

Json::Value toJson(const LeaseRecord &record)
{
    Json::Value value;
    value["kind"] = nameOf(record.action);
    value["scope"] = record.scope;
    value["holder"] = record.holder.instance;
    value["incarnation"] = Json::UInt64(record.holder.number);
    value["nonce"] = Json::UInt64(record.nonce);
    value["epoch"] = Json::Int64(record.epoch);
    value["replaces"] = Json::Int64(record.replaces);
    value["firstRetained"] = Json::Int64(record.firstRetained);
    value["durationMs"] = Json::Int64(record.duration.count());
    return value;
}

std::optional<LeaseRecord> parseLeaseRecord(const Json::Value &value, Reason &reason)
{
    const auto text = [&value](const char *name) {
        return value.isObject() && value[name].isString();
    };
    const auto number = [&value](const char *name) {
        return value[name].isInt64();
    };
    const auto unsignedNumber = [&value](const char *name) {
        return value[name].isUInt64();
    };
    if (!text("kind") || !text("scope") || !text("holder") || !unsignedNumber("incarnation") || !unsignedNumber("nonce") || !number("epoch")
        || !number("replaces") || !number("firstRetained") || !number("durationMs")) {
        reason = {Step::Lease, "", "lease record lacks a field"};
        return std::nullopt;
    }
    const auto action = parseAction(value["kind"].asString());
    if (!action) {
        reason = {Step::Lease, "", "lease record of unknown kind"};
        return std::nullopt;
    }
    LeaseRecord record;
    record.action = *action;
    record.scope = value["scope"].asString();
    record.holder = {value["holder"].asString(), value["incarnation"].asUInt64()};
    record.nonce = value["nonce"].asUInt64();
    record.epoch = value["epoch"].asInt64();
    record.replaces = value["replaces"].asInt64();
    record.firstRetained = value["firstRetained"].asInt64();
    record.duration = milliseconds(value["durationMs"].asInt64());
    return record;
}

LeaseTable startLeaseTable(Offset firstRetained)
{
    LeaseTable table;
    table.readFrom = firstRetained;
    table.firstRetained = firstRetained;
    table.next = firstRetained;
    return table;
}

LeaseEffect applyLeaseRecord(LeaseTable &table, Offset offset, const LeaseRecord &record)
{
    if (offset < table.next) {
        return LeaseEffect::None;
    }
    table.next = offset + 1;
    ScopeLease &lease = table.scopes[record.scope];
    if (lease.certain) {
        return applyKnown(lease, offset, record);
    }
    // A record that took effect before this reader started lies below readFrom; a later one is at latest or before it.
    const Offset latestPossible = std::max(lease.latest, table.readFrom - 1);
    const bool supersedesAll = record.action == LeaseAction::Claim && record.replaces == noOffset && record.firstRetained > latestPossible;
    if (supersedesAll) {
        lease.certain = true;
        lease.undecided.clear();
        setLatestRecord(lease, offset, record);
        return LeaseEffect::Effective;
    }
    if (record.replaces >= table.readFrom) {
        return resolveUndecided(lease, offset, record);
    }
    return addUndecided(lease, offset, record);
}

void advanceReadPosition(LeaseTable &table, Offset firstRetained, Offset next)
{
    table.firstRetained = std::max(table.firstRetained, firstRetained);
    table.next = std::max(table.next, next);
}

bool isClaimable(const LeaseTable &table, const std::string &scope)
{
    const auto found = table.scopes.find(scope);
    return found == table.scopes.end() || found->second.certain || found->second.latest < table.firstRetained;
}

LeaseRecord makeClaim(const LeaseTable &table, const std::string &scope)
{
    LeaseRecord record;
    record.action = LeaseAction::Claim;
    record.scope = scope;
    record.firstRetained = table.firstRetained;
    const auto found = table.scopes.find(scope);
    if (found != table.scopes.end() && found->second.latest >= table.firstRetained) {
        record.replaces = found->second.latest;
    }
    return record;
}

Offset highestEpoch(const LeaseTable &table, std::string_view scopePrefix)
{
    Offset highest = noOffset;
    for (const auto &[scope, lease] : table.scopes) {
        if (scope.starts_with(scopePrefix)) {
            highest = std::max(highest, lease.epoch);
        }
    }
    return highest;
}

} // namespace snipehill
