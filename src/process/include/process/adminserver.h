#pragma once

#include <connection/httpserver.h>
#include <core/reason.h>
#include <process/metrics.h>
#include <process/settings.h>

#include <boost/asio/any_io_executor.hpp>
#include <json/value.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace snipehill
{

/** Produces one section of /status. Runs on an I/O thread: must be thread-safe and must not block. */
using StatusSection = std::function<Json::Value()>;

/** Returns why the process can't serve, or nothing if it can. Same requirements as for StatusSection. */
using ReadinessCheck = std::function<std::optional<std::string>()>;

/**
 * HTTP server for operators and their tools.
 *
 * /livez returns 200 while the process runs; /readyz returns 200, or 503 with the reasons; /status returns JSON with the
 * instance name, the role and all status sections; /metrics returns the Prometheus text format. All paths are read-only.
 * Sections and checks must be added before start(). Must not be destroyed while the executor runs.
 */
class AdminServer
{
public:
    AdminServer(boost::asio::any_io_executor executor, const Settings &settings, Metrics &metrics);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /** Adds a section to /status under the given name, for example "config". */
    void addStatusSection(const std::string &name, StatusSection section);
    void addReadiness(ReadinessCheck check);
    /** Starts to listen on the address from the settings; false with a reason if that fails. */
    bool start(Reason &reason);
    /** Port that the server listens on. */
    std::uint16_t port() const noexcept;
    void stop();

    struct State;

private:
    std::shared_ptr<State> m_state;
    HttpServer m_server;
};

/** Body of /status. */
Json::Value adminStatus(const AdminServer::State &state);

} // namespace snipehill
