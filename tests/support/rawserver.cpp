#include "rawserver.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace snipehill::support
{

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

RawServer::RawServer(int connections, std::function<void(Socket &)> handle, int receiveBuffer) : m_acceptor(m_context, Tcp::v4())
{
    if (receiveBuffer > 0) {
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBuffer)); // inherited by accepted connections
    }
    m_acceptor.bind({asio::ip::address_v4::loopback(), 0});
    m_acceptor.listen();
    m_thread = std::thread([this, connections, handle = std::move(handle)] {
        for (int i = 0; i < connections; ++i) {
            Socket socket = m_acceptor.accept();
            handle(socket);
        }
    });
}

RawServer::~RawServer()
{
    m_thread.join();
}

Endpoint RawServer::endpoint() const
{
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
}

std::string readRequestHead(RawServer::Socket &socket)
{
    std::string request;
    boost::system::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
    return request;
}

void readBytes(RawServer::Socket &socket, std::size_t count)
{
    std::string bytes;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(bytes), asio::transfer_exactly(count), error);
}

void sendBytes(RawServer::Socket &socket, const std::string &bytes)
{
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
}

void endSending(RawServer::Socket &socket)
{
    boost::system::error_code error;
    socket.shutdown(Tcp::socket::shutdown_send, error);
}

void resetConnection(RawServer::Socket &socket)
{
    boost::system::error_code error;
    socket.set_option(asio::socket_base::linger(true, 0), error);
    socket.close(error);
}

} // namespace snipehill::support
