#include <request/intenttable.h>

#include <version/configversion.h>
#include <version/jsonfields.h>

#include <algorithm>
#include <array>
#include <limits>

namespace snipehill
{

namespace
{

constexpr std::size_t maxNameBytes = 256;
constexpr std::size_t maxKeyBytes = 256;
constexpr std::size_t maxPlainKeyBytes = 200;
constexpr unsigned minStatus = 100;
constexpr unsigned maxStatus = 599;
constexpr std::array verbs{"claim", "notRun", "finished"};

Json::Value toJson(const IntentEntry &entry)
{
    Json::Value value(Json::objectValue);
    value["verb"] = verbs[static_cast<std::size_t>(entry.verb)];
    value["workspace"] = entry.key.workspace;
    value["route"] = entry.key.route;
    value["key"] = entry.key.key;
    value["claim"] = Json::UInt64(entry.claim);
    if (entry.verb == IntentVerb::Claim) {
        value["hash"] = entry.bodyHash;
    }
    if (entry.verb == IntentVerb::Finished) {
        value["status"] = entry.response.status;
        value["contentType"] = entry.response.contentType;
        if (entry.response.hasBody) {
            value["body"] = entry.response.body;
        }
    }
    return value;
}

void readNumber(FieldReader &fields, const char *name, std::uint64_t &number)
{
    const Json::Value &value = fields.member(name);
    if (!value.isUInt64()) {
        fields.fail(name, "must be a whole number");
    } else {
        number = value.asUInt64();
    }
}

void readVerb(FieldReader &fields, IntentVerb &verb)
{
    std::string text;
    fields.read("verb", text, maxNameBytes);
    const auto *const found = std::find(verbs.begin(), verbs.end(), text);
    if (found == verbs.end()) {
        fields.fail("verb", "must be \"claim\", \"notRun\" or \"finished\"");
    } else {
        verb = static_cast<IntentVerb>(found - verbs.begin());
    }
}

std::optional<IntentEntry> parseEntry(const Json::Value &value, Reason &reason)
{
    FieldReader fields(value, "entries.", Step::RecordIntent);
    IntentEntry entry;
    readVerb(fields, entry.verb);
    fields.read("workspace", entry.key.workspace, maxNameBytes);
    fields.read("route", entry.key.route, maxNameBytes);
    fields.read("key", entry.key.key, maxKeyBytes);
    fields.read("hash", entry.bodyHash, maxNameBytes);
    readNumber(fields, "claim", entry.claim);
    if (entry.verb == IntentVerb::Finished) {
        fields.read("status", entry.response.status, minStatus, maxStatus);
        fields.read("contentType", entry.response.contentType, maxNameBytes);
        entry.response.hasBody = !fields.member("body").isNull();
        fields.read("body", entry.response.body, recordedBodyLimit);
    }
    if (!fields.finish(reason)) {
        return std::nullopt;
    }
    return entry;
}

using Claims = std::vector<IntentState>;

Claims::iterator findClaim(Claims &claims, std::uint64_t claim)
{
    return std::find_if(claims.begin(), claims.end(), [&](const IntentState &state) {
        return state.claim == claim;
    });
}

void dropIfEmpty(IntentTable &table, const IntentKey &key)
{
    const auto found = table.claims.find(key);
    if (found != table.claims.end() && found->second.empty()) {
        table.claims.erase(found);
    }
}

void applyClaim(IntentTable &table, Offset offset, const Incarnation &owner, const IntentEntry &entry)
{
    if (table.abandoned.contains(entry.claim)) {
        return;
    }
    Claims &claims = table.claims[entry.key];
    if (findClaim(claims, entry.claim) == claims.end()) {
        claims.push_back({owner, entry.claim, offset, entry.bodyHash, std::nullopt});
        table.byAge.emplace_back(offset, entry.key);
    }
}

void applyNotRun(IntentTable &table, Offset offset, const Incarnation &owner, const IntentEntry &entry)
{
    Claims &claims = table.claims[entry.key];
    const auto found = findClaim(claims, entry.claim);
    const bool valid = found == claims.end() || (found->owner == owner && !found->finished);
    if (valid) {
        table.abandoned[entry.claim] = offset;
        table.abandonedByAge.emplace_back(offset, entry.claim);
        if (found != claims.end()) {
            claims.erase(found);
        }
    }
    dropIfEmpty(table, entry.key);
}

void applyFinished(IntentTable &table, Offset offset, const Incarnation &owner, const IntentEntry &entry)
{
    Claims &claims = table.claims[entry.key];
    auto found = findClaim(claims, entry.claim);
    if (found == claims.end()) {
        // The claim has expired or was abandoned by mistake. Restore it, because the request did run.
        found = claims.insert(claims.end(), {owner, entry.claim, offset, entry.bodyHash, std::nullopt});
    }
    if (found->owner == owner && !found->finished) {
        found->finished = entry.response;
        found->offset = offset;
        table.byAge.emplace_back(offset, entry.key);
    }
}

void applyEntry(IntentTable &table, Offset offset, const Incarnation &owner, const IntentEntry &entry)
{
    switch (entry.verb) {
    case IntentVerb::Claim:
        applyClaim(table, offset, owner, entry);
        break;
    case IntentVerb::NotRun:
        applyNotRun(table, offset, owner, entry);
        break;
    case IntentVerb::Finished:
        applyFinished(table, offset, owner, entry);
        break;
    }
}

} // namespace

Json::Value writeIntentRecord(const IntentRecord &record)
{
    Json::Value value(Json::objectValue);
    value["instance"] = record.owner.instance;
    value["incarnation"] = Json::UInt64(record.owner.number);
    value["entries"] = Json::Value(Json::arrayValue);
    for (const IntentEntry &entry : record.entries) {
        value["entries"].append(toJson(entry));
    }
    return value;
}

std::optional<IntentRecord> parseIntentRecord(const Json::Value &value, Reason &reason)
{
    FieldReader fields(value, "", Step::RecordIntent);
    IntentRecord record;
    fields.read("instance", record.owner.instance, maxNameBytes);
    readNumber(fields, "incarnation", record.owner.number);
    const Json::Value &entries = fields.member("entries");
    if (!entries.isArray()) {
        fields.fail("entries", "must be a list");
    }
    if (!fields.finish(reason)) {
        return std::nullopt;
    }
    for (const Json::Value &item : entries) {
        auto entry = parseEntry(item, reason);
        if (!entry) {
            return std::nullopt;
        }
        record.entries.push_back(std::move(*entry));
    }
    return record;
}

void applyIntentRecord(IntentTable &table, Offset offset, const Json::Value &record)
{
    if (offset < table.next) {
        return;
    }
    table.next = offset + 1;
    Reason ignored;
    const auto parsed = parseIntentRecord(record, ignored);
    if (!parsed) {
        return;
    }
    for (const IntentEntry &entry : parsed->entries) {
        applyEntry(table, offset, parsed->owner, entry);
    }
}

void expireIntents(IntentTable &table, Offset firstRetained)
{
    while (!table.byAge.empty() && table.byAge.front().first < firstRetained) {
        const IntentKey &key = table.byAge.front().second;
        const auto found = table.claims.find(key);
        if (found != table.claims.end()) {
            std::erase_if(found->second, [&](const IntentState &state) {
                return state.offset < firstRetained;
            });
        }
        dropIfEmpty(table, key);
        table.byAge.pop_front();
    }
    while (!table.abandonedByAge.empty() && table.abandonedByAge.front().first < firstRetained) {
        const auto found = table.abandoned.find(table.abandonedByAge.front().second);
        if (found != table.abandoned.end() && found->second < firstRetained) {
            table.abandoned.erase(found);
        }
        table.abandonedByAge.pop_front();
    }
    table.next = std::max(table.next, firstRetained);
}

const IntentState *findIntent(const IntentTable &table, const IntentKey &key)
{
    const auto found = table.claims.find(key);
    return found == table.claims.end() ? nullptr : &found->second.front();
}

IntentKey recordableKey(IntentKey key)
{
    const bool plain = std::all_of(key.key.begin(), key.key.end(), [](char c) {
        return c >= ' ' && c <= '~';
    });
    if (!plain || key.key.size() > maxPlainKeyBytes) {
        key.key = "sha256/" + sha256Hex(key.key);
    }
    return key;
}

RecordedResponse recordableResponse(RecordedResponse response)
{
    Reason ignored;
    bool keeps = response.body.size() <= recordedBodyLimit;
    if (keeps) {
        // A body that is not valid UTF-8 would not survive a JSON round trip.
        Json::Value list(Json::arrayValue);
        list.append(response.body);
        const auto read = parseJson(writeJson(list), ignored);
        keeps = read && (*read)[0].asString() == response.body;
    }
    response.hasBody = keeps;
    if (!keeps) {
        response.body.clear();
    }
    if (response.contentType.size() > maxNameBytes) {
        response.contentType.clear();
    }
    return response;
}

} // namespace snipehill
