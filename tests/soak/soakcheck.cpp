#include "soakcheck.h"

#include <connection/httpstatus.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <sstream>

namespace snipehill::soak
{

using namespace support;

namespace
{

const std::set<unsigned> notRunStatuses{408, 421, 429, 503}; // these statuses state that the request has not run and never will
const std::string completeStream = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\nid: 5\ndata: token 5\n\n";

std::string attemptIdOf(const CallerRecord &record)
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

bool isStream(const std::string &path)
{
    return path.starts_with("/ask/") || path.starts_with("/review/");
}

std::string describe(const CallerRecord &record)
{
    const std::string broken = record.response.complete ? std::string() : fmt::format(" (incomplete: {})", record.response.error);
    return fmt::format("{} {} got status {}{}", attemptIdOf(record), record.call.target, record.response.status, broken);
}

} // namespace

Violations ranAtMostOnce(const Journal &journal)
{
    Violations violations;
    for (const auto &[id, runs] : runsById(journal)) {
        const std::string path = runs.front()["path"].asString();
        if (runs.size() > 1 && (path.starts_with("/post/") || path.starts_with("/review/"))) {
            violations.push_back(fmt::format("{} {} ran {} times", id, path, runs.size()));
        }
    }
    return violations;
}

Violations refusalsDidNotRun(const std::vector<CallerRecord> &records, const Journal &journal)
{
    const auto runs = runsById(journal);
    Violations violations;
    for (const CallerRecord &record : records) {
        if (notRunStatuses.contains(record.response.status) && runs.contains(attemptIdOf(record))) {
            violations.push_back(describe(record) + " and ran at " + runs.at(attemptIdOf(record)).front()["standIn"].asString());
        }
    }
    return violations;
}

Violations responsesMatchRequests(const std::vector<CallerRecord> &records, const Journal &journal)
{
    const auto runs = runsById(journal);
    Violations violations;
    for (const CallerRecord &record : records) {
        const Response &response = record.response;
        if (response.status != 200 || !response.complete) {
            continue;
        }
        const auto ran = runs.find(attemptIdOf(record));
        const auto signature = response.headers.find("server-seal");
        const bool signedByTarget = ran != runs.end() && signature != response.headers.end()
            && std::any_of(ran->second.begin(), ran->second.end(), [&](const Json::Value &run) {
                                        return signature->second == "seal-" + run["standIn"].asString();
                                    });
        const bool bodyMatches = isStream(record.call.target) ? response.body == completeStream
                                                              : response.body.starts_with("ran " + attemptIdOf(record) + " at ");
        if (!signedByTarget || !bodyMatches) {
            violations.push_back(describe(record) + (signedByTarget ? ", body of another request: " : ", not signed by a target that ran the request: ")
                                 + response.body.substr(0, 80));
        }
    }
    return violations;
}

Violations brokenResponsesReachNoCaller(const std::vector<CallerRecord> &records)
{
    Violations violations;
    for (const CallerRecord &record : records) {
        const bool invalidStatus = record.response.complete && !isFinalStatus(record.response.status);
        if (invalidStatus || record.response.body.find(brokenResponseMark) != std::string::npos) {
            violations.push_back(describe(record) + ", a broken response of a target");
        }
    }
    return violations;
}

Violations keysAreNotForwarded(const std::vector<CallerRecord> &records, const Journal &journal)
{
    std::set<std::string> sent;
    for (const CallerRecord &record : records) {
        sent.insert(attemptIdOf(record));
    }
    Violations violations;
    for (const auto &[id, runs] : runsById(journal)) {
        for (const Json::Value &run : runs) {
            const Json::Value &headers = run["headers"];
            if (!sent.contains(id) || headers.isMember("x-api-key") || headers["tenant"] != "w1" || headers["expect-instance"] != run["standIn"]) {
                violations.push_back(id + " at " + run["standIn"].asString() + " received the headers " + writeJson(headers));
            }
        }
    }
    return violations;
}

Violations requestsEndInTime(const std::vector<CallerRecord> &records, milliseconds timeout)
{
    Violations violations;
    for (const CallerRecord &record : records) {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(record.response.ended - record.response.sent);
        if (elapsed > timeout) {
            violations.push_back(describe(record) + " after " + std::to_string(elapsed.count()) + " ms");
        }
    }
    return violations;
}

Violations versionsIncrease(const std::string &entryLog)
{
    Violations violations;
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
                violations.push_back("configuration version " + std::to_string(next) + " activated after " + std::to_string(version));
            }
            version = next;
        }
    }
    return violations;
}

Violations drainingTargetsGetNoWork(const std::vector<CheckInterval> &intervals, const Journal &journal)
{
    Violations violations;
    for (const CheckInterval &interval : intervals) {
        for (const Json::Value &event : journal) {
            const double time = event["t"].asDouble();
            const bool isWork = event["event"] == "run" || event["event"] == "read";
            if (isWork && event["standIn"] == interval.subject && time > interval.start && time < interval.end) {
                violations.push_back(event["id"].asString() + " reached " + interval.subject + " " + std::to_string(time - interval.start)
                                     + " ms after the drain timeout");
            }
        }
    }
    return violations;
}

Violations withdrawnKeysRunNothing(const std::vector<CheckInterval> &intervals, const std::vector<CallerRecord> &records, const Journal &journal)
{
    const auto runs = runsById(journal);
    Violations violations;
    for (const CheckInterval &interval : intervals) {
        for (const CallerRecord &record : records) {
            const double sent = journalTime(record.response.sent);
            if (record.call.headers.at("X-Api-Key") == interval.subject && sent > interval.start && sent < interval.end && runs.contains(attemptIdOf(record))) {
                violations.push_back(describe(record) + " and ran although it was sent with a withdrawn key " + std::to_string(sent - interval.start)
                                     + " ms after the time allowed for the withdrawal");
            }
        }
    }
    return violations;
}

} // namespace snipehill::soak
