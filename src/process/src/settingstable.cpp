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

/** Names appear in metric labels and log lines, so only a limited set of characters is allowed. */
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
    return integer && value.isUInt64() && value.asUInt64() >= field.minimum && value.asUInt64() <= field.maximum;
}

std::optional<Endpoint> endpointFrom(const Json::Value &value)
{
    Reason ignored;
    return value.isString() ? parseEndpoint(value.asString(), ignored) : std::nullopt;
}

bool applyText(const TableField &field, const Json::Value &value, std::string &member)
{
    if (!value.isString() || value.asString().size() < field.minimum) {
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

/** Reference to a member of Settings, or of one of its sections. */
template<auto Member> auto &member(Settings &settings)
{
    return settings.*Member;
}

template<auto Section, auto Member> auto &member(Settings &settings)
{
    return settings.*Section.*Member;
}

/** Choice whose names are in the order of the enumerators. */
template<auto... Path> Choice choice(std::vector<std::string> names)
{
    return {std::move(names),
            [](Settings &settings, std::size_t index) {
                auto &field = member<Path...>(settings);
                field = static_cast<std::remove_reference_t<decltype(field)>>(index);
            },
            [](const Settings &settings) {
                Settings copy = settings;
                return static_cast<std::size_t>(member<Path...>(copy));
            }};
}

std::vector<TableField> generalFields()
{
    return {
        {"schemaVersion", Fixed{1}},
        {"role", choice<&Settings::role>({"entry", "sidecar"}), true},
        {"instance", &member<&Settings::instance>, true, {}, 1},
        {"region", &member<&Settings::region>, false, {}, 1},
        {"failureDomain", &member<&Settings::failureDomain>, false, {}, 1},
        {"threads", &member<&Settings::threads>, false, {}, 1, 256},
        {"link.listen", &member<&Settings::link, &LinkSettings::listen>, true},
        {"link.heartbeatMs", &member<&Settings::link, &LinkSettings::heartbeat>, false, {}, 10, 60000},
        {"admin.listen", &member<&Settings::admin, &AdminSettings::listen>, true},
        {"admin.allowRemote", &member<&Settings::admin, &AdminSettings::allowRemote>},
        {"platform.log", &member<&Settings::platform, &PlatformSettings::log>, true},
        {"platform.instances", &member<&Settings::platform, &PlatformSettings::instances>, true},
        {"platform.targets", &member<&Settings::platform, &PlatformSettings::targets>, true, ProcessRole::Entry},
        {"platform.usage", &member<&Settings::platform, &PlatformSettings::usage>, true, ProcessRole::Entry},
        {"peers", &member<&Settings::peers>},
    };
}

std::vector<TableField> roleFields()
{
    constexpr auto entry = ProcessRole::Entry;
    constexpr auto sidecar = ProcessRole::Sidecar;
    return {
        {"callers.listen", &member<&Settings::callers, &CallersSettings::listen>, true, entry},
        {"callers.headerBytes", &member<&Settings::callers, &CallersSettings::headerBytes>, false, entry, 1024, megabyte},
        {"callers.bodyBytes", &member<&Settings::callers, &CallersSettings::bodyBytes>, false, entry, 1024, 1024 * megabyte},
        {"callers.headerCount", &member<&Settings::callers, &CallersSettings::headerCount>, false, entry, 8, 1000},
        {"callers.jsonDepth", &member<&Settings::callers, &CallersSettings::jsonDepth>, false, entry, 4, 500},
        {"callers.idleTimeoutMs", &member<&Settings::callers, &CallersSettings::idleTimeout>, false, entry, 100, hourMs},
        {"callers.requestTimeoutMs", &member<&Settings::callers, &CallersSettings::requestTimeout>, false, entry, 100, hourMs},
        {"target.address", &member<&Settings::target, &TargetSettings::address>, true, sidecar},
        {"target.group", &member<&Settings::target, &TargetSettings::group>, true, sidecar, 1},
        {"target.kind", choice<&Settings::target, &TargetSettings::kind>({"engine", "service"}), true, sidecar},
        {"target.slots", &member<&Settings::target, &TargetSettings::slots>, false, sidecar, 1, 10000},
    };
}

std::vector<TableField> outputFields()
{
    return {
        {"logging.level", choice<&Settings::logging, &LoggingSettings::level>({"debug", "info", "warning", "error"})},
        {"logging.format", choice<&Settings::logging, &LoggingSettings::format>({"text", "json"})},
        {"logging.repeatWindowMs", &member<&Settings::logging, &LoggingSettings::repeatWindow>, false, {}, 0, hourMs},
        {"traces.enabled", &member<&Settings::traces, &TracesSettings::enabled>},
        {"traces.file", &member<&Settings::traces, &TracesSettings::file>},
    };
}

std::vector<TableField> timeFields()
{
    return {
        {"drain.balancerDelayMs", &member<&Settings::drain, &DrainSettings::balancerDelay>, false, {}, 0, hourMs},
        {"drain.boundMs", &member<&Settings::drain, &DrainSettings::timeout>, false, {}, 0, hourMs},
        {"timings.leaseMs", &member<&Settings::timings, &TimingSettings::lease>, false, {}, 300, hourMs},
        {"timings.leaseMarginMs", &member<&Settings::timings, &TimingSettings::leaseMargin>, false, {}, 10, hourMs},
        {"timings.grantMs", &member<&Settings::timings, &TimingSettings::grant>, false, {}, 100, hourMs},
        {"timings.freshnessMs", &member<&Settings::timings, &TimingSettings::freshness>, false, {}, 100, 60000},
        {"timings.instancesPollMs", &member<&Settings::timings, &TimingSettings::instancesPoll>, false, {}, 50, 60000},
        {"timings.usageWindowMs", &member<&Settings::timings, &TimingSettings::usageWindow>, false, {}, 500, 24 * hourMs},
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

std::string allowedValues(const TableField &field)
{
    const std::string range = " from " + std::to_string(field.minimum) + " to " + std::to_string(field.maximum);
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
