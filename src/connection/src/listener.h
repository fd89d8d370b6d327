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

/** Binds the endpoint and listens, on a new strand; null with a reason if the address can't be bound. */
AcceptorPointer openListener(const boost::asio::any_io_executor &executor, const Endpoint &endpoint, Reason &reason);

/** Passes each new connection, which has its own strand, to the callback until the acceptor is closed. */
boost::asio::awaitable<void>
acceptConnections(AcceptorPointer acceptor, boost::asio::any_io_executor executor, std::function<void(boost::asio::ip::tcp::socket)> onAccepted);

/** Closes the acceptor; may be called from any thread. Does nothing for null. */
void closeListener(const AcceptorPointer &acceptor);

} // namespace snipehill
