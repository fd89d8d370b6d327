#pragma once

#include "httpinput.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>

namespace snipehill
{

/** Connections of a server that wait for a request. Owned by the server; thread-safe. */
class IdleConnections
{
public:
    /** Returns a number for remove(). */
    std::uint64_t add(const std::shared_ptr<HttpStream> &stream);
    void remove(std::uint64_t number);
    /** Cancels the read of each connection that is still idle when this runs on its strand. The object must exist until then. */
    void cancelReads();

private:
    bool contains(std::uint64_t number);

    std::mutex m_lock;
    std::map<std::uint64_t, std::weak_ptr<HttpStream>> m_streams;
    std::uint64_t m_next = 0;
};

/** Keeps a connection in the list of idle ones for the lifetime of this object. Used on the connection's strand. */
class IdleRegistration
{
public:
    IdleRegistration(IdleConnections &connections, const std::shared_ptr<HttpStream> &stream)
        : m_connections(connections), m_number(connections.add(stream)) { }
    ~IdleRegistration()
    {
        m_connections.remove(m_number);
    }
    IdleRegistration(const IdleRegistration &) = delete;
    IdleRegistration &operator=(const IdleRegistration &) = delete;

private:
    IdleConnections &m_connections;
    std::uint64_t m_number;
};

} // namespace snipehill
