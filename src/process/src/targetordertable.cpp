#include <process/targetordertable.h>

namespace snipehill
{

Json::Value toJson(const TargetOrder &order)
{
    Json::Value value;
    value["kind"] = order.start ? "start" : "stop";
    value["orderId"] = order.orderId;
    value["targetGroup"] = order.targetGroup;
    value["failureDomain"] = order.failureDomain;
    value["instance"] = order.instance;
    value["epoch"] = Json::Int64(order.epoch);
    return value;
}

Json::Value toJson(const TargetOrderDone &done)
{
    Json::Value value;
    value["kind"] = "done";
    value["orderId"] = done.orderId;
    value["failureDomain"] = done.failureDomain;
    value["instance"] = done.instance;
    return value;
}

namespace
{

std::optional<TargetOrder> parseOrder(const Json::Value &value)
{
    if (!value["targetGroup"].isString() || !value["epoch"].isInt64()) {
        return std::nullopt;
    }
    TargetOrder order;
    order.orderId = value["orderId"].asString();
    order.start = value["kind"].asString() == "start";
    order.targetGroup = value["targetGroup"].asString();
    order.failureDomain = value["failureDomain"].asString();
    order.instance = value["instance"].asString();
    order.epoch = value["epoch"].asInt64();
    return order;
}

} // namespace

std::optional<TargetOrderRecord> parseTargetOrderRecord(const Json::Value &value, Reason &reason)
{
    reason = {Step::Order, "", "order record lacks a field"};
    for (const char *field : {"kind", "orderId", "failureDomain", "instance"}) {
        if (!value.isObject() || !value[field].isString()) {
            return std::nullopt;
        }
    }
    const std::string kind = value["kind"].asString();
    TargetOrderRecord record;
    if (kind == "start" || kind == "stop") {
        record.order = parseOrder(value);
    } else if (kind == "done") {
        record.done = TargetOrderDone{value["orderId"].asString(), value["failureDomain"].asString(), value["instance"].asString()};
    }
    if (!record.order && !record.done) {
        return std::nullopt;
    }
    return record;
}

bool applyTargetOrderRecord(TargetOrderTable &table, const TargetOrderRecord &record)
{
    if (record.done) {
        return table.pending.erase(record.done->orderId) > 0;
    }
    if (!record.order || record.order->failureDomain != table.failureDomain || record.order->epoch < table.highestEpoch) {
        return false;
    }
    if (!table.seenOrderIds.insert(record.order->orderId).second) {
        return false;
    }
    table.highestEpoch = record.order->epoch;
    table.pending[record.order->orderId] = *record.order;
    return true;
}

} // namespace snipehill
