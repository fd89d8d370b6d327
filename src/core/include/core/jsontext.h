#pragma once

#include <json/value.h>

#include <optional>
#include <string>

namespace snipehill
{

/** Serializes a JSON value without whitespace. */
std::string writeJsonText(const Json::Value &value);

/** Parses JSON text; empty if the text is not valid JSON. */
std::optional<Json::Value> parseJsonText(const std::string &text);

} // namespace snipehill
