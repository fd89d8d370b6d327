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

/** Times of grants; the sidecar's own clock counts. */
struct GrantSettings
{
    milliseconds duration{2000};
    milliseconds orderTimeout{2000}; //!< for one call to the engine; nothing of it arrives later
    std::size_t maxRememberedOrders = 64; //!< answers kept for repeats; those of the grant in force are always kept
};

/** Permission of one holder to give orders to the engine for a short time. */
struct Grant
{
    std::uint64_t id = 0; //!< unique over all incarnations of all sidecars
    Incarnation holder;
    Offset fencingToken = noOffset;
    TimePoint expires{};
};

/** What an engine is told. */
struct EngineOrder
{
    enum class Kind {
        Role,
        Load,
    };
    std::string orderId;
    std::uint64_t grant = 0; //!< the very grant it runs under
    Kind kind = Kind::Role;
    EngineRole role = EngineRole::Mixed;
    std::string model;
    std::string modelVersion;
};

/** How far an order has come. */
enum class OrderState {
    Draining, //!< no new work, running streams go on
    Sending,
    Confirming, //!< the engine may have got it, its state is being read
    Done,
    Failed, //!< ended without effect
    Unknown, //!< ended, the engine can't be asked; nothing else is ordered until it can
};

/** "draining", "sending" and so on. */
const char *toString(OrderState state) noexcept;

/** True for Done, Failed and Unknown. */
bool isFinal(OrderState state) noexcept;

/** Answer to an order; a repeat of the order id gets the current one of the first run. */
struct OrderProgress
{
    std::string orderId;
    OrderState state = OrderState::Draining;
    std::string detail;
    std::uint64_t grant = 0; //!< that it was accepted under
    Offset fencingToken = noOffset; //!< of that grant
};

/** State of the grants for one engine, at its sidecar. Plain data; the owner locks. */
struct GrantState
{
    TimePoint grantsAllowedFrom{}; //!< grants of an earlier incarnation have lapsed by then
    bool fencingTokenKnown = false; //!< from log or peers
    bool engineStateKnown = false; //!< it told its state and was not changing
    Offset highestFencingToken = noOffset;
    std::optional<Grant> current;
    std::optional<std::string> activeOrder; //!< at most one
    std::map<std::string, OrderProgress> orders;
    std::vector<std::string> orderIdsByAge; //!< oldest first
};

/** State of a sidecar that has just started. */
GrantState initialGrantState(TimePoint now, const GrantSettings &settings);

/** Engine's answer to GET /state. */
struct EngineState
{
    EngineRole role = EngineRole::Mixed;
    bool changing = false;
    std::string model;
    std::string modelVersion;
    Offset lastFence = noOffset;
    std::string lastOrderId;
};

/** The engine told its state; counts as asked only if nothing of an earlier run can be under way and it was not changing. */
void observeEngineState(GrantState &state, const EngineState &engine, TimePoint asked) noexcept;

/** A fencing number was seen, in the log, at a peer, in a request or at the engine. */
void observeFencingToken(GrantState &state, Offset fencingToken) noexcept;

/**
 * Gives the engine to a holder. A grant in force or an order that has not ended keeps a rival waiting, but
 * its number counts from now on. The holder of the grant in force gets the same one again.
 */
std::optional<Grant>
requestGrant(GrantState &state, Incarnation holder, Offset fencingToken, std::uint64_t newId, TimePoint now, const GrantSettings &settings, Reason &reason);

/** Prolongs the grant in force; refused once it lapsed or a higher number was seen. */
std::optional<Grant> renewGrant(GrantState &state, std::uint64_t grant, TimePoint now, const GrantSettings &settings, Reason &reason);

/** The grant is the one in force. Asked again right before the order goes to the engine. */
bool isGrantValid(const GrantState &state, std::uint64_t grant, TimePoint now) noexcept;

/** Accepts an order or repeats the answer to it. */
struct OrderDecision
{
    bool run = false; //!< the caller starts the order now
    OrderProgress progress;
};
std::optional<OrderDecision> acceptOrder(GrantState &state, const EngineOrder &order, TimePoint now, const GrantSettings &settings, Reason &reason);

/** Notes how far the active order has come; a final state lets the next one in, Unknown does not. */
void updateOrder(GrantState &state, const std::string &orderId, OrderState orderState, std::string detail);

/** The engine told its state after an Unknown order: the next one may come. */
void clearUnknownOrder(GrantState &state);

} // namespace snipehill
