#include "settingstable.h"

#include <algorithm>

namespace snipehill
{

namespace
{

constexpr std::uint64_t hourMs = 3600000;
constexpr std::uint64_t megabyte = 1U << 20U;
constexpr std::size_t nameBytes = 100;
constexpr std::size_t pathBytes = 4096;

template<typename... Ts> struct Overloaded : Ts...
{
    using Ts::operator()...;
};
template<typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

/** Names go into labels and log lines, so their characters are limited. */
bool isName(const std::string &text)
{
    return text.size() <= nameBytes && std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return std::isalnum(c) || c == '-' || c == '_' || c == '.';
           });
}

bool isPath(const std::string &text)
{
    return text.size() <= pathBytes && text.find('\0') == std::string::npos;
}

bool isFilePath(const TableField &field)
{
    return field.path.ends_with(".file");
}

bool inRange(const TableField &field, const Json::Value &value)
{
    const bool integer = value.type() == Json::intValue || value.type() == Json::uintValue;
    return integer && value.isUInt64() && value.asUInt64() >= field.least && value.asUInt64() <= field.most;
}

std::optional<Endpoint> endpointFrom(const Json::Value &value)
{
    Reason ignored;
    return value.isString() ? parseEndpoint(value.asString(), ignored) : std::nullopt;
}

bool applyText(const TableField &field, const Json::Value &value, std::string &member)
{
    if (!value.isString() || value.asString().size() < field.least) {
        return false;
    }
    const std::string text = value.asString();
    if (isFilePath(field) ? !isPath(text) : !isName(text)) {
        return false;
    }
    member = text;
    return true;
}

bool applyEndpoint(const Json::Value &value, Endpoint &member)
{
    const auto endpoint = endpointFrom(value);
    if (!endpoint) {
        return false;
    }
    member = *endpoint;
    return true;
}

bool applyEndpoints(const Json::Value &value, std::vector<Endpoint> &member)
{
    if (!value.isArray()) {
        return false;
    }
    for (const Json::Value &element : value) {
        const auto endpoint = endpointFrom(element);
        if (!endpoint) {
            return false;
        }
        member.push_back(*endpoint);
    }
    return true;
}

bool applyChoice(const Choice &choice, const Json::Value &value, Settings &settings)
{
    const auto name = value.isString() ? std::find(choice.names.begin(), choice.names.end(), value.asString()) : choice.names.end();
    if (name == choice.names.end()) {
        return false;
    }
    choice.set(settings, static_cast<std::size_t>(name - choice.names.begin()));
    return true;
}

template<typename Number> bool applyNumber(const TableField &field, const Json::Value &value, Number &member)
{
    if (!inRange(field, value)) {
        return false;
    }
    member = Number(value.asUInt64());
    return true;
}

std::string quotedList(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += (text.empty() ? "\"" : " or \"") + name + "\"";
    }
    return text;
}

std::vector<TableField> generalFields()
{
    using S = Settings;
    return {
        {"schemaVersion", Fixed{1}},
        {"role",
         Choice{{"entry", "sidecar"},
                [](S &s, std::size_t index) {
                    s.role = static_cast<ProcessRole>(index);
                },
                [](const S &s) {
                    return static_cast<std::size_t>(s.role);
                }},
         true},
        {"instance",
         +[](S &s) -> std::string & {
             return s.instance;
         },
         true,
         {},
         1},
        {"region",
         +[](S &s) -> std::string & {
             return s.region;
         },
         false,
         {},
         1},
        {"failureDomain",
         +[](S &s) -> std::string & {
             return s.failureDomain;
         },
         false,
         {},
         1},
        {"threads",
         +[](S &s) -> std::uint32_t & {
             return s.threads;
         },
         false,
         {},
         1,
         256},
        {"link.listen",
         +[](S &s) -> Endpoint & {
             return s.link.listen;
         },
         true},
        {"link.heartbeatMs",
         +[](S &s) -> milliseconds & {
             return s.link.heartbeat;
         },
         false,
         {},
         10,
         60000},
        {"admin.listen",
         +[](S &s) -> Endpoint & {
             return s.admin.listen;
         },
         true},
        {"admin.allowRemote",
         +[](S &s) -> bool & {
             return s.admin.allowRemote;
         }},
        {"platform.log",
         +[](S &s) -> Endpoint & {
             return s.platform.log;
         },
         true},
        {"platform.instances",
         +[](S &s) -> Endpoint & {
             return s.platform.instances;
         },
         true},
        {"platform.targets",
         +[](S &s) -> Endpoint & {
             return s.platform.targets;
         },
         true,
         ProcessRole::Entry},
        {"platform.usage",
         +[](S &s) -> Endpoint & {
             return s.platform.usage;
         },
         true,
         ProcessRole::Entry},
        {"peers",
         +[](S &s) -> std::vector<Endpoint> & {
             return s.peers;
         }},
    };
}

