#pragma once

#include <json/value.h>

#include <optional>
#include <string>

namespace snipehill
{

/** A JSON value as text without white space. */
std::string writeJsonText(const Json::Value &value);

/** Empty when the text is no JSON. */
std::optional<Json::Value> parseJsonText(const std::string &text);

} // namespace snipehill
