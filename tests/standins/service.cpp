#include "standin.h"

#include <unistd.h>

#include <map>

namespace snipehill::standins
{

namespace asio = boost::asio;

namespace
{

constexpr int crashStatus = 70;

/**
 * Plain service that accepts any method and path and counts how often each request ran. Faults: beforeMs (delay before
 * the request runs), lateMs (delay of the response), cutAnswers (the next N requests run, then the connection closes
 * without a response), extraAnswer (the next N responses are followed by one that belongs to no request and has no id), echoIds (responses carry
 * the id of their request), foreignAnswers (the next N responses are those of no request, without id); a request may also set both delays in its query. A body with DIE-BEFORE or DIE-AFTER ends the
 * process before or after the request runs; a request with CUT-ME in its body runs and gets no response.
 */
class Service : public StandIn
{
public:
    using StandIn::StandIn;

    asio::awaitable<void> handle(HttpExchange &exchange) override
    {
        const auto &request = exchange.request();
        const Target target = splitTarget(std::string(request.target()));
        Json::Value entry;
        entry["method"] = std::string(request.method_string());
        entry["path"] = target.path;
        entry["requestId"] = header(exchange, "X-Request-Id");
        entry["idempotencyKey"] = header(exchange, "Idempotency-Key");
        entry["headers"] = headersOf(exchange);
        entry["body"] = request.body();
        journal.add("received", entry);
        co_await pause(milliseconds(queryNumber(target, "beforeMs", faults.number("", "beforeMs", 0))));
        if (contains(request.body(), "DIE-BEFORE")) {
            _exit(crashStatus);
        }
        entry["runs"] = ++m_runs[entry["idempotencyKey"].asString().empty() ? entry["requestId"].asString() : entry["idempotencyKey"].asString()];
        journal.add("run", entry);
        if (contains(request.body(), "DIE-AFTER")) {
            _exit(crashStatus);
        }
        co_await pause(milliseconds(queryNumber(target, "lateMs", faults.number("", "lateMs", 0))));
        if (contains(request.body(), "CUT-ME") || faults.consume("", "cutAnswers")) {
            exchange.abort();
            co_return;
        }
        Json::Value response;
        response["method"] = entry["method"];
        response["path"] = std::string(request.target());
        response["echo"] = request.body();
        response["runs"] = entry["runs"];
        HeaderList headers{{"Content-Type", "application/json"}};
        if (faults.consume("", "foreignAnswers")) {
            response = Json::Value(Json::objectValue);
            response["echo"] = "other";
        } else if (faults.flag("", "echoIds")) {
            headers.emplace_back("X-Request-Id", entry["requestId"].asString());
        }
        co_await exchange.respond(200, std::move(headers), writeJson(response));
        if (faults.consume("", "extraAnswer")) {
            co_await exchange.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 16\r\n\r\n{\"echo\":\"other\"}");
        }
        entry.removeMember("body");
        entry.removeMember("headers");
        journal.add("answered", std::move(entry));
    }

private:
    static bool contains(const std::string &text, const char *mark)
    {
        return text.find(mark) != std::string::npos;
    }

    std::map<std::string, int> m_runs; //!< by Idempotency-Key, or X-Request-Id without one
};

} // namespace

std::unique_ptr<StandIn> makeService(std::string name, std::string journalFile)
{
    return std::make_unique<Service>(std::move(name), std::move(journalFile));
}

} // namespace snipehill::standins
