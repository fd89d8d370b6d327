#include "soakcheck.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <sstream>

namespace snipehill::soak
{

using namespace support;

namespace
{

const std::set<unsigned> promises{408, 421, 429, 503}; // "has not run and never will"
const std::string wholeStream = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\nid: 5\ndata: token 5\n\n";

std::string idOf(const CallerRecord &record)
{
    return record.call.headers.at("Attempt-Id");
}

std::map<std::string, std::vector<Json::Value>> runsById(const Journal &journal)
{
    std::map<std::string, std::vector<Json::Value>> runs;
    for (const Json::Value &event : eventsOf(journal, "run")) {
        runs[event["id"].asString()].push_back(event);
    }
    return runs;
}

/** Calls of one duty, in the order in which they arrived. */
struct FencedCalls
{
    std::int64_t highest = -1;
    std::map<std::int64_t, std::string> holders; //!< by fencing number
};

/** False if the number falls or is that of another holder. */
bool takeCall(FencedCalls &calls, std::int64_t fence, const std::string &holder)
{
    const bool inTurn = fence >= calls.highest && calls.holders.try_emplace(fence, holder).first->second == holder;
    calls.highest = std::max(calls.highest, fence);
    return inTurn;
}

bool isStream(const std::string &path)
{
    return path.starts_with("/ask/") || path.starts_with("/review/");
}

std::string describe(const CallerRecord &record)
{
    const std::string broken = record.response.complete ? std::string() : fmt::format(" (not whole: {})", record.response.error);
    return fmt::format("{} {} answered {}{}", idOf(record), record.call.target, record.response.status, broken);
}

} // namespace

Violations ranAtMostOnce(const Journal &journal)
{
    Violations found;
    for (const auto &[id, runs] : runsById(journal)) {
        const std::string path = runs.front()["path"].asString();
        if (runs.size() > 1 && (path.starts_with("/post/") || path.starts_with("/review/"))) {
            found.push_back(fmt::format("{} {} ran {} times", id, path, runs.size()));
        }
    }
    return found;
}

Violations promisesHold(const std::vector<CallerRecord> &records, const Journal &journal)
{
    const auto runs = runsById(journal);
    Violations found;
    for (const CallerRecord &record : records) {
        if (promises.contains(record.response.status) && runs.contains(idOf(record))) {
            found.push_back(describe(record) + " and ran at " + runs.at(idOf(record)).front()["standIn"].asString());
        }
    }
    return found;
}

Violations answersAreOwn(const std::vector<CallerRecord> &records, const Journal &journal)
{
    const auto runs = runsById(journal);
    Violations found;
    for (const CallerRecord &record : records) {
        const Response &answer = record.response;
        if (answer.status != 200 || !answer.complete) {
            continue;
        }
        const auto ran = runs.find(idOf(record));
        const auto seal = answer.headers.find("server-seal");
        const bool sealed = ran != runs.end() && seal != answer.headers.end()
            && std::any_of(ran->second.begin(), ran->second.end(), [&](const Json::Value &run) {
                                return seal->second == "seal-" + run["standIn"].asString();
                            });
        const bool own = isStream(record.call.target) ? answer.body == wholeStream : answer.body.starts_with("ran " + idOf(record) + " at ");
        if (!sealed || !own) {
            found.push_back(describe(record) + (sealed ? ", another body: " : ", no seal of a target that ran it: ") + answer.body.substr(0, 80));
        }
    }
    return found;
}

Violations keysStayHere(const std::vector<CallerRecord> &records, const Journal &journal)
{
    std::set<std::string> sent;
    for (const CallerRecord &record : records) {
        sent.insert(idOf(record));
    }
    Violations found;
    for (const auto &[id, runs] : runsById(journal)) {
        for (const Json::Value &run : runs) {
            const Json::Value &headers = run["headers"];
            if (!sent.contains(id) || headers.isMember("x-api-key") || headers["tenant"] != "w1" || headers["expect-instance"] != run["standIn"]) {
                found.push_back(id + " at " + run["standIn"].asString() + " came with " + writeJson(headers));
            }
        }
    }
    return found;
}

Violations endInTime(const std::vector<CallerRecord> &records, milliseconds bound)
{
    Violations found;
    for (const CallerRecord &record : records) {
        const auto took = std::chrono::duration_cast<milliseconds>(record.response.ended - record.response.sent);
        if (took > bound) {
            found.push_back(describe(record) + " after " + std::to_string(took.count()) + " ms");
        }
    }
    return found;
}

Violations usageReportedOnce(const Journal &journal)
{
    std::map<std::int64_t, std::string> figures;
    FencedCalls calls;
    Violations found;
    for (const Json::Value &event : eventsOf(journal, "usage")) {
        const auto window = event["report"]["window_id"].asInt64();
        const std::string counts = writeJson(event["report"]["counts"]);
        if (figures.try_emplace(window, counts).first->second != counts) {
            found.push_back("window " + std::to_string(window) + " reported as " + figures[window] + " and " + counts);
        }
        const Json::Value &headers = event["headers"];
        if (!takeCall(calls, std::stoll(headers["fencing-token"].asString()), headers["duty-holder"].asString())) {
            found.push_back("window " + std::to_string(window) + " reported out of turn: " + writeJson(headers));
        }
    }
    return found;
}

Violations ordersOfOneHolder(const Journal &journal)
{
    std::map<std::string, FencedCalls> byEngine;
    Violations found;
    for (const Json::Value &event : eventsOf(journal, "order")) {
        const auto order = parseJson(event["body"].asString());
        const std::string engine = event["standIn"].asString();
        if (!order || !takeCall(byEngine[engine], (*order)["fence"].asInt64(), (*order)["holder"].asString())) {
            found.push_back("order to " + engine + " out of turn: " + event["body"].asString());
        }
    }
    return found;
}

Violations versionsGrow(const std::string &entryLog)
{
    Violations found;
    std::int64_t version = -1;
    std::istringstream lines(entryLog);
    for (std::string line; std::getline(lines, line);) {
        const auto event = parseJson(line);
        if (!event) {
            continue;
        }
        if ((*event)["message"] == "started") {
            version = -1;
        } else if ((*event)["message"] == "configuration in force") {
            const std::int64_t next = (*event)["version"].asInt64();
            if (next <= version) {
                found.push_back("version " + std::to_string(next) + " after " + std::to_string(version));
            }
            version = next;
        }
    }
    return found;
}

Violations leavingTargetsRest(const std::vector<CalmSpan> &spans, const Journal &journal)
{
    Violations found;
    for (const CalmSpan &span : spans) {
        for (const Json::Value &event : journal) {
            const double time = event["t"].asDouble();
            const bool work = event["event"] == "run" || event["event"] == "read";
            if (work && event["standIn"] == span.subject && time > span.from && time < span.to) {
                found.push_back(event["id"].asString() + " reached " + span.subject + " " + std::to_string(time - span.from) + " ms after the bound");
            }
        }
    }
    return found;
}

Violations withdrawnKeysStop(const std::vector<CalmSpan> &spans, const std::vector<CallerRecord> &records, const Journal &journal)
{
    const auto runs = runsById(journal);
    Violations found;
    for (const CalmSpan &span : spans) {
        for (const CallerRecord &record : records) {
            const double sent = journalTime(record.response.sent);
            if (record.call.headers.at("X-Api-Key") == span.subject && sent > span.from && sent < span.to && runs.contains(idOf(record))) {
                found.push_back(describe(record) + " with a key that was withdrawn " + std::to_string(sent - span.from) + " ms and the bound before");
            }
        }
    }
    return found;
}

} // namespace snipehill::soak
