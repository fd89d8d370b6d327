#pragma once

#include <connection/endpoint.h>
#include <core/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace snipehill::support
{

/**
 * TCP relay between two processes that simulates network faults. Runs on a thread of its own; its functions are
 * thread-safe and take effect asynchronously.
 */
class Relay
{
public:
    /** Bytes sent in response to a request, given its head. Called on the relay's thread. */
    using Responder = std::function<std::string(const std::string &requestHead)>;

    /** What follows a response of the relay's own. */
    enum class AfterResponse {
        KeepOpen,
        Reset, //!< a reset, which may be preceded by all of the response
        EndAndReset, //!< an orderly end of what the relay sends, then a reset
    };

    explicit Relay(Endpoint target);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /** Listen address. */
    Endpoint endpoint() const;
    /** Closes all connections; new ones are relayed. */
    void dropConnections();
    /** Discards all bytes of the currently open connections and never closes them; new connections are relayed. */
    void blackholeConnections();
    /** Closes new connections at once, or relays them again. */
    void refuseConnections(bool on);
    /** Discards all bytes of current and new connections. When turned off, new connections are relayed and the old ones stay blackholed. */
    void blackhole(bool on);
    /** Delays all bytes, in both directions. */
    void setDelay(milliseconds time);
    /** Closes new connections in order after this many bytes from the server; no value: relays them whole again. */
    void cutAfter(std::optional<std::size_t> bytes);
    /** Answers the first request of each new connection itself, without reading its body; an empty function relays new connections again. */
    void respondWith(Responder responder, AfterResponse after = AfterResponse::KeepOpen);
    /** Number of connections accepted so far. */
    int accepted() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/** Value of a header field in the head of a request; empty if the head lacks it. The name is written as in the head. */
std::string headerOf(const std::string &requestHead, const std::string &name);

} // namespace snipehill::support
