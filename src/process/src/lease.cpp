#include <process/lease.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
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

constexpr unsigned tokenOffsetBits = 32;
constexpr std::uint64_t maxTokenOffset = (std::uint64_t(1) << tokenOffsetBits) - 1;
constexpr LogEra maxTokenEra = std::numeric_limits<std::int32_t>::max(); // more would not fit into a signed 64-bit token

Offset claimOffsetOf(const LeaseRecord &record)
{
    return record.era == 0 || record.epoch == noOffset ? record.epoch : static_cast<Offset>(static_cast<std::uint64_t>(record.epoch) & maxTokenOffset);
}

void setLatestRecord(ScopeLease &lease, Offset offset, const LeaseRecord &record)
{
    lease.latest = offset;
    lease.latestNonce = record.nonce;
    lease.era = record.era;
    lease.epoch = record.action == LeaseAction::Claim ? leaseToken(record.era, offset).value_or(noOffset) : record.epoch;
    lease.holder = record.holder;
    lease.duration = record.duration;
    lease.released = record.action == LeaseAction::Release;
}

bool replacesRecord(const LeaseRecord &record, Offset offset, std::uint64_t nonce)
{
    return record.replaces == offset && (record.replacesNonce == 0 || record.replacesNonce == nonce);
}

bool hasEffect(const ScopeLease &lease, const LeaseRecord &record)
{
    if (record.action == LeaseAction::Claim) {
        return record.replaces == noOffset ? record.firstRetained > lease.latest : replacesRecord(record, lease.latest, lease.latestNonce);
    }
    return replacesRecord(record, lease.latest, lease.latestNonce) && record.holder == lease.holder && record.epoch == lease.epoch && !lease.released;
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
        return replacesRecord(record, candidate.offset, candidate.record.nonce);
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

std::optional<Offset> leaseToken(LogEra era, Offset offset) noexcept
{
    if (era == 0) {
        return offset;
    }
    if (era > maxTokenEra || offset < 0 || static_cast<std::uint64_t>(offset) > maxTokenOffset) {
        return std::nullopt;
    }
    return static_cast<Offset>(era << tokenOffsetBits | static_cast<std::uint64_t>(offset));
}

Json::Value toJson(const LeaseRecord &record)
{
    Json::Value value;
    value["kind"] = nameOf(record.action);
    value["scope"] = record.scope;
    value["holder"] = record.holder.instance;
    value["incarnation"] = Json::UInt64(record.holder.number);
    value["nonce"] = Json::UInt64(record.nonce);
    value["era"] = Json::UInt64(record.era);
    value["epoch"] = Json::Int64(claimOffsetOf(record));
    value["replaces"] = Json::Int64(record.replaces);
    value["replacesNonce"] = Json::UInt64(record.replacesNonce);
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
    const auto optionalNumber = [&value](const char *name) {
        return !value.isMember(name) || value[name].isUInt64();
    };
    if (!text("kind") || !text("scope") || !text("holder") || !unsignedNumber("incarnation") || !unsignedNumber("nonce") || !number("epoch")
        || !number("replaces") || !number("firstRetained") || !number("durationMs") || !optionalNumber("era") || !optionalNumber("replacesNonce")) {
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
    record.era = value.isMember("era") ? value["era"].asUInt64() : 0;
    record.replacesNonce = value.isMember("replacesNonce") ? value["replacesNonce"].asUInt64() : 0;
    const Offset claimOffset = value["epoch"].asInt64();
    const auto epoch = claimOffset == noOffset ? noOffset : leaseToken(record.era, claimOffset);
    if (!epoch) {
        reason = {Step::Lease, "", "era or epoch of a lease record is out of range"};
        return std::nullopt;
    }
    record.epoch = *epoch;
    record.replaces = value["replaces"].asInt64();
    record.firstRetained = value["firstRetained"].asInt64();
    record.duration = milliseconds(value["durationMs"].asInt64());
    return record;
}

LeaseTable startLeaseTable(Offset firstRetained, LogEra era)
{
    LeaseTable table;
    table.era = era;
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
    if (record.action == LeaseAction::Claim && !leaseToken(record.era, offset)) {
        return LeaseEffect::None;
    }
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

bool canIssueToken(const LeaseTable &table) noexcept
{
    return leaseToken(table.era, table.next).has_value();
}

LeaseRecord makeClaim(const LeaseTable &table, const std::string &scope)
{
    LeaseRecord record;
    record.era = table.era;
    record.action = LeaseAction::Claim;
    record.scope = scope;
    record.firstRetained = table.firstRetained;
    const auto found = table.scopes.find(scope);
    if (found != table.scopes.end() && found->second.latest >= table.firstRetained) {
        record.replaces = found->second.latest;
        record.replacesNonce = found->second.latestNonce;
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
