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

struct PeerAnswer
{
    std::size_t index = 0;
    std::optional<Json::Value> value;
};

using AnswerChannel = asio::experimental::concurrent_channel<void(boost::system::error_code, std::shared_ptr<PeerAnswer>)>;

asio::awaitable<void> callOne(PeerCall call, PeerRequest request, milliseconds timeout, std::size_t index, std::shared_ptr<AnswerChannel> answers)
{
    Reason reason;
    auto answer = std::make_shared<PeerAnswer>();
    answer->index = index;
    answer->value = co_await call(request.peer, request.method, request.params, timeout, reason);
    if (!answer->value) {
        logEvent(Part::Link, Level::Debug, "control call failed", reason, {{"method", request.method}});
    }
    answers->try_send(boost::system::error_code(), std::move(answer));
}

} // namespace

asio::awaitable<std::vector<std::optional<Json::Value>>> callPeers(PeerCall call, std::vector<PeerRequest> requests, milliseconds timeout)
{
    std::vector<std::optional<Json::Value>> results(requests.size());
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    auto answers = std::make_shared<AnswerChannel>(executor, requests.size());
    for (std::size_t index = 0; index < requests.size(); ++index) {
        asio::co_spawn(executor, callOne(call, std::move(requests[index]), timeout, index, answers), asio::detached);
    }
    for (std::size_t received = 0; received < results.size(); ++received) {
        const std::shared_ptr<PeerAnswer> answer = co_await answers->async_receive(asio::use_awaitable);
        results[answer->index] = std::move(answer->value);
    }
    co_return results;
}

} // namespace snipehill
