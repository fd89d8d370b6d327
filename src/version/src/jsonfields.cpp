#include <version/jsonfields.h>

#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <cmath>
#include <memory>

namespace snipehill
{

namespace
{

constexpr int maxNestingDepth = 32;

Json::CharReaderBuilder makeStrictReader()
{
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    builder["allowComments"] = true;
    builder["allowTrailingCommas"] = false;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    builder["stackLimit"] = maxNestingDepth;
    return builder;
}

std::string joinLines(std::string errors)
{
    for (char &c : errors) {
        c = c == '\n' ? ' ' : c;
    }
    while (errors.ends_with(' ')) {
        errors.pop_back();
    }
    return errors;
}

template<typename T> std::string rangeError(T minValue, T maxValue)
{
    return "must lie between " + std::to_string(minValue) + " and " + std::to_string(maxValue);
}

} // namespace

std::optional<Json::Value> parseJson(std::string_view text, Reason &reason)
{
    static const Json::CharReaderBuilder builder = makeStrictReader();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
            return value;
        }
    } catch (const Json::Exception &) {
        errors = "nesting deeper than " + std::to_string(maxNestingDepth) + " levels";
    }
    reason = {Step::Parse, "", joinLines(std::move(errors))};
    return std::nullopt;
}

std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

FieldReader::FieldReader(const Json::Value &object, const char *path, Step step) : m_object(object), m_path(path), m_step(step)
{
    if (!object.isObject()) {
        m_error = (*m_path == '\0' ? std::string("value") : std::string(m_path)) + " must be an object";
    }
}

bool FieldReader::hasMember(const char *name)
{
    m_knownMembers.emplace_back(name);
    return m_object.isObject() && m_object.isMember(name);
}

const Json::Value &FieldReader::member(const char *name)
{
    return hasMember(name) ? m_object[name] : Json::Value::nullSingleton();
}

void FieldReader::fail(const char *name, std::string_view problem)
{
    if (m_error.empty()) {
        m_error = std::string(m_path) + name + " " + std::string(problem);
    }
}

void FieldReader::read(const char *name, std::string &field, std::size_t maxBytes)
{
    if (!hasMember(name)) {
        return;
    }
    const Json::Value &value = m_object[name];
    if (!value.isString()) {
        fail(name, "must be a string");
    } else if (value.asString().size() > maxBytes) {
        fail(name, "must not be longer than " + std::to_string(maxBytes) + " bytes");
    } else {
        field = value.asString();
    }
}

void FieldReader::read(const char *name, bool &field)
{
    if (!hasMember(name)) {
        return;
    }
    if (!m_object[name].isBool()) {
        fail(name, "must be true or false");
    } else {
        field = m_object[name].asBool();
    }
}

void FieldReader::read(const char *name, double &field, double minValue, double maxValue)
{
    if (!hasMember(name)) {
        return;
    }
    const Json::Value &value = m_object[name];
    if (!value.isNumeric()) {
        fail(name, "must be a number");
    } else if (!std::isfinite(value.asDouble()) || value.asDouble() < minValue || value.asDouble() > maxValue) {
        fail(name, rangeError(minValue, maxValue));
    } else {
        field = value.asDouble();
    }
}

void FieldReader::read(const char *name, std::int64_t &field, std::int64_t minValue, std::int64_t maxValue)
{
    if (!hasMember(name)) {
        return;
    }
    const Json::Value &value = m_object[name];
    if (value.type() != Json::intValue && value.type() != Json::uintValue) {
        fail(name, "must be a whole number");
    } else if (!value.isInt64() || value.asInt64() < minValue || value.asInt64() > maxValue) {
        fail(name, rangeError(minValue, maxValue));
    } else {
        field = value.asInt64();
    }
}

void FieldReader::read(const char *name, std::uint32_t &field, std::uint32_t minValue, std::uint32_t maxValue)
{
    std::int64_t value = field;
    read(name, value, std::int64_t{minValue}, std::int64_t{maxValue});
    field = static_cast<std::uint32_t>(value);
}

bool FieldReader::finish(Reason &reason)
{
    if (m_object.isObject()) {
        for (auto member = m_object.begin(); member != m_object.end(); ++member) {
            const std::string name = member.name();
            if (std::find(m_knownMembers.begin(), m_knownMembers.end(), name) == m_knownMembers.end()) {
                fail(name.c_str(), "is not known");
            }
        }
    }
    if (!m_error.empty()) {
        reason = {m_step, "", m_error};
    }
    return m_error.empty();
}

} // namespace snipehill
