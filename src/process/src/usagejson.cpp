#include <process/usage.h>

namespace snipehill
{

namespace
{

Json::Value toJson(const UsageSource &source)
{
    Json::Value value;
    value["instance"] = source.sidecar.instance;
    value["incarnation"] = Json::UInt64(source.sidecar.number);
    value["window"] = Json::Int64(source.window);
    return value;
}

Json::Value toJson(const UsageByWorkspace &totals)
{
    Json::Value value(Json::objectValue);
    for (const auto &[workspace, used] : totals) {
        Json::Value &row = value[workspace];
        row["requests"] = Json::UInt64(used.requests);
        row["promptTokens"] = Json::UInt64(used.promptTokens);
        row["outputTokens"] = Json::UInt64(used.outputTokens);
    }
    return value;
}

std::optional<UsageSource> parseSource(const Json::Value &value)
{
    if (!value.isObject() || !value["instance"].isString() || !value["incarnation"].isUInt64() || !value["window"].isInt64()) {
        return std::nullopt;
    }
    return UsageSource{{value["instance"].asString(), value["incarnation"].asUInt64()}, value["window"].asInt64()};
}

std::optional<std::vector<UsageSource>> parseSources(const Json::Value &value)
{
    if (!value.isArray()) {
        return std::nullopt;
    }
    std::vector<UsageSource> sources;
    for (const Json::Value &entry : value) {
        const auto source = parseSource(entry);
        if (!source) {
            return std::nullopt;
        }
        sources.push_back(*source);
    }
    return sources;
}

std::optional<UsageByWorkspace> parseFigures(const Json::Value &value)
{
    if (!value.isObject()) {
        return std::nullopt;
    }
    UsageByWorkspace totals;
    for (const std::string &workspace : value.getMemberNames()) {
        const Json::Value &row = value[workspace];
        if (!row.isObject() || !row["requests"].isUInt64() || !row["promptTokens"].isUInt64() || !row["outputTokens"].isUInt64()) {
            return std::nullopt;
        }
        totals[workspace] = {row["requests"].asUInt64(), row["promptTokens"].asUInt64(), row["outputTokens"].asUInt64()};
    }
    return totals;
}

/** Era of a record; records of earlier versions have none. */
std::optional<LogEra> parseEra(const Json::Value &value)
{
    return value["era"].isUInt64() ? std::optional<LogEra>(value["era"].asUInt64()) : std::nullopt;
}

std::optional<OpenedLedger> parseOpened(const Json::Value &value)
{
    if (!value["era"].isUInt64() || !value["token"].isInt64() || !value["windows"].isArray()) {
        return std::nullopt;
    }
    OpenedLedger opened{.era = value["era"].asUInt64(), .token = value["token"].asInt64(), .through = value["window"].asInt64()};
    for (const Json::Value &entry : value["windows"]) {
        const auto totals = entry.isObject() && entry["window"].isInt64() ? parseFigures(entry["workspaces"]) : std::nullopt;
        if (!totals) {
            return std::nullopt;
        }
        opened.windows[entry["window"].asInt64()] = *totals;
    }
    return opened;
}

std::optional<ClosedWindow> parseClosed(const Json::Value &value)
{
    const auto totals = parseFigures(value["workspaces"]);
    const auto sources = parseSources(value["sources"]);
    if (!totals || !sources) {
        return std::nullopt;
    }
    return ClosedWindow{value["window"].asInt64(), *totals, *sources, parseEra(value)};
}

std::optional<ReportedWindow> parseReported(const Json::Value &value)
{
    if (!value["workspaces"].isArray()) {
        return std::nullopt;
    }
    ReportedWindow reported;
    reported.window = value["window"].asInt64();
    reported.era = parseEra(value);
    for (const Json::Value &workspace : value["workspaces"]) {
        if (!workspace.isString()) {
            return std::nullopt;
        }
        reported.workspaces.push_back(workspace.asString());
    }
    return reported;
}

} // namespace

Json::Value toJson(const ClosedWindow &closed)
{
    Json::Value value;
    value["kind"] = "closed";
    value["window"] = Json::Int64(closed.window);
    value["workspaces"] = toJson(closed.totals);
    value["sources"] = Json::Value(Json::arrayValue);
    for (const UsageSource &source : closed.sources) {
        value["sources"].append(toJson(source));
    }
    if (closed.era) {
        value["era"] = Json::UInt64(*closed.era);
    }
    return value;
}

Json::Value toJson(const ReportedWindow &reported)
{
    Json::Value value;
    value["kind"] = "reported";
    value["window"] = Json::Int64(reported.window);
    value["workspaces"] = Json::Value(Json::arrayValue);
    for (const std::string &workspace : reported.workspaces) {
        value["workspaces"].append(workspace);
    }
    if (reported.era) {
        value["era"] = Json::UInt64(*reported.era);
    }
    return value;
}

Json::Value toJson(const OpenedLedger &opened)
{
    Json::Value value;
    value["kind"] = "opened";
    value["era"] = Json::UInt64(opened.era);
    value["token"] = Json::Int64(opened.token);
    value["window"] = Json::Int64(opened.through);
    value["windows"] = Json::Value(Json::arrayValue);
    for (const auto &[window, totals] : opened.windows) {
        Json::Value entry;
        entry["window"] = Json::Int64(window);
        entry["workspaces"] = toJson(totals);
        value["windows"].append(std::move(entry));
    }
    return value;
}

Json::Value toJson(const UsageRows &rows)
{
    Json::Value value(Json::arrayValue);
    for (const auto &[source, totals] : rows) {
        Json::Value row = toJson(source);
        row["workspaces"] = toJson(totals);
        value.append(std::move(row));
    }
    return value;
}

std::optional<UsageRecord> parseUsageRecord(const Json::Value &value, Reason &reason)
{
    reason = {Step::Usage, "", "usage record lacks a field"};
    if (!value.isObject() || !value["kind"].isString() || !value["window"].isInt64()) {
        return std::nullopt;
    }
    UsageRecord record;
    if (value["kind"].asString() == "closed") {
        record.closed = parseClosed(value);
    } else if (value["kind"].asString() == "reported") {
        record.reported = parseReported(value);
    } else if (value["kind"].asString() == "opened") {
        record.opened = parseOpened(value);
    }
    if (!record.closed && !record.reported && !record.opened) {
        return std::nullopt;
    }
    return record;
}

std::optional<UsageRows> parseUsageRows(const Json::Value &value, Reason &reason)
{
    reason = {Step::Usage, "", "usage rows lack a field"};
    if (!value.isArray()) {
        return std::nullopt;
    }
    UsageRows rows;
    for (const Json::Value &entry : value) {
        const auto source = parseSource(entry);
        if (!source) {
            return std::nullopt;
        }
        const auto totals = parseFigures(entry["workspaces"]);
        if (!totals) {
            return std::nullopt;
        }
        rows[*source] = *totals;
    }
    return rows;
}

std::optional<std::vector<UsageSource>> parseUsageSources(const Json::Value &params, Reason &reason)
{
    reason = {Step::Usage, "", "usage sources lack a field"};
    return params.isObject() ? parseSources(params["sources"]) : std::nullopt;
}

} // namespace snipehill
