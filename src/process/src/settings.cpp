#include <process/settings.h>

#include "settingstable.h"

#include <version/jsonfields.h>

#include <boost/asio/ip/address.hpp>
#include <json/value.h>

#include <fstream>
#include <set>
#include <sstream>

namespace snipehill
{

namespace
{

/** Thrown only within this file; caught by parseSettings(). */
struct Invalid
{
    std::string detail;
};

[[noreturn]] void fail(const std::string &path, const std::string &problem)
{
    throw Invalid{path + ": " + problem};
}

Json::Value parseObject(std::string_view text)
{
    Reason reason;
    auto root = parseJson(text, reason);
    if (!root) {
        throw Invalid{reason.detail};
    }
    if (!root->isObject()) {
        throw Invalid{"the file must hold one JSON object"};
    }
    return std::move(*root);
}

const Json::Value *find(const Json::Value &root, const std::string &path)
{
    const Json::Value *value = &root;
    std::istringstream parts(path);
    std::string part;
    while (std::getline(parts, part, '.')) {
        value = value->isObject() ? value->find(part.data(), part.data() + part.size()) : nullptr;
        if (!value) {
            return nullptr;
        }
    }
    return value;
}

/** Returns the dotted paths of all fields and adds the names of their sections to sections. */
std::set<std::string> knownPaths(std::set<std::string> &sections)
{
    std::set<std::string> known;
    for (const TableField &field : settingsTable()) {
        known.insert(field.path);
        if (const auto dot = field.path.find('.'); dot != std::string::npos) {
            sections.insert(field.path.substr(0, dot));
        }
    }
    return known;
}

std::string joinNames(const std::set<std::string> &known, const std::string &prefix)
{
    std::string names;
    for (const std::string &path : known) {
        const std::string name = prefix.empty() ? path.substr(0, path.find('.')) : path.substr(std::min(prefix.size(), path.size()));
        if (path.starts_with(prefix) && !names.ends_with(name)) {
            names += (names.empty() ? "" : ", ") + name;
        }
    }
    return names;
}

void rejectUnknownFields(const Json::Value &root)
{
    std::set<std::string> sections;
    const std::set<std::string> known = knownPaths(sections);
    for (const std::string &name : root.getMemberNames()) {
        if (!sections.contains(name)) {
            if (!known.contains(name)) {
                fail(name, "unknown field; known here are " + joinNames(known, ""));
            }
            continue;
        }
        if (!root[name].isObject()) {
            fail(name, "must be an object");
        }
        const std::string prefix = name + ".";
        for (const std::string &member : root[name].getMemberNames()) {
            std::string path = prefix;
            path += member;
            if (!known.contains(path)) {
                fail(path, "unknown field; known here are " + joinNames(known, prefix));
            }
        }
    }
}

void applyField(const TableField &field, const Json::Value &root, Settings &settings)
{
    const Json::Value *value = find(root, field.path);
    const bool used = !field.onlyFor || *field.onlyFor == settings.role;
    if (!value) {
        if (field.required && used) {
            fail(field.path, std::string("missing; must be ") + allowedValues(field));
        }
        return;
    }
    if (!used && field.path.find("platform.") != 0) {
        fail(field.path, std::string("not used by role ") + toString(settings.role));
    }
    if (!applyValue(field, *value, settings)) {
        fail(field.path, "must be " + allowedValues(field));
    }
}

bool isLoopback(const Endpoint &endpoint)
{
    boost::system::error_code error;
    return boost::asio::ip::make_address(endpoint.address, error).is_loopback() && !error;
}

void checkConstraints(const Settings &settings)
{
    const TimingSettings &timings = settings.timings;
    if (timings.leaseMargin * 2 >= timings.lease) {
        fail("timings.leaseMarginMs", "must be less than half of timings.leaseMs");
    }
    if (timings.grant >= timings.lease) {
        fail("timings.grantMs", "must be less than timings.leaseMs");
    }
    if (settings.link.heartbeat >= timings.lease) {
        fail("link.heartbeatMs", "must be less than timings.leaseMs");
    }
    if (settings.drain.balancerDelay > settings.drain.timeout) {
        fail("drain.balancerDelayMs", "must be at most drain.boundMs");
    }
    if (!settings.admin.allowRemote && !isLoopback(settings.admin.listen)) {
        fail("admin.listen", "must be a loopback address unless admin.allowRemote is true");
    }
    const bool entry = settings.role == ProcessRole::Entry;
    std::set<Endpoint> listens;
    for (const Endpoint &listen : {settings.link.listen, settings.admin.listen, entry ? settings.callers.listen : Endpoint{}}) {
        if (listen.port != 0 && !listens.insert(listen).second) {
            fail("listen", "two servers can't share " + toString(listen));
        }
    }
}

} // namespace

const char *toString(ProcessRole role) noexcept
{
    return role == ProcessRole::Entry ? "entry" : "sidecar";
}

std::vector<SettingsField> settingsFields()
{
    std::vector<SettingsField> fields;
    for (const TableField &field : settingsTable()) {
        fields.push_back({field.path, allowedValues(field), defaultText(field)});
    }
    return fields;
}

std::optional<Settings> parseSettings(std::string_view text, Reason &reason)
{
    try {
        const Json::Value root = parseObject(text);
        rejectUnknownFields(root);
        Settings settings;
        for (const TableField &field : settingsTable()) {
            applyField(field, root, settings);
        }
        checkConstraints(settings);
        return settings;
    } catch (const Invalid &invalid) {
        reason = {Step::Settings, "", invalid.detail};
        return std::nullopt;
    }
}

std::optional<Settings> readSettingsFile(const std::string &path, Reason &reason)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        reason = {Step::Settings, "", path + ": can't be read"};
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto settings = parseSettings(text.str(), reason);
    if (!settings) {
        reason.detail = path + ": " + reason.detail;
    }
    return settings;
}

} // namespace snipehill
