#pragma once

#include <connection/endpoint.h>
#include <core/reason.h>
#include <core/time.h>

#include <json/value.h>

#include <optional>
#include <string>

namespace snipehill::support
{

/** A control call over a link of its own, as an entry of the given name would make it. Blocks. */
std::optional<Json::Value>
callOverLink(const std::string &caller, const Endpoint &peer, const std::string &method, const Json::Value &params, milliseconds timeout, Reason &reason);

} // namespace snipehill::support
