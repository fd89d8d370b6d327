#include "controlclient.h"

#include <connection/link.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

namespace snipehill::support
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds callTimeout{2000};

asio::awaitable<void>
callOverNewLink(asio::any_io_executor executor, Endpoint peer, std::string method, Json::Value params, std::shared_ptr<std::optional<Json::Value>> result)
{
    Reason reason;
    LinkIdentity identity;
    identity.self = {"test", randomId()};
    identity.role = "entry";
    const LinkPointer link = co_await openLink(executor, peer, identity, {}, callTimeout, reason);
    if (!link) {
        co_return;
    }
    *result = co_await link->call(method, params, callTimeout, reason);
    link->close();
}

} // namespace

std::optional<Json::Value> callControl(const Endpoint &link, const std::string &method, const Json::Value &params)
{
    asio::io_context context(1);
    auto result = std::make_shared<std::optional<Json::Value>>();
    asio::co_spawn(context, callOverNewLink(context.get_executor(), link, method, params, result), asio::detached);
    context.run_for(callTimeout * 3);
    return *result;
}

} // namespace snipehill::support
