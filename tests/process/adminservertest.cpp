#include <process/adminserver.h>

#include <connection/httpclient.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <json/reader.h>

#include <sstream>

using namespace snipehill;

namespace
{

namespace asio = boost::asio;

struct Response
{
    unsigned status = 0;
    std::string body;
};

asio::awaitable<void> fetch(asio::io_context &context, HttpCall call, Response &received)
{
    Reason reason;
    const auto response = co_await httpCall(std::move(call), reason);
    if (response) {
        received = {response->result_int(), response->body()};
    }
    context.stop();
}

/** Sends one request to an admin server that runs on the same context. */
Response
sendRequest(asio::io_context &context, const Endpoint &peer, const std::string &target, boost::beast::http::verb method = boost::beast::http::verb::get)
{
    Response received;
    HttpCall call{.peer = peer, .method = method};
    call.target = target;
    asio::co_spawn(context, fetch(context, std::move(call), received), asio::detached);
    context.restart();
    context.run();
    return received;
}

} // namespace

TEST_CASE("the admin port serves liveness, readiness, status and metrics", "[admin]")
{
    asio::io_context context;
    Settings settings;
    settings.instance = "entry-1";
    settings.admin.listen = {"127.0.0.1", 0};
    Metrics metrics;
    metrics.set(Gauge::ConfigVersion, {}, 7);
    bool ready = false;
    AdminServer server(context.get_executor(), settings, metrics);
    server.addReadiness([&ready]() -> std::optional<std::string> {
        return ready ? std::nullopt : std::optional<std::string>("no configuration yet");
    });
    server.addStatusSection("config", [] {
        Json::Value section;
        section["offset"] = 7;
        return section;
    });
    Reason reason;
    REQUIRE(server.start(reason));
    const Endpoint peer{"127.0.0.1", server.port()};
    struct Case
    {
        const char *target;
        bool ready;
        unsigned status;
        const char *body;
    };
    for (const Case &c : {
             Case{"/livez", false, 200, "alive"},
             {"/readyz", false, 503, "no configuration yet"},
             {"/readyz", true, 200, "ready"},
             {"/readyz?verbose", true, 200, "ready"},
             {"/metrics", true, 200, "snipehill_config_version 7"},
             {"/else", true, 404, "/livez"},
         }) {
        ready = c.ready;
        const Response received = sendRequest(context, peer, c.target);
        INFO(c.target << ": " << received.body);
        REQUIRE(received.status == c.status);
        REQUIRE(received.body.find(c.body) != std::string::npos);
    }
    REQUIRE(sendRequest(context, peer, "/status", boost::beast::http::verb::post).status == 405);
    ready = false;
    Json::Value status;
    std::istringstream(sendRequest(context, peer, "/status").body) >> status;
    REQUIRE(status["instance"] == "entry-1");
    REQUIRE(status["role"] == "entry");
    REQUIRE(status["ready"] == false);
    REQUIRE(status["notReady"][0] == "no configuration yet");
    REQUIRE(status["config"]["offset"] == 7);
}
