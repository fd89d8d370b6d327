#pragma once

#include "idleconnections.h"
#include "listener.h"

#include <connection/httpserver.h>

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace snipehill
{

/** State of a server, shared with the coroutines of its connections, which may outlive the server. */
struct HttpServer::State
{
    HttpServerLimits currentLimits()
    {
        const std::lock_guard lock(limitsLock);
        return limits;
    }

    /** Tells the observer of a request that was rejected before it was received completely. */
    void recordRejected(unsigned status, std::string_view error, const std::string &client) const
    {
        if (observer.onRejected) {
            observer.onRejected(status, error, client);
        }
    }

    boost::asio::any_io_executor executor;
    std::mutex limitsLock;
    HttpServerLimits limits;
    HttpHandler handler;
    HttpServerObserver observer;
    AcceptorPointer acceptor;
    std::uint16_t port = 0;
    std::atomic<bool> closing{false};
    std::atomic<bool> stopped{false};
    std::atomic<std::size_t> active{0};
    std::atomic<std::size_t> open{0}; //!< connections, and the listener while it accepts
    IdleConnections idle;
};

} // namespace snipehill
