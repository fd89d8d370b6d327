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

/** Log lines of one process. */
struct ProcessLog
{
    std::map<std::string, int> finalLines; //!< by request id; 0: other lines only
    bool ended = false; //!< the process ended after SIGTERM
    bool linesDropped = false;
};

/** Splits the log of an entry by its processes. */
std::vector<ProcessLog> processesOf(const std::string &entryLog)
{
    std::vector<ProcessLog> processes(1);
    std::istringstream lines(entryLog);
    for (std::string line; std::getline(lines, line);) {
        const auto event = parseJson(line);
        if (!event || !event->isObject()) {
            continue;
        }
        const std::string message = (*event)["message"].asString();
        if (message == "started") {
            processes.emplace_back();
        }
        ProcessLog &process = processes.back();
        process.ended = process.ended || message == "ended";
        process.linesDropped = process.linesDropped || message == "log lines dropped";
        if (event->isMember("request")) {
            process.finalLines[(*event)["request"].asString()] += message == "request ended" || message == "request cut by the end of the process" ? 1 : 0;
        }
    }
    return processes;
}

bool overlaps(const std::vector<CheckInterval> &intervals, const std::string &subject, const CallerRecord &record)
{
    return std::any_of(intervals.begin(), intervals.end(), [&](const CheckInterval &interval) {
        return interval.subject == subject && journalTime(record.response.sent) <= interval.end && journalTime(record.response.ended) >= interval.start;
    });
}

/** Targets that ran each request, and requests whose stream a target broke off. */
struct TargetEvents
{
    std::map<std::string, std::set<std::string>> ranAt; //!< by request id
    std::set<std::string> broken;
};

TargetEvents targetEventsOf(const Journal &journal)
{
    TargetEvents events;
    for (const Json::Value &event : journal) {
        const std::string id = event["id"].asString();
        if (event["event"] == "run") {
            events.ranAt[id].insert(event["standIn"].asString());
        } else if (event["event"] == "broken") {
            events.broken.insert(id);
        }
    }
    return events;
}

/** Whether a target has ended the stream of a response that had begun. */
bool targetBrokeOff(const CallerRecord &record, const std::string &id, const TargetEvents &events, const EndingFaults &faults)
{
    const auto ran = events.ranAt.find(id);
    if (record.response.status == 0 || ran == events.ranAt.end()) {
        return false;
    }
    return events.broken.contains(id) || std::any_of(ran->second.begin(), ran->second.end(), [&](const std::string &target) {
               return overlaps(faults.brokenTargets, target, record);
           });
}

/** Sum of all samples of a metric. */
std::optional<double> sumOf(const std::string &metrics, const std::string &name)
{
    std::optional<double> sum;
    std::istringstream lines(metrics);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name + " ") || line.starts_with(name + "{")) {
            sum = sum.value_or(0) + std::stod(line.substr(line.rfind(' ')));
        }
    }
    return sum;
}

} // namespace

std::set<std::string> requestsInLog(const std::string &entryLog)
{
    std::set<std::string> requests;
    for (const ProcessLog &process : processesOf(entryLog)) {
        for (const auto &[id, lines] : process.finalLines) {
            requests.insert(id);
        }
    }
    return requests;
}

Violations receivedRequestsAreAnswered(const std::vector<CallerRecord> &records,
                                       const Journal &journal,
                                       const std::set<std::string> &requestsInLogs,
                                       const EndingFaults &faults,
                                       milliseconds routeTimeout)
{
    const TargetEvents events = targetEventsOf(journal);
    Violations violations;
    for (const CallerRecord &record : records) {
        const Response &response = record.response;
        const std::string &id = record.call.headers.at("Attempt-Id");
        const bool received = response.status != 0 || requestsInLogs.contains(id) || events.ranAt.contains(id);
        if (response.complete || !response.connected || response.ended - response.sent >= routeTimeout || overlaps(faults.kills, record.entry, record)
            || targetBrokeOff(record, id, events, faults) || (!received && overlaps(faults.absences, record.entry, record))) {
            continue;
        }
        violations.push_back(fmt::format("{} {} sent at {:.0f} {} with status {} and {} bytes after {:.0f} ms: {}",
                                         id,
                                         record.call.target,
                                         journalTime(response.sent),
                                         received ? "was received and ended" : "met a closed connection",
                                         response.status,
                                         response.body.size(),
                                         journalTime(response.ended) - journalTime(response.sent),
                                         response.error));
    }
    return violations;
}

Violations requestsEndOnceInLog(const std::string &entryLog)
{
    const std::vector<ProcessLog> processes = processesOf(entryLog);
    Violations violations;
    for (std::size_t i = 0; i < processes.size(); ++i) {
        const bool complete = !processes[i].linesDropped && (processes[i].ended || i + 1 == processes.size());
        for (const auto &[id, lines] : processes[i].finalLines) {
            if (lines > 1 || (lines == 0 && complete)) {
                violations.push_back(fmt::format("{} has {} final lines in the log of its entry", id, lines));
            }
        }
    }
    return violations;
}

Violations requestsAddUpInMetrics(const std::string &metrics)
{
    const auto received = sumOf(metrics, "snipehill_requests_received_total");
    const double ended = sumOf(metrics, "snipehill_requests_ended_total").value_or(0);
    if (!received || *received != ended) {
        return {received ? fmt::format("{:.0f} requests were received and {:.0f} have ended", *received, ended) : "the metrics cannot be read"};
    }
    return {};
}

} // namespace snipehill::soak
