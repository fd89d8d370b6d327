#include "linkcall.h"

#include <connection/link.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace snipehill::support
{

namespace asio = boost::asio;

namespace
{

constexpr std::uint64_t incarnation = 1;

struct Exchange
{
    LinkIdentity identity;
    Endpoint peer;
    std::string method;
    Json::Value params;
    milliseconds timeout{1000};
    std::optional<Json::Value> response;
    Reason reason;
};

asio::awaitable<void> exchange(asio::io_context &context, Exchange &exchange)
{
    const LinkPointer link = co_await openLink(context.get_executor(), exchange.peer, exchange.identity, LinkHandlers(), exchange.timeout, exchange.reason);
    if (link) {
        exchange.response = co_await link->call(exchange.method, exchange.params, exchange.timeout, exchange.reason);
        link->close();
    }
    context.stop();
}

} // namespace

std::optional<Json::Value>
callOverLink(const std::string &caller, const Endpoint &peer, const std::string &method, const Json::Value &params, milliseconds timeout, Reason &reason)
{
    asio::io_context context(1);
    Exchange state;
    state.identity.self = {caller, incarnation};
    state.identity.role = "entry";
    state.peer = peer;
    state.method = method;
    state.params = params;
    state.timeout = timeout;
    asio::co_spawn(context, exchange(context, state), asio::detached);
    context.run();
    reason = state.reason;
    return state.response;
}

} // namespace snipehill::support
