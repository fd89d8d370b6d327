#pragma once

#include <process/settings.h>

#include <json/value.h>

#include <limits>
#include <variant>

namespace snipehill
{

/** Member of Settings that a field sets; each alternative is a captureless lambda that returns a reference. */
using TextMember = std::string &(*)(Settings &);
using FlagMember = bool &(*)(Settings &);
using CountMember = std::uint32_t &(*)(Settings &);
using SizeMember = std::uint64_t &(*)(Settings &);
using TimeMember = milliseconds &(*)(Settings &);
using EndpointMember = Endpoint &(*)(Settings &);
using EndpointsMember = std::vector<Endpoint> &(*)(Settings &);

/** Field with a single allowed value; sets no member. */
struct Fixed
{
    std::uint64_t value = 0;
};

/** Field that takes one of several names. */
struct Choice
{
    std::vector<std::string> names;
    void (*set)(Settings &, std::size_t index) = nullptr;
    std::size_t (*get)(const Settings &) = nullptr;
};

using Member = std::variant<TextMember, FlagMember, CountMember, SizeMember, TimeMember, EndpointMember, EndpointsMember, Fixed, Choice>;

/** One row of the table: how a field is validated and which member it sets. */
struct TableField
{
    std::string path;
    Member member;
    bool required = false;
    std::optional<ProcessRole> onlyFor; //!< the only role that uses the field; empty: both roles
    std::uint64_t minimum = 0; //!< minimum of a number, in the unit of the field's name; for texts the minimum length
    std::uint64_t maximum = std::numeric_limits<std::uint32_t>::max();
};

/** All fields; "role" comes before the fields that depend on it. */
const std::vector<TableField> &settingsTable();

/** Describes the allowed values of a field, for error messages and docs/SETTINGS.md. */
std::string allowedValues(const TableField &field);

/** Default value as JSON text; empty for a required field. */
std::string defaultText(const TableField &field);

/** Validates a value and stores it; false if it isn't allowed. */
bool applyValue(const TableField &field, const Json::Value &value, Settings &settings);

} // namespace snipehill
