#include "command.h"
#include "processes.h"

#include <core/ids.h>
#include <version/jsonfields.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace snipehill
{

namespace
{

/** Fields of /status that are shown in the table, and so not in the detail lines. */
constexpr std::array tableFields{"instance", "role", "ready", "notReady"};

std::string describeHealth(const ProcessReport &process)
{
    if (!process.status) {
        return "no answer";
    }
    if ((*process.status)["ready"] == true) {
        return "ready";
    }
    const Json::Value &reasons = (*process.status)["notReady"];
    return "not ready" + (reasons.isArray() && !reasons.empty() ? ": " + reasons[0].asString() : std::string());
}

std::string tableRow(const ProcessReport &process)
{
    const Member &member = process.member;
    std::array<char, 400> line{};
    const Offset offset = configOffset(process);
    std::snprintf(line.data(),
                  line.size(),
                  "%-20s %-8s %-8s %-8s %-14s %-8s %s\n",
                  member.instance.c_str(),
                  member.role.c_str(),
                  member.leaving ? "leaving" : "live",
                  member.failureDomain.c_str(),
                  member.targetGroup.empty() ? "-" : member.targetGroup.c_str(),
                  offset == noOffset ? "-" : std::to_string(offset).c_str(),
                  describeHealth(process).c_str());
    return line.data();
}

/** Formats the other fields of /status, such as leases, targets and roles, one line each. */
std::string statusLines(const ProcessReport &process)
{
    std::string text;
    if (!process.status || !process.status->isObject()) {
        return text;
    }
    for (const std::string &name : process.status->getMemberNames()) {
        if (std::find(tableFields.begin(), tableFields.end(), name) == tableFields.end()) {
            text.append(process.member.instance).append(" ").append(name).append(": ").append(writeJson((*process.status)[name])).append("\n");
        }
    }
    return text;
}

Json::Value toJson(const ProcessReport &process)
{
    Json::Value entry;
    entry["instance"] = process.member.instance;
    entry["role"] = process.member.role;
    entry["leaving"] = process.member.leaving;
    entry["failureDomain"] = process.member.failureDomain;
    entry["targetGroup"] = process.member.targetGroup;
    entry["status"] = process.status ? *process.status : Json::Value();
    entry["problem"] = process.problem;
    return entry;
}

} // namespace

int runStatus(const CommandOptions &options)
{
    if (!options.instances) {
        return failCommand(ExitUsage, "status needs --instances");
    }
    Reason reason;
    const auto processes = fetchProcessReports(*options.instances, reason);
    if (!processes) {
        return failCommand(ExitUnreachable, toString(reason));
    }
    Json::Value report(Json::arrayValue);
    std::string text = "instance             role     state    domain   group          config   health\n";
    std::string details;
    bool allReady = true;
    for (const ProcessReport &process : *processes) {
        report.append(toJson(process));
        text += tableRow(process);
        details += statusLines(process);
        allReady = allReady && (process.member.leaving || describeHealth(process) == "ready");
    }
    printReport(options, report, text + "\n" + details);
    return allReady ? ExitSuccess : ExitFindings;
}

} // namespace snipehill
