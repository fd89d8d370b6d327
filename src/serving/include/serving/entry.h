#pragma once

#include <process/settings.h>

#include <boost/asio/io_context.hpp>

#include <memory>

namespace snipehill
{

/**
 * The entry role: accepts callers' requests, chooses a sidecar for each and forwards the response.
 *
 * Usage: construct, call start(), then run the io_context on several threads. drain() starts a graceful shutdown;
 * its callback runs once the last response has been sent or the drain timeout has passed.
 */
class Entry
{
public:
    Entry(boost::asio::io_context &context, const Settings &settings);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    bool start(Reason &reason);
    void drain(std::function<void()> done);
    /** Number of responses in flight, which a second termination signal would cut off. */
    std::size_t active() const;

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace snipehill
