#pragma once

#include <connection/endpoint.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>
#include <thread>

namespace snipehill::support
{

/**
 * Server that sends what no HTTP library would. Its connections are handled one after another, on a thread of its own, by a function that blocks;
 * a connection that the function leaves open is closed in order. The destructor waits until all connections were handled.
 */
class RawServer
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    /**
     * @param connections number of connections to accept
     * @param receiveBuffer size of the kernel's buffer for received data, bytes; 0: the default
     */
    RawServer(int connections, std::function<void(Socket &)> handle, int receiveBuffer = 0);
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    Endpoint endpoint() const;

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/** Reads a request up to the end of its head and returns what was read; some of the body may follow the head. */
std::string readRequestHead(RawServer::Socket &socket);

/** Reads this number of bytes, or fewer if the peer closes the connection. */
void readBytes(RawServer::Socket &socket, std::size_t count);

/** Sends all bytes, unless the peer has closed the connection. */
void sendBytes(RawServer::Socket &socket, const std::string &bytes);

/** Ends the sending direction in order; the peer reads an end of file. */
void endSending(RawServer::Socket &socket);

/** Closes the connection with a TCP reset. */
void resetConnection(RawServer::Socket &socket);

} // namespace snipehill::support
