#include "standin.h"

#include <map>
#include <vector>

namespace snipehill::standins
{

namespace asio = boost::asio;

namespace
{

struct ListVersion
{
    TimePoint since;
    Json::Value list;
};

/**
 * Instance list, target interface and usage interface of the platform. Scopes of faults: "instances", "targets", "usage".
 * Faults: outage (503), cut (closes the connection), slowMs (delay before a call takes effect), lateMs (delay after it),
 * answerLost (the next N calls take effect without a response), instances.lagMs (the instance list is this old).
 * POST /instances on the control port sets the list.
 */
class Platform : public StandIn
{
public:
    using StandIn::StandIn;

    asio::awaitable<void> handle(HttpExchange &exchange) override
    {
        const Target target = splitTarget(std::string(exchange.request().target()));
        const std::string scope = target.path.substr(1, target.path.find('/', 1) - 1);
        co_await pause(faults.delay(scope, "slowMs"));
        if (faults.flag(scope, "cut")) {
            exchange.abort();
            co_return;
        }
        if (faults.flag(scope, "outage")) {
            co_await respondJson(exchange, 503, Json::Value(Json::objectValue));
            co_return;
        }
        const auto body = parseJson(exchange.request().body());
        std::optional<Json::Value> response;
        if (target.path == "/instances") {
            response = instances();
        } else if (body && body->isObject()) {
            response = handleCall(target.path, *body);
        }
        if (!response) {
            co_await respondJson(exchange, 404, Json::Value(Json::objectValue));
            co_return;
        }
        co_await pause(faults.delay(scope, "lateMs"));
        if (faults.consume(scope, "answerLost")) {
            exchange.abort();
            co_return;
        }
        co_await respondJson(exchange, 200, std::move(*response));
    }

    bool control(const std::string &path, const Json::Value &body) override
    {
        if (path != "/instances") {
            return false;
        }
        m_versions.push_back({Clock::now(), body});
        return true;
    }

private:
    Json::Value instances() const
    {
        const TimePoint asOf = Clock::now() - faults.delay("instances", "lagMs");
        Json::Value list;
        list["instances"] = Json::Value(Json::arrayValue);
        for (const ListVersion &version : m_versions) {
            if (version.since <= asOf) {
                list = version.list;
            }
        }
        return list;
    }

    std::optional<Json::Value> handleCall(const std::string &path, const Json::Value &body)
    {
        if (path == "/targets/start") {
            journal.add("target-start", body);
            std::string &instance = m_started[body["orderId"].asString()];
            if (instance.empty()) {
                instance = "started-" + std::to_string(m_started.size());
            }
            Json::Value response;
            response["instance"] = instance;
            return response;
        }
        if (path == "/targets/stop") {
            journal.add("target-stop", body);
            return Json::Value(Json::objectValue);
        }
        if (path == "/usage") {
            journal.add("usage", body);
            return Json::Value(Json::objectValue);
        }
        return std::nullopt;
    }

    std::vector<ListVersion> m_versions;
    std::map<std::string, std::string> m_started; //!< order id to instance
};

} // namespace

std::unique_ptr<StandIn> makePlatform(std::string name, std::string journalFile)
{
    return std::make_unique<Platform>(std::move(name), std::move(journalFile));
}

} // namespace snipehill::standins
