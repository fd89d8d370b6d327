#include "serving/slowexchange.h"

#include <serving/src/callerresponse.h>
#include <serving/src/wireconvert.h>

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

using namespace snipehill;

namespace
{

wire::Head head(unsigned status, bool stream)
{
    wire::Head head;
    head.set_status(status);
    head.set_stream(stream);
    return head;
}

} // namespace

// Guards against a response that must not be passed on: a status that HTTP doesn't have, from a sidecar of an earlier version, or the failure to resume a stream.
TEST_CASE("An entry forwards a head only if its caller can go by it", "[caller][broken-response]")
{
    struct Case
    {
        unsigned status;
        bool stream;
        bool acceptedFirst;
        bool acceptedWhileStreaming;
    };
    const std::vector<Case> cases{
        {200, true, true, true},
        {200, false, true, false},
        {404, false, true, false},
        {599, false, true, false},
        {0, false, false, false},
        {0, true, false, false},
        {99, false, false, false},
        {101, false, false, false},
        {600, false, false, false},
    };
    for (const Case &c : cases) {
        INFO(c.status << (c.stream ? ", stream" : ""));
        boost::asio::io_context context;
        SlowExchange exchange(context);
        CallerResponse response(exchange, "r1");
        CHECK(response.accepts(head(c.status, c.stream)) == c.acceptedFirst);
        wire::Frame first;
        *first.mutable_head() = head(200, true);
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> {
                co_await response.forwardFrame(first);
            },
            boost::asio::detached);
        context.run();
        REQUIRE(response.isStreaming());
        CHECK(response.accepts(head(c.status, c.stream)) == c.acceptedWhileStreaming);
    }
}
