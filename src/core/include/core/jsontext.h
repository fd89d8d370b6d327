#pragma once

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snipehill
{

/** Serializes a JSON value without whitespace. */
std::string writeJsonText(const Json::Value &value);

/**
 * Parses JSON text; empty if the text is not valid JSON, nested too deeply or has a number that is too large. Never throws.
 * Texts from outside the process are parsed by this function only.
 */
std::optional<Json::Value> parseJsonText(std::string_view text);

/**
 * Like parseJsonText(), for a text whose parts come from several writers: values that are nested too deeply and numbers that
 * are too large are read as null, so that one of them doesn't make the others unreadable.
 */
std::optional<Json::Value> parseJsonParts(std::string_view text);

/** Value of a string; empty if the value is of another type. */
std::string stringOf(const Json::Value &value);

/** Value of a whole number; 0 if the value is of another type or out of range. */
std::int64_t intOf(const Json::Value &value);

/** Value of a whole number that is not negative; 0 if the value is of another type or out of range. */
std::uint64_t unsignedOf(const Json::Value &value);

} // namespace snipehill
