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
    std::map<std::string, StatusSection> pieces;
    std::vector<ReadinessCheck> checks;
};

namespace
{

namespace http = boost::beast::http;

constexpr HttpServerLimits adminLimits{.headerBytes = 8192, .bodyBytes = 1024, .headerCount = 50};

struct Answer
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

Answer readiness(const AdminServer::State &state)
{
    Answer answer;
    for (const std::string &problem : notReadyReasons(state)) {
        answer.status = 503;
        answer.body += problem + "\n";
    }
    if (answer.body.empty()) {
        answer.body = "ready\n";
    }
    return answer;
}

Answer statusAnswer(const AdminServer::State &state)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "  ";
    return {200, "application/json", Json::writeString(writer, adminStatus(state)) + "\n"};
}

Answer answerFor(const AdminServer::State &state, std::string_view path)
{
    if (path == "/livez") {
        return {200, "text/plain; charset=utf-8", "alive\n"};
    }
    if (path == "/readyz") {
        return readiness(state);
    }
    if (path == "/status") {
        return statusAnswer(state);
    }
    if (path == "/metrics") {
        return {200, "text/plain; version=0.0.4; charset=utf-8", state.metrics.text()};
    }
    return {404, "text/plain; charset=utf-8", "known paths: /livez /readyz /status /metrics\n"};
}

boost::asio::awaitable<void> handle(std::shared_ptr<AdminServer::State> state, HttpExchange &exchange)
{
    const auto &request = exchange.request();
    Answer answer{405, "text/plain; charset=utf-8", "only GET\n"};
    if (request.method() == http::verb::get) {
        const std::string target(request.target());
        answer = answerFor(*state, std::string_view(target).substr(0, target.find('?')));
    }
    HeaderList headers;
    headers.emplace_back("Content-Type", answer.type);
    co_await exchange.respond(answer.status, std::move(headers), std::move(answer.body));
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

void AdminServer::addStatusSection(const std::string &name, StatusSection piece)
{
    m_state->pieces[name] = std::move(piece);
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
    for (const auto &[name, piece] : state.pieces) {
        status[name] = piece();
    }
    return status;
}

} // namespace snipehill
