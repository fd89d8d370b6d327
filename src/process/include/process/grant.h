#pragma once

#include <core/ids.h>
#include <core/loadreport.h>
#include <core/reason.h>
#include <core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipehill
{

/** Durations for grants, measured on the sidecar's own clock. */
struct GrantSettings
{
    milliseconds duration{2000};
    milliseconds orderTimeout{2000}; //!< of one call to the engine; no data of the call arrives after it
    std::size_t maxRememberedOrders = 64; //!< order results kept to answer repeated orders; those of the current grant are always kept
};

/** Short-lived permission for one lease holder to send orders to the engine. */
struct Grant
{
    std::uint64_t id = 0; //!< unique across all incarnations of all sidecars
    Incarnation holder;
    Offset fencingToken = noOffset;
    TimePoint expires{};
};

/** An order to an engine: change its role or load a model. */
struct EngineOrder
{
    enum class Kind {
        Role,
        Load,
    };
    std::string orderId;
    std::uint64_t grant = 0; //!< id of the grant that the order runs under
    Kind kind = Kind::Role;
    EngineRole role = EngineRole::Mixed;
    std::string model;
    std::string modelVersion;
};

/** Progress of an engine order. */
enum class OrderState {
    Draining, //!< new requests are refused, running streams continue
    Sending,
    Confirming, //!< the engine may have received the order; its state is polled
    Done,
    Failed, //!< ended without taking effect
    Unknown, //!< ended, but the engine's state can't be read; no other order is accepted until it can
};

/** Name used in responses and logs, such as "draining". */
const char *toString(OrderState state) noexcept;

/** True for Done, Failed and Unknown. */
bool isFinal(OrderState state) noexcept;

/** Response to an order. A repeated order id gets the current progress of the first run. */
struct OrderProgress
{
    std::string orderId;
    OrderState state = OrderState::Draining;
    std::string detail;
    std::uint64_t grant = 0; //!< id of the grant under which the order was accepted
    Offset fencingToken = noOffset; //!< fencing token of that grant
};

/** Grants and orders of one engine, kept by its sidecar. Plain data; the owner synchronizes access. */
struct GrantState
{
    TimePoint grantsAllowedFrom{}; //!< no grant of an earlier incarnation is valid from then on
    bool fencingTokenKnown = false; //!< the highest fencing token was learned from the log or a peer
    bool engineStateKnown = false; //!< the engine reported its state and was not in a change
    Offset highestFencingToken = noOffset;
    std::optional<Grant> current;
    std::optional<std::string> activeOrder; //!< id of the only order that may be running
    std::map<std::string, OrderProgress> orders;
    std::vector<std::string> orderIdsByAge; //!< oldest first
};

/** State of a sidecar that has just started. */
GrantState initialGrantState(TimePoint now, const GrantSettings &settings);

/** State of an engine as its GET /state reports it. */
struct EngineState
{
    EngineRole role = EngineRole::Mixed;
    bool changing = false;
    std::string model;
    std::string modelVersion;
    Offset lastFence = noOffset;
    std::string lastOrderId;
};

/**
 * Takes in a state that the engine reported in response to a query sent at the given time. Sets engineStateKnown only
 * if no order of an earlier incarnation can still be in flight and the engine was not in a change.
 */
void observeEngineState(GrantState &state, const EngineState &engine, TimePoint queriedAt) noexcept;

/** Takes in a fencing token that was seen in the log, at a peer, in a request or at the engine. */
void observeFencingToken(GrantState &state, Offset fencingToken) noexcept;

/**
 * Grants a lease holder access to the engine. Refused while another holder's grant is valid or an order has not ended,
 * but the fencing token of the refused request still counts from now on. The holder of the valid grant gets the same
 * grant again, extended.
 */
std::optional<Grant>
requestGrant(GrantState &state, Incarnation holder, Offset fencingToken, std::uint64_t newId, TimePoint now, const GrantSettings &settings, Reason &reason);

/** Extends the current grant; refused once it has expired or a higher fencing token was seen. */
std::optional<Grant> renewGrant(GrantState &state, std::uint64_t grant, TimePoint now, const GrantSettings &settings, Reason &reason);

/** True if the grant is the current one and has not expired. Checked again right before an order is sent to the engine. */
bool isGrantValid(const GrantState &state, std::uint64_t grant, TimePoint now) noexcept;

/** Result of accepting an order. */
struct OrderDecision
{
    bool run = false; //!< new order, to be started by the caller; false for a repeat
    OrderProgress progress;
};
/** Accepts an order under its grant, or returns the progress of the first run if the order id is already known. */
std::optional<OrderDecision> acceptOrder(GrantState &state, const EngineOrder &order, TimePoint now, const GrantSettings &settings, Reason &reason);

/** Stores the progress of an order. Done and Failed allow the next order; Unknown does not. */
void updateOrder(GrantState &state, const std::string &orderId, OrderState orderState, std::string detail);

/** Allows the next order after one that ended as Unknown; called once the engine has reported its state. */
void clearUnknownOrder(GrantState &state);

} // namespace snipehill
