#pragma once

#include <process/settings.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace snipehill
{

/**
 * The sidecar role: the only sender to one target. Queues, runs and answers attempts, and keeps answers until
 * their entry has them.
 *
 * Wiring as for Entry: construct, start(), run the io_context by several threads, drain() to end.
 */
class Sidecar
{
public:
    Sidecar(boost::asio::io_context &context, const Settings &settings);
    ~Sidecar();
    Sidecar(const Sidecar &) = delete;
    Sidecar &operator=(const Sidecar &) = delete;

    bool start(Reason &reason);
    void drain(std::function<void()> done);
    /** Attempts not yet answered or acknowledged, which a second signal to end would cut. */
    std::size_t active() const;

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace snipehill