std::vector<TableField> roleFields()
{
    using S = Settings;
    constexpr auto entry = ProcessRole::Entry;
    constexpr auto sidecar = ProcessRole::Sidecar;
    return {
        {"callers.listen",
         +[](S &s) -> Endpoint & {
             return s.callers.listen;
         },
         true,
         entry},
        {"callers.headerBytes",
         +[](S &s) -> std::uint32_t & {
             return s.callers.headerBytes;
         },
         false,
         entry,
         1024,
         megabyte},
        {"callers.bodyBytes",
         +[](S &s) -> std::uint64_t & {
             return s.callers.bodyBytes;
         },
         false,
         entry,
         1024,
         1024 * megabyte},
        {"callers.headerCount",
         +[](S &s) -> std::uint32_t & {
             return s.callers.headerCount;
         },
         false,
         entry,
         8,
         1000},
        {"callers.jsonDepth",
         +[](S &s) -> std::uint32_t & {
             return s.callers.jsonDepth;
         },
         false,
         entry,
         4,
         500},
        {"callers.idleTimeoutMs",
         +[](S &s) -> milliseconds & {
             return s.callers.idleTimeout;
         },
         false,
         entry,
         100,
         hourMs},
        {"callers.requestTimeoutMs",
         +[](S &s) -> milliseconds & {
             return s.callers.requestTimeout;
         },
         false,
         entry,
         100,
         hourMs},
        {"target.address",
         +[](S &s) -> Endpoint & {
             return s.target.address;
         },
         true,
         sidecar},
        {"target.group",
         +[](S &s) -> std::string & {
             return s.target.group;
         },
         true,
         sidecar,
         1},
        {"target.kind",
         Choice{{"engine", "service"},
                [](S &s, std::size_t index) {
                    s.target.kind = static_cast<TargetKind>(index);
                },
                [](const S &s) {
                    return static_cast<std::size_t>(s.target.kind);
                }},
         true,
         sidecar},
        {"target.slots",
         +[](S &s) -> std::uint32_t & {
             return s.target.slots;
         },
         false,
         sidecar,
         1,
         10000},
    };
}

std::vector<TableField> outputFields()
{
    using S = Settings;
    return {
        {"logging.level",
         Choice{{"debug", "info", "warning", "error"},
                [](S &s, std::size_t index) {
                    s.logging.level = static_cast<Level>(index);
                },
                [](const S &s) {
                    return static_cast<std::size_t>(s.logging.level);
                }}},
        {"logging.format",
         Choice{{"text", "json"},
                [](S &s, std::size_t index) {
                    s.logging.format = static_cast<LogFormat>(index);
                },
                [](const S &s) {
                    return static_cast<std::size_t>(s.logging.format);
                }}},
        {"logging.repeatWindowMs",
         +[](S &s) -> milliseconds & {
             return s.logging.repeatWindow;
         },
         false,
         {},
         0,
         hourMs},
        {"traces.enabled",
         +[](S &s) -> bool & {
             return s.traces.enabled;
         }},
        {"traces.file",
         +[](S &s) -> std::string & {
             return s.traces.file;
         }},
    };
}

