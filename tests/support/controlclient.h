#pragma once

#include <connection/endpoint.h>

#include <json/value.h>

#include <optional>
#include <string>

namespace snipehill::support
{

/** One control call over a link of its own, as another process would make it; blocks. Empty: refused or no answer. */
std::optional<Json::Value> callControl(const Endpoint &link, const std::string &method, const Json::Value &params);

} // namespace snipehill::support
