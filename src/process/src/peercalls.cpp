#include "peercalls.h"

#include <process/log.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <utility>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

struct PeerResponse
{
    std::size_t index = 0;
    std::optional<Json::Value> value;
};

using ResponseChannel = asio::experimental::concurrent_channel<void(boost::system::error_code, std::shared_ptr<PeerResponse>)>;

asio::awaitable<void> callOne(PeerCall call, PeerRequest request, milliseconds timeout, std::size_t index, std::shared_ptr<ResponseChannel> responses)
{
    Reason reason;
    auto response = std::make_shared<PeerResponse>();
    response->index = index;
    response->value = co_await call(request.peer, request.method, request.params, timeout, reason);
    if (!response->value) {
        logEvent(LogComponent::Link, LogLevel::Debug, "control call failed", reason, {{"method", request.method}});
    }
    responses->try_send(boost::system::error_code(), std::move(response));
}

} // namespace

asio::awaitable<std::vector<std::optional<Json::Value>>> callPeers(PeerCall call, std::vector<PeerRequest> requests, milliseconds timeout)
{
    std::vector<std::optional<Json::Value>> results(requests.size());
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    auto responses = std::make_shared<ResponseChannel>(executor, requests.size());
    for (std::size_t index = 0; index < requests.size(); ++index) {
        asio::co_spawn(executor, callOne(call, std::move(requests[index]), timeout, index, responses), asio::detached);
    }
    for (std::size_t received = 0; received < results.size(); ++received) {
        const std::shared_ptr<PeerResponse> response = co_await responses->async_receive(asio::use_awaitable);
        results[response->index] = std::move(response->value);
    }
    co_return results;
}

} // namespace snipehill
