#pragma once

#include <process/settings.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace snipehill
{

/**
 * The sidecar role: the only process that sends requests to its target. Queues and runs attempts, and keeps the
 * frames of each response until the entry has acknowledged them.
 *
 * Usage as for Entry: construct, call start(), run the io_context on several threads, call drain() to shut down.
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
    /** Number of attempts not yet answered or acknowledged, which a second termination signal would cut off. */
    std::size_t active() const;

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace snipehill
