#pragma once

#include <connection/endpoint.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace snipehill
{

using Acceptor = boost::asio::ip::tcp::acceptor;
using AcceptorPointer = std::shared_ptr<Acceptor>;

/** Binds and listens, on a strand of its own; null with a reason when the address can't be had. */
AcceptorPointer openListener(const boost::asio::any_io_executor &executor, const Endpoint &endpoint, Reason &reason);

/** Hands each new connection, on a strand of its own, to the callback, until the acceptor is closed. */
boost::asio::awaitable<void>
acceptConnections(AcceptorPointer acceptor, boost::asio::any_io_executor executor, std::function<void(boost::asio::ip::tcp::socket)> onAccepted);

/** Closes the acceptor from any thread; does nothing for null. */
void closeListener(const AcceptorPointer &acceptor);

} // namespace snipehill
