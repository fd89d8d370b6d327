#include <process/adminserver.h>

#include <boost/beast/http/verb.hpp>
#include <json/writer.h>

#include <map>
#include <vector>

namespace snipehill
{

struct AdminServer::State
{
    std::string instance;
    ProcessRole role;
    Endpoint listen;
    Metrics &metrics;
    std::map<std::string, StatusSection> sections;
    std::vector<ReadinessCheck> checks;
};

namespace
{

namespace http = boost::beast::http;

constexpr HttpServerLimits adminLimits{.headerBytes = 8192, .bodyBytes = 1024, .headerCount = 50};

struct AdminResponse
{
    unsigned status = 200;
    const char *type = "text/plain; charset=utf-8";
    std::string body;
};

std::vector<std::string> notReadyReasons(const AdminServer::State &state)
{
    std::vector<std::string> reasons;
    for (const ReadinessCheck &check : state.checks) {
        if (const auto problem = check()) {
            reasons.push_back(*problem);
        }
    }
    return reasons;
}

AdminResponse readiness(const AdminServer::State &state)
{
    AdminResponse response;
    for (const std::string &problem : notReadyReasons(state)) {
        response.status = 503;
        response.body += problem + "\n";
    }
    if (response.body.empty()) {
        response.body = "ready\n";
    }
    return response;
}

AdminResponse statusResponse(const AdminServer::State &state)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "  ";
    return {200, "application/json", Json::writeString(writer, adminStatus(state)) + "\n"};
}

AdminResponse responseFor(const AdminServer::State &state, std::string_view path)
{
    if (path == "/livez") {
        return {200, "text/plain; charset=utf-8", "alive\n"};
    }
    if (path == "/readyz") {
        return readiness(state);
    }
    if (path == "/status") {
        return statusResponse(state);
    }
    if (path == "/metrics") {
        return {200, "text/plain; version=0.0.4; charset=utf-8", state.metrics.text()};
    }
    return {404, "text/plain; charset=utf-8", "known paths: /livez /readyz /status /metrics\n"};
}

boost::asio::awaitable<void> handle(std::shared_ptr<AdminServer::State> state, HttpExchange &exchange)
{
    const auto &request = exchange.request();
    AdminResponse response{405, "text/plain; charset=utf-8", "only GET\n"};
    if (request.method() == http::verb::get) {
        const std::string target(request.target());
        response = responseFor(*state, std::string_view(target).substr(0, target.find('?')));
    }
    HeaderList headers;
    headers.emplace_back("Content-Type", response.type);
    co_await exchange.respond(response.status, std::move(headers), std::move(response.body));
}

HttpHandler handlerFor(const std::shared_ptr<AdminServer::State> &state)
{
    return [state](HttpExchange &exchange) {
        return handle(state, exchange);
    };
}

} // namespace

AdminServer::AdminServer(boost::asio::any_io_executor executor, const Settings &settings, Metrics &metrics)
    : m_state(std::make_shared<State>(State{settings.instance, settings.role, settings.admin.listen, metrics, {}, {}}))
    , m_server(std::move(executor), adminLimits, handlerFor(m_state))
{
}

AdminServer::~AdminServer() = default;

void AdminServer::addStatusSection(const std::string &name, StatusSection section)
{
    m_state->sections[name] = std::move(section);
}

void AdminServer::addReadiness(ReadinessCheck check)
{
    m_state->checks.push_back(std::move(check));
}

bool AdminServer::start(Reason &reason)
{
    return m_server.start(m_state->listen, reason);
}

std::uint16_t AdminServer::port() const noexcept
{
    return m_server.port();
}

void AdminServer::stop()
{
    m_server.stopAccepting();
}

Json::Value adminStatus(const AdminServer::State &state)
{
    Json::Value status;
    status["instance"] = state.instance;
    status["role"] = toString(state.role);
    const auto reasons = notReadyReasons(state);
    status["ready"] = reasons.empty();
    status["notReady"] = Json::Value(Json::arrayValue);
    for (const std::string &problem : reasons) {
        status["notReady"].append(problem);
    }
    for (const auto &[name, section] : state.sections) {
        status[name] = section();
    }
    return status;
}

} // namespace snipehill
