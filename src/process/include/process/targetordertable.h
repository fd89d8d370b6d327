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

/** A start or stop of a target, as it stands in the stream "orders" before it is sent. */
struct TargetOrder
{
    std::string orderId;
    bool start = true;
    std::string targetGroup;
    std::string failureDomain;
    std::string instance; //!< of a stop
    Offset epoch = noOffset; //!< of the lease under which it was recorded
};

/** The platform has carried an order out. */
struct TargetOrderDone
{
    std::string orderId;
    std::string failureDomain;
    std::string instance;
};

/** One record of the stream "orders". */
struct TargetOrderRecord
{
    std::optional<TargetOrder> order;
    std::optional<TargetOrderDone> done;
};

Json::Value toJson(const TargetOrder &order);
Json::Value toJson(const TargetOrderDone &done);
std::optional<TargetOrderRecord> parseTargetOrderRecord(const Json::Value &value, Reason &reason);

/** Pure fold of the stream "orders" for one failure domain. */
struct TargetOrderTable
{
    std::string failureDomain;
    Offset highestEpoch = noOffset;
    std::map<std::string, TargetOrder> pending; //!< recorded, not known to be carried out
    std::set<std::string> seenOrderIds; //!< every order id seen
};

/**
 * Applies a record. An order has effect only if its id is new and its epoch is not below one seen before, so
 * one that a former holder records late is never sent. Returns whether the record had effect.
 */
bool applyTargetOrderRecord(TargetOrderTable &table, const TargetOrderRecord &record);

} // namespace snipehill
