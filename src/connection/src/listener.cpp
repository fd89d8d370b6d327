#include "listener.h"

#include <core/time.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace snipehill
{

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace
{

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds acceptRetryDelay{50};

} // namespace

AcceptorPointer openListener(const asio::any_io_executor &executor, const Endpoint &endpoint, Reason &reason)
{
    boost::system::error_code error;
    const Tcp::endpoint local(asio::ip::make_address(endpoint.address, error), endpoint.port);
    auto acceptor = std::make_shared<Acceptor>(asio::make_strand(executor));
    if (!error) {
        acceptor->open(local.protocol(), error);
    }
    if (!error) {
        acceptor->set_option(asio::socket_base::reuse_address(true), error);
        acceptor->bind(local, error);
    }
    if (!error) {
        acceptor->listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        reason = {Step::Settings, toString(endpoint), "listen: " + error.message()};
        return nullptr;
    }
    return acceptor;
}

asio::awaitable<void> acceptConnections(AcceptorPointer acceptor, asio::any_io_executor executor, std::function<void(Tcp::socket)> onAccepted)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (acceptor->is_open()) {
        Tcp::socket socket(asio::make_strand(executor));
        auto [error] = co_await acceptor->async_accept(socket, useTuple);
        if (!error) {
            boost::system::error_code ignored;
            socket.set_option(Tcp::no_delay(true), ignored);
            onAccepted(std::move(socket));
        } else if (error != asio::error::operation_aborted) {
            // Usually the process is out of file descriptors: wait for some to be closed instead of retrying in a busy loop.
            timer.expires_after(acceptRetryDelay);
            co_await timer.async_wait(useTuple);
        }
    }
}

void closeListener(const AcceptorPointer &acceptor)
{
    if (!acceptor) {
        return;
    }
    asio::post(acceptor->get_executor(), [acceptor] {
        boost::system::error_code ignored;
        acceptor->close(ignored);
    });
}

} // namespace snipehill
