#include <process/logclient.h>
#include <process/metrics.h>

#include <connection/httpserver.h>

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <string>

using namespace snipehill;
namespace asio = boost::asio;

// Guards against a log service that breaks its agreement and loses records without a trace.
TEST_CASE("A log that ends before the next record of a reader is counted", "[era][log]")
{
    struct Case
    {
        const char *what;
        Offset from;
        bool lost;
    };
    const std::string series = "snipehill_log_era_events_total{event=\"records_lost\"}";
    for (const Case &c : {Case{"records to read", 3, false}, Case{"at the end", 5, false}, Case{"beyond the end", 6, true}}) {
        INFO(c.what);
        asio::io_context context;
        HttpServer server(context.get_executor(), {}, [](HttpExchange &exchange) -> asio::awaitable<void> {
            co_await exchange.respond(200, {}, R"({"first":0,"next":5,"records":[]})");
        });
        Reason reason;
        REQUIRE(server.start({"127.0.0.1", 0}, reason));
        const auto countOf = [&series] {
            const std::string text = processMetrics().text();
            const auto at = text.find(series);
            return at == std::string::npos ? 0.0 : std::stod(text.substr(at + series.size()));
        };
        const double before = countOf();
        auto page = asio::co_spawn(context, readLog({"127.0.0.1", server.port()}, "own", c.from, milliseconds(0), reason), asio::use_future);
        while (page.wait_for(seconds(0)) != std::future_status::ready) {
            context.run_one();
        }
        REQUIRE(page.get());
        CHECK(countOf() - before == (c.lost ? 1 : 0));
    }
}
