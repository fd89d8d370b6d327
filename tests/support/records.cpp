#include "cluster.h"

#include <version/configversion.h>

namespace snipehill::support
{

namespace
{

Json::Value record(const std::string &kind, const std::string &name)
{
    Json::Value record;
    record["kind"] = kind;
    record["schemaVersion"] = 1;
    record["name"] = name;
    record["spec"] = Json::Value(Json::objectValue);
    return record;
}

} // namespace

Json::Value workspaceRecord(const std::string &name)
{
    Json::Value value = record("workspace", name);
    value["spec"]["weight"] = 1;
    return value;
}

Json::Value keyRecord(const std::string &name, const std::string &workspace, const std::string &secret)
{
    Json::Value value = record("key", name);
    value["spec"]["workspace"] = workspace;
    value["spec"]["sha256"] = sha256Hex(secret);
    return value;
}

Json::Value groupRecord(const std::string &name, const std::string &kind)
{
    Json::Value value = record("targetGroup", name);
    value["spec"]["kind"] = kind;
    if (kind == "engine") {
        value["spec"]["model"] = "assistant";
        value["spec"]["modelVersion"] = "1";
    }
    return value;
}

Json::Value routeRecord(const std::string &name, const std::string &prefix, const std::string &group, const std::string &spec)
{
    Json::Value value = record("route", name);
    value["spec"] = parseJson(spec).value();
    value["spec"]["prefix"] = prefix;
    value["spec"]["targetGroup"] = group;
    return value;
}

std::vector<Json::Value> defaultRecords()
{
    return {
        workspaceRecord("bureau"),
        workspaceRecord("kaspiy"),
        keyRecord("bureau-key", "bureau", bureauSecret),
        keyRecord("kaspiy-key", "kaspiy", kaspiySecret),
        groupRecord("assistant", "engine"),
        groupRecord("licences", "service"),
        routeRecord("chat", "/v1/chat/completions", "assistant", R"({"idempotent": true, "deadlineMs": 30000})"),
        routeRecord("status", "/status", "licences", R"({"idempotent": true, "deadlineMs": 10000})"),
        routeRecord("fees", "/fees", "licences", R"({"idempotent": false, "deadlineMs": 10000})"),
        routeRecord("opening-hours", "/hours", "licences", R"({"idempotent": true, "open": true, "deadlineMs": 10000})"),
    };
}

} // namespace snipehill::support
