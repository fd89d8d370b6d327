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

/** Field that must have this one value; sets nothing. */
struct Fixed
{
    std::uint64_t value = 0;
};

/** Field that names one of several values. */
struct Choice
{
    std::vector<std::string> names;
    void (*set)(Settings &, std::size_t index) = nullptr;
    std::size_t (*get)(const Settings &) = nullptr;
};

using Member = std::variant<TextMember, FlagMember, CountMember, SizeMember, TimeMember, EndpointMember, EndpointsMember, Fixed, Choice>;

/** One row of the table: how a field is checked and where its value goes. */
struct TableField
{
    std::string path;
    Member member;
    bool required = false;
    std::optional<ProcessRole> onlyFor; //!< the role that uses the field, both if empty
    std::uint64_t least = 0; //!< of numbers, in the unit of the field's name; of texts 1 forbids the empty one
    std::uint64_t most = std::numeric_limits<std::uint32_t>::max();
};

/** All fields; "role" stands before those that depend on it. */
const std::vector<TableField> &settingsTable();

/** What a field may hold, for messages and the page of settings. */
std::string allowedText(const TableField &field);

/** Default as JSON text, empty for a required field. */
std::string defaultText(const TableField &field);

/** Checks a value and stores it; false if it isn't allowed. */
bool applyValue(const TableField &field, const Json::Value &value, Settings &settings);

} // namespace snipehill
