#pragma once

#include <connection/endpoint.h>
#include <core/time.h>

#include <cstdint>
#include <memory>

namespace snipehill::support
{

/**
 * TCP relay between two processes that can break as networks do. Runs a thread of its own; functions are
 * thread-safe.
 */
class Relay
{
public:
    explicit Relay(Endpoint target);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /** Where it listens. */
    Endpoint endpoint() const;
    /** Closes all connections; new ones are relayed. */
    void dropConnections();
    /** Connections open now swallow all bytes from here on and never close; new ones are relayed. */
    void blackholeConnections();
    /** New connections are closed at once, or relayed again. */
    void refuseConnections(bool on);
    /** All connections, old and new ones, swallow all bytes; after the cut old ones stay silent. */
    void blackhole(bool on);
    /** Holds bytes back for a time, in both directions. */
    void setDelay(milliseconds time);
    /** Connections relayed so far. */
    int accepted() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace snipehill::support
