#pragma once

#include <process/engineordermachine.h>

#include <json/value.h>

#include <optional>

namespace snipehill
{

/** Parameters of the method grant.request. */
struct GrantRequest
{
    Incarnation holder;
    Offset fencingToken = noOffset;
};

std::optional<GrantRequest> parseGrantRequest(const Json::Value &params, Reason &reason);

/** Parameters of the method order.run. */
std::optional<EngineOrder> parseEngineOrder(const Json::Value &params, Reason &reason);

/** Parses the engine's response to GET /state. */
std::optional<EngineState> parseEngineState(const std::string &text, Reason &reason);

/** Response to grant.request and grant.renew: {"grant", "validMs"}. */
Json::Value toJson(const Grant &grant, TimePoint now);

/** Response to order.run and order.state: {"orderId", "state", "final", "detail"}. */
Json::Value toJson(const OrderProgress &progress);

/** JSON body of POST /orders to the engine. */
std::string engineOrderBody(const EngineOrder &order, Offset fencingToken);

} // namespace snipehill