std::vector<TableField> timeFields()
{
    using S = Settings;
    return {
        {"drain.balancerDelayMs",
         +[](S &s) -> milliseconds & {
             return s.drain.balancerDelay;
         },
         false,
         {},
         0,
         hourMs},
        {"drain.boundMs",
         +[](S &s) -> milliseconds & {
             return s.drain.bound;
         },
         false,
         {},
         0,
         hourMs},
        {"timings.leaseMs",
         +[](S &s) -> milliseconds & {
             return s.timings.lease;
         },
         false,
         {},
         300,
         hourMs},
        {"timings.leaseMarginMs",
         +[](S &s) -> milliseconds & {
             return s.timings.leaseMargin;
         },
         false,
         {},
         10,
         hourMs},
        {"timings.grantMs",
         +[](S &s) -> milliseconds & {
             return s.timings.grant;
         },
         false,
         {},
         100,
         hourMs},
        {"timings.freshnessMs",
         +[](S &s) -> milliseconds & {
             return s.timings.freshness;
         },
         false,
         {},
         100,
         60000},
        {"timings.instancesPollMs",
         +[](S &s) -> milliseconds & {
             return s.timings.instancesPoll;
         },
         false,
         {},
         50,
         60000},
        {"timings.usageWindowMs",
         +[](S &s) -> milliseconds & {
             return s.timings.usageWindow;
         },
         false,
         {},
         500,
         24 * hourMs},
    };
}

std::vector<TableField> allFields()
{
    std::vector<TableField> fields = generalFields();
    for (const auto &more : {roleFields(), outputFields(), timeFields()}) {
        fields.insert(fields.end(), more.begin(), more.end());
    }
    return fields;
}

} // namespace

const std::vector<TableField> &settingsTable()
{
    static const std::vector<TableField> fields = allFields();
    return fields;
}

std::string allowedText(const TableField &field)
{
    const std::string range = " from " + std::to_string(field.least) + " to " + std::to_string(field.most);
    return std::visit(Overloaded{
                          [&](TextMember) -> std::string {
                              return isFilePath(field) ? "a file path" : "a name of letters, digits, '-', '_' and '.', at most " + std::to_string(nameBytes);
                          },
                          [](FlagMember) -> std::string {
                              return "true or false";
                          },
                          [&](CountMember) {
                              return "an integer" + range;
                          },
                          [&](SizeMember) {
                              return "an integer" + range;
                          },
                          [&](TimeMember) {
                              return "an integer" + range;
                          },
                          [](EndpointMember) -> std::string {
                              return "IP address and port, such as \"127.0.0.1:8080\"";
                          },
                          [](EndpointsMember) -> std::string {
                              return "an array of IP address and port, such as [\"127.0.0.1:9080\"]";
                          },
                          [](const Fixed &fixed) {
                              return std::to_string(fixed.value);
                          },
                          [](const Choice &choice) {
                              return quotedList(choice.names);
                          },
                      },
                      field.member);
}

std::string defaultText(const TableField &field)
{
    if (field.required) {
        return "";
    }
    Settings settings;
    return std::visit(Overloaded{
                          [&](TextMember member) {
                              return "\"" + member(settings) + "\"";
                          },
                          [&](FlagMember member) -> std::string {
                              return member(settings) ? "true" : "false";
                          },
                          [&](CountMember member) {
                              return std::to_string(member(settings));
                          },
                          [&](SizeMember member) {
                              return std::to_string(member(settings));
                          },
                          [&](TimeMember member) {
                              return std::to_string(member(settings).count());
                          },
                          [](EndpointMember) -> std::string {
                              return "";
                          },
                          [](EndpointsMember) -> std::string {
                              return "[]";
                          },
                          [](const Fixed &fixed) {
                              return std::to_string(fixed.value);
                          },
                          [&](const Choice &choice) {
                              return "\"" + choice.names[choice.get(settings)] + "\"";
                          },
                      },
                      field.member);
}

bool applyValue(const TableField &field, const Json::Value &value, Settings &settings)
{
    return std::visit(Overloaded{
                          [&](TextMember member) {
                              return applyText(field, value, member(settings));
                          },
                          [&](FlagMember member) {
                              member(settings) = value.isBool() && value.asBool();
                              return value.isBool();
                          },
                          [&](CountMember member) {
                              return applyNumber(field, value, member(settings));
                          },
                          [&](SizeMember member) {
                              return applyNumber(field, value, member(settings));
                          },
                          [&](TimeMember member) {
                              return applyNumber(field, value, member(settings));
                          },
                          [&](EndpointMember member) {
                              return applyEndpoint(value, member(settings));
                          },
                          [&](EndpointsMember member) {
                              return applyEndpoints(value, member(settings));
                          },
                          [&](const Fixed &fixed) {
                              return value.isUInt64() && value.asUInt64() == fixed.value;
                          },
                          [&](const Choice &choice) {
                              return applyChoice(choice, value, settings);
                          },
                      },
                      field.member);
}

} // namespace snipehill
