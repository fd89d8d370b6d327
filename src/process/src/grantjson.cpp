#include "grantjson.h"

#include <core/jsontext.h>
#include <json/writer.h>

#include <algorithm>
#include <array>

namespace snipehill
{

namespace
{

std::optional<EngineRole> parseRole(const std::string &name)
{
    for (const EngineRole role : std::array{EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode}) {
        if (name == toString(role)) {
            return role;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<GrantRequest> parseGrantRequest(const Json::Value &params, Reason &reason)
{
    if (!params.isObject() || !params["instance"].isString() || !params["incarnation"].isUInt64() || !params["fence"].isInt64()) {
        reason = {Step::Grant, "", "grant request lacks a field"};
        return std::nullopt;
    }
    return GrantRequest{{params["instance"].asString(), params["incarnation"].asUInt64()}, params["fence"].asInt64()};
}

std::optional<EngineOrder> parseEngineOrder(const Json::Value &params, Reason &reason)
{
    reason = {Step::Order, "", "order lacks a field"};
    if (!params.isObject() || !params["orderId"].isString() || !params["grant"].isUInt64() || !params["kind"].isString()) {
        return std::nullopt;
    }
    EngineOrder order;
    order.orderId = params["orderId"].asString();
    order.grant = params["grant"].asUInt64();
    if (params["kind"].asString() == "role" && params["role"].isString()) {
        const auto role = parseRole(params["role"].asString());
        if (!role) {
            return std::nullopt;
        }
        order.role = *role;
        return order;
    }
    if (params["kind"].asString() == "load" && params["model"].isString() && params["modelVersion"].isString()) {
        order.kind = EngineOrder::Kind::Load;
        order.model = params["model"].asString();
        order.modelVersion = params["modelVersion"].asString();
        return order;
    }
    return std::nullopt;
}

std::optional<EngineState> parseEngineState(const std::string &text, Reason &reason)
{
    const auto parsedText = parseJsonText(text);
    const bool parsed = parsedText && parsedText->isObject();
    const Json::Value value = parsed ? *parsedText : Json::Value(Json::objectValue);
    const auto role = parsed && value["role"].isString() ? parseRole(value["role"].asString()) : std::nullopt;
    if (!role || !value["changing"].isBool()) {
        reason = {Step::Order, "", "the engine's state lacks a field"};
        return std::nullopt;
    }
    EngineState state;
    state.role = *role;
    state.changing = value["changing"].asBool();
    if (value["model"].isString()) {
        state.model = value["model"].asString();
    }
    if (value["modelVersion"].isString()) {
        state.modelVersion = value["modelVersion"].asString();
    }
    if (value["lastFence"].isInt64()) {
        state.lastFence = value["lastFence"].asInt64();
    }
    if (value["lastOrderId"].isString()) {
        state.lastOrderId = value["lastOrderId"].asString();
    }
    return state;
}

Json::Value toJson(const Grant &grant, TimePoint now)
{
    const auto valid = std::chrono::duration_cast<milliseconds>(grant.expires - now);
    Json::Value value;
    value["grant"] = Json::UInt64(grant.id);
    value["validMs"] = Json::Int64(std::max(valid, milliseconds(0)).count());
    return value;
}

Json::Value toJson(const OrderProgress &progress)
{
    Json::Value value;
    value["orderId"] = progress.orderId;
    value["state"] = toString(progress.state);
    value["final"] = isFinal(progress.state);
    value["detail"] = progress.detail;
    return value;
}

std::string engineOrderBody(const EngineOrder &order, Offset fencingToken)
{
    Json::Value body;
    body["orderId"] = order.orderId;
    body["fence"] = Json::Int64(fencingToken);
    if (order.kind == EngineOrder::Kind::Role) {
        body["kind"] = "role";
        body["role"] = toString(order.role);
    } else {
        body["kind"] = "load";
        body["model"] = order.model;
        body["modelVersion"] = order.modelVersion;
    }
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, body);
}

} // namespace snipehill
