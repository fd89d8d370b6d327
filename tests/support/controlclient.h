#pragma once

#include <connection/endpoint.h>

#include <json/value.h>

#include <optional>
#include <string>

namespace snipehill::support
{

/** Sends one control call over a new link, as another process would. Blocks; empty if it was refused or got no response. */
std::optional<Json::Value> callControl(const Endpoint &link, const std::string &method, const Json::Value &params);

} // namespace snipehill::support
