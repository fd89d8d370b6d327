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

/** One piece of /status. Runs on an I/O thread: must be thread-safe and must not block. */
using StatusSection = std::function<Json::Value()>;

/** Why the process can't serve yet or any more, empty when it can. Runs like a status piece. */
using ReadinessCheck = std::function<std::optional<std::string>()>;

/**
 * HTTP server for operators and their tools.
 *
 * /livez answers 200 while the process runs; /readyz 200, or 503 with the reasons; /status is JSON with
 * the process's name and role and all pieces; /metrics is in the Prometheus text format. There is nothing that
 * changes the process. Pieces and checks are added before start(). Must outlive the executor's run.
 */
class AdminServer
{
public:
    AdminServer(boost::asio::any_io_executor executor, const Settings &settings, Metrics &metrics);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /** The piece stands in /status under the name, for example "config". */
    void addStatusSection(const std::string &name, StatusSection piece);
    void addReadiness(ReadinessCheck check);
    /** Listens where the settings say. */
    bool start(Reason &reason);
    /** Port bound. */
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
