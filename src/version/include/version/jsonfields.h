#pragma once

#include <core/reason.h>

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipehill
{

/**
 * Parses JSON with comments. Duplicate keys, excessive nesting and text after the value are errors.
 * On error returns empty and fills the reason with line and column; never throws.
 */
std::optional<Json::Value> parseJson(std::string_view text, Reason &reason);

/** Serializes a value to one line of JSON without comments, with the members sorted by name. */
std::string writeJson(const Json::Value &value);

/**
 * Reads the members of one JSON object into typed fields and keeps the first error.
 *
 * Reading an absent member leaves the field at its default. finish() reports members that were never read. The object, path
 * and names must outlive the reader. For use by one thread.
 */
class FieldReader
{
public:
    /** The path precedes the member names in errors, for example "spec.". */
    FieldReader(const Json::Value &object, const char *path, Step step);

    void read(const char *name, std::string &field, std::size_t maxBytes);
    void read(const char *name, bool &field);
    void read(const char *name, double &field, double minValue, double maxValue);
    void read(const char *name, std::int64_t &field, std::int64_t minValue, std::int64_t maxValue);
    void read(const char *name, std::uint32_t &field, std::uint32_t minValue, std::uint32_t maxValue);
    /** The raw member, null if absent; counts as read. */
    const Json::Value &member(const char *name);
    /** Records an error about a member unless an earlier error was recorded. */
    void fail(const char *name, std::string_view problem);
    /** True if all members of the object were read and valid; otherwise fills the reason. */
    bool finish(Reason &reason);

private:
    bool hasMember(const char *name);
    const Json::Value &m_object;
    const char *m_path;
    Step m_step;
    std::vector<std::string_view> m_knownMembers;
    std::string m_error;
};

} // namespace snipehill
