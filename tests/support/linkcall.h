#pragma once

#include <connection/endpoint.h>
#include <core/reason.h>
#include <core/time.h>

#include <json/value.h>

#include <optional>
#include <string>

namespace snipehill::support
{

/** Sends one control call over a new link, as an entry of the given name would. Blocks; empty with a reason if it failed. */
std::optional<Json::Value>
callOverLink(const std::string &caller, const Endpoint &peer, const std::string &method, const Json::Value &params, milliseconds timeout, Reason &reason);

} // namespace snipehill::support
