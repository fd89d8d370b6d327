#pragma once

#include <process/settings.h>

#include <boost/asio/io_context.hpp>

#include <memory>

namespace snipehill
{

/**
 * The entry role: takes callers' requests, chooses a sidecar for each and passes the answer on.
 *
 * Wiring: construct, start(), run the io_context by several threads. drain() begins the orderly end; its
 * callback runs once the last answer has gone out or the drain bound has passed.
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
    /** Answers under way, which a second signal to end would cut. */
    std::size_t active() const;

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace snipehill
