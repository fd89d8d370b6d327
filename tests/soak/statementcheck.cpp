#include "soakcheck.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <map>

namespace snipehill::soak
{

using namespace support;

namespace
{

constexpr double noticeTime = 500; // ms, from a refusal with a pause until no further request may arrive
constexpr int allowedInPause = 2;

/** A request of a caller that reached a target, or what the target said to it. */
struct TargetEvent
{
    std::string kind;
    std::string target;
    const CallerRecord *caller = nullptr;
    double time = 0; //!< ms on the journal's clock
    double pauseMs = 0; //!< asked for by a refusal
};

std::vector<TargetEvent> eventsOfCallers(const std::vector<CallerRecord> &records, const Journal &journal)
{
    std::map<std::string, const CallerRecord *> callers;
    for (const CallerRecord &record : records) {
        callers[record.call.headers.at("Attempt-Id")] = &record;
    }
    std::vector<TargetEvent> events;
    for (const Json::Value &event : journal) {
        const auto caller = callers.find(event["id"].asString());
        if (caller != callers.end()) {
            events.push_back({event["event"].asString(),
                              event["standIn"].asString(),
                              caller->second,
                              event["t"].asDouble(),
                              event["retryAfter"].isString() ? 1000 * std::strtod(event["retryAfter"].asCString(), nullptr) : 0});
        }
    }
    return events;
}

bool isArrival(const TargetEvent &event)
{
    return event.kind == "run" || event.kind == "read" || event.kind == "refused";
}

bool isExcused(const std::vector<CheckInterval> &excuses, const std::string &subject, double from, double to)
{
    return std::any_of(excuses.begin(), excuses.end(), [&](const CheckInterval &excuse) {
        return excuse.subject == subject && excuse.start <= to && excuse.end >= from;
    });
}

} // namespace

Violations leavingTargetsGetNoWork(const std::vector<CheckInterval> &runs,
                                   const std::vector<CallerRecord> &records,
                                   const Journal &journal,
                                   const std::vector<CheckInterval> &excuses,
                                   double drainMs)
{
    const std::vector<TargetEvent> events = eventsOfCallers(records, journal);
    Violations violations;
    for (const CheckInterval &run : runs) {
        std::map<std::string, double> told; // entries, by when they had passed on the response with the statement
        for (const TargetEvent &event : events) {
            if (event.target != run.subject || event.time < run.start || event.time > run.end) {
                continue;
            }
            const CallerRecord &record = *event.caller;
            if (event.kind == "leaving" && record.response.complete && record.response.status < 400) {
                told.try_emplace(record.entry, journalTime(record.response.ended));
            }
            const auto since = told.find(record.entry);
            const double sent = journalTime(record.response.sent);
            if (isArrival(event) && since != told.end() && sent > since->second + drainMs && !isExcused(excuses, record.entry, since->second, event.time)) {
                violations.push_back(fmt::format("{} reached {} {:.0f} ms after its entry had passed on that it leaves",
                                                 record.call.headers.at("Attempt-Id"),
                                                 run.subject,
                                                 event.time - since->second));
            }
        }
    }
    return violations;
}

void endLeavingRuns(std::vector<CheckInterval> &runs, const std::string &target, double now)
{
    for (CheckInterval &run : runs) {
        run.end = run.subject == target ? std::min(run.end, now) : run.end;
    }
}

Violations pausedTargetsGetNoWork(const std::vector<CallerRecord> &records, const Journal &journal, const std::vector<CheckInterval> &excuses)
{
    const std::vector<TargetEvent> events = eventsOfCallers(records, journal);
    Violations violations;
    for (const TargetEvent &refusal : events) {
        const double end = refusal.time + refusal.pauseMs;
        if (refusal.kind != "refused" || isExcused(excuses, refusal.caller->entry, refusal.time, end)
            || isExcused(excuses, refusal.target, refusal.time, end)) {
            continue;
        }
        const auto arrived = std::count_if(events.begin(), events.end(), [&](const TargetEvent &event) {
            return isArrival(event) && event.target == refusal.target && event.caller->entry == refusal.caller->entry && event.time > refusal.time + noticeTime
                && event.time < end;
        });
        if (arrived > allowedInPause) {
            violations.push_back(fmt::format("{} got {} requests in the pause of {:.0f} ms that it asked for in its response to {}",
                                             refusal.target,
                                             arrived,
                                             refusal.pauseMs,
                                             refusal.caller->call.headers.at("Attempt-Id")));
        }
    }
    return violations;
}

} // namespace snipehill::soak
