#pragma once

#include <core/ids.h>
#include <core/reason.h>

#include <json/value.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace snipehill
{

/** Order to start or stop a target. Recorded in the stream "orders" before it is sent to the platform. */
struct TargetOrder
{
    std::string orderId;
    bool start = true;
    std::string targetGroup;
    std::string failureDomain;
    std::string instance; //!< target to stop; empty for a start
    Offset epoch = noOffset; //!< fencing token of the lease under which the order was recorded
};

/** Completion of an order by the platform. */
struct TargetOrderDone
{
    std::string orderId;
    std::string failureDomain;
    std::string instance;
};

/** A record of the stream "orders": either an order or its completion. */
struct TargetOrderRecord
{
    std::optional<TargetOrder> order;
    std::optional<TargetOrderDone> done;
};

Json::Value toJson(const TargetOrder &order);
Json::Value toJson(const TargetOrderDone &done);
std::optional<TargetOrderRecord> parseTargetOrderRecord(const Json::Value &value, Reason &reason);

/** Orders of one failure domain, built by applying the stream "orders" in order. */
struct TargetOrderTable
{
    std::string failureDomain;
    Offset highestEpoch = noOffset;
    std::map<std::string, TargetOrder> pending; //!< by order id: recorded, completion not known
    std::set<std::string> seenOrderIds; //!< all order ids read so far
};

/**
 * Applies a record and returns whether it had effect. An order has effect only if its id is new and its epoch is not
 * lower than the highest one seen, so an order that a former lease holder records late is never sent.
 */
bool applyTargetOrderRecord(TargetOrderTable &table, const TargetOrderRecord &record);

} // namespace snipehill
