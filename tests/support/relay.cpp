#include "relay.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <list>
#include <thread>

namespace snipehill::support
{

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace
{

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t chunkBytes = 65536;
constexpr milliseconds resetDelay{3}; // lets the response arrive before the reset

/** A relayed connection: the socket of the client and the one to the server. */
struct Connection
{
    explicit Connection(asio::io_context &context, Tcp::socket socket) : client(std::move(socket)), server(context) { }

    void close()
    {
        boost::system::error_code ignored;
        client.close(ignored);
        server.close(ignored);
    }

    Tcp::socket client;
    Tcp::socket server;
    bool blackholed = false;
    std::optional<std::size_t> serverBytes; //!< still to be relayed before the connection is closed
};

using ConnectionPointer = std::shared_ptr<Connection>;

} // namespace

struct Relay::State
{
    explicit State(Endpoint peer) : target(std::move(peer)), acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)) { }

    asio::awaitable<void> accept()
    {
        for (;;) {
            auto [error, socket] = co_await acceptor.async_accept(useTuple);
            if (error) {
                co_return;
            }
            if (refusing) {
                continue;
            }
            ++accepted;
            const auto connection = std::make_shared<Connection>(context, std::move(socket));
            connection->blackholed = blackholing;
            connection->serverBytes = cutAfter;
            connections.push_back(connection);
            if (responder) {
                asio::co_spawn(context, respond(connection, responder, afterResponse), asio::detached);
            } else {
                asio::co_spawn(context, serve(connection), asio::detached);
            }
        }
    }

    /** Answers one request, then waits until the client closes the connection, or resets it. */
    asio::awaitable<void> respond(ConnectionPointer connection, Responder answer, AfterResponse after)
    {
        std::string request;
        auto [error, headBytes] = co_await asio::async_read_until(connection->client, asio::dynamic_buffer(request), "\r\n\r\n", useTuple);
        if (!error) {
            const std::string response = answer(request.substr(0, headBytes));
            auto [writeError, written] = co_await asio::async_write(connection->client, asio::buffer(response), useTuple);
            error = writeError;
        }
        if (after != AfterResponse::KeepOpen) {
            co_await reset(connection, after);
        }
        std::array<char, chunkBytes> chunk;
        while (!error) {
            auto [readError, size] = co_await connection->client.async_read_some(asio::buffer(chunk), useTuple);
            error = readError;
        }
        connection->close();
        connections.remove(connection);
    }

    asio::awaitable<void> reset(ConnectionPointer connection, AfterResponse after)
    {
        boost::system::error_code ignored;
        if (after == AfterResponse::EndAndReset) {
            connection->client.shutdown(Tcp::socket::shutdown_send, ignored);
        }
        asio::steady_timer timer(context, resetDelay);
        co_await timer.async_wait(useTuple);
        connection->client.set_option(asio::socket_base::linger(true, 0), ignored);
        connection->client.close(ignored);
    }

    asio::awaitable<void> serve(ConnectionPointer connection)
    {
        const Tcp::endpoint endpoint(asio::ip::make_address(target.address), target.port);
        auto [error] = co_await connection->server.async_connect(endpoint, useTuple);
        if (error) {
            connection->close();
            connections.remove(connection);
            co_return;
        }
        boost::system::error_code ignored;
        connection->client.set_option(Tcp::no_delay(true), ignored);
        connection->server.set_option(Tcp::no_delay(true), ignored);
        asio::co_spawn(context, forward(connection, connection->client, connection->server), asio::detached);
        co_await forward(connection, connection->server, connection->client);
    }

    /** Forwards bytes in one direction until either side closes. The close of a blackholed connection is not forwarded. */
    asio::awaitable<void> forward(ConnectionPointer connection, Tcp::socket &from, Tcp::socket &to)
    {
        std::array<char, chunkBytes> chunk;
        for (;;) {
            auto [readError, size] = co_await from.async_read_some(asio::buffer(chunk), useTuple);
            if (forwardDelay.count() > 0) {
                asio::steady_timer timer(context, forwardDelay);
                co_await timer.async_wait(useTuple);
            }
            if (connection->blackholed && readError) {
                co_return;
            }
            if (connection->blackholed) {
                continue;
            }
            if (readError) {
                break;
            }
            const bool cut = &from == &connection->server && connection->serverBytes && *connection->serverBytes <= size;
            const std::size_t relayed = cut ? *connection->serverBytes : size;
            auto [writeError, written] = co_await asio::async_write(to, asio::buffer(chunk.data(), relayed), useTuple);
            if (writeError || cut) {
                break;
            }
            if (&from == &connection->server && connection->serverBytes) {
                *connection->serverBytes -= size;
            }
        }
        connection->close();
        connections.remove(connection);
    }

    Endpoint target;
    asio::io_context context;
    Tcp::acceptor acceptor;
    std::list<ConnectionPointer> connections;
    bool refusing = false;
    bool blackholing = false;
    std::optional<std::size_t> cutAfter;
    Responder responder;
    AfterResponse afterResponse = AfterResponse::KeepOpen;
    milliseconds forwardDelay{0};
    std::atomic<int> accepted{0};
    std::thread thread;
};

Relay::Relay(Endpoint target) : m_state(std::make_unique<State>(std::move(target)))
{
    asio::co_spawn(m_state->context, m_state->accept(), asio::detached);
    m_state->thread = std::thread([state = m_state.get()] {
        state->context.run();
    });
}

Relay::~Relay()
{
    m_state->context.stop();
    m_state->thread.join();
}

Endpoint Relay::endpoint() const
{
    return {"127.0.0.1", m_state->acceptor.local_endpoint().port()};
}

void Relay::dropConnections()
{
    asio::post(m_state->context, [state = m_state.get()] {
        for (const ConnectionPointer &connection : state->connections) {
            connection->close();
        }
    });
}

void Relay::blackholeConnections()
{
    asio::post(m_state->context, [state = m_state.get()] {
        for (const ConnectionPointer &connection : state->connections) {
            connection->blackholed = true;
        }
    });
}

void Relay::refuseConnections(bool on)
{
    asio::post(m_state->context, [state = m_state.get(), on] {
        state->refusing = on;
    });
}

void Relay::blackhole(bool on)
{
    asio::post(m_state->context, [state = m_state.get(), on] {
        state->blackholing = on;
        for (const ConnectionPointer &connection : state->connections) {
            connection->blackholed = connection->blackholed || on;
        }
    });
}

void Relay::setDelay(milliseconds time)
{
    asio::post(m_state->context, [state = m_state.get(), time] {
        state->forwardDelay = time;
    });
}

void Relay::cutAfter(std::optional<std::size_t> bytes)
{
    asio::post(m_state->context, [state = m_state.get(), bytes] {
        state->cutAfter = bytes;
    });
}

void Relay::respondWith(Responder responder, AfterResponse after)
{
    asio::post(m_state->context, [state = m_state.get(), responder = std::move(responder), after] {
        state->responder = responder;
        state->afterResponse = after;
    });
}

int Relay::accepted() const
{
    return m_state->accepted;
}

std::string headerOf(const std::string &requestHead, const std::string &name)
{
    const std::string line = "\r\n" + name + ": ";
    const auto at = requestHead.find(line);
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + line.size();
    return requestHead.substr(begin, requestHead.find("\r\n", begin) - begin);
}

} // namespace snipehill::support
