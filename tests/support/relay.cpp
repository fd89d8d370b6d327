#include "relay.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
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
constexpr std::size_t pieceBytes = 65536;

/** Both halves of a relayed connection. */
struct Pair
{
    explicit Pair(asio::io_context &context, Tcp::socket socket) : client(std::move(socket)), server(context) { }

    void close()
    {
        boost::system::error_code ignored;
        client.close(ignored);
        server.close(ignored);
    }

    Tcp::socket client;
    Tcp::socket server;
    bool silent = false;
};

using PairPointer = std::shared_ptr<Pair>;

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
            const auto pair = std::make_shared<Pair>(context, std::move(socket));
            pair->silent = cutOff;
            pairs.push_back(pair);
            asio::co_spawn(context, serve(pair), asio::detached);
        }
    }

    asio::awaitable<void> serve(PairPointer pair)
    {
        const Tcp::endpoint endpoint(asio::ip::make_address(target.address), target.port);
        auto [error] = co_await pair->server.async_connect(endpoint, useTuple);
        if (error) {
            pair->close();
            pairs.remove(pair);
            co_return;
        }
        boost::system::error_code ignored;
        pair->client.set_option(Tcp::no_delay(true), ignored);
        pair->server.set_option(Tcp::no_delay(true), ignored);
        asio::co_spawn(context, pump(pair, pair->client, pair->server), asio::detached);
        co_await pump(pair, pair->server, pair->client);
    }

    /** Passes bytes one way until either side closes; the end of a silent connection is not passed on. */
    asio::awaitable<void> pump(PairPointer pair, Tcp::socket &from, Tcp::socket &to)
    {
        std::array<char, pieceBytes> piece;
        for (;;) {
            auto [readError, size] = co_await from.async_read_some(asio::buffer(piece), useTuple);
            if (holdBack.count() > 0) {
                asio::steady_timer timer(context, holdBack);
                co_await timer.async_wait(useTuple);
            }
            if (pair->silent && readError) {
                co_return;
            }
            if (pair->silent) {
                continue;
            }
            if (readError) {
                break;
            }
            auto [writeError, written] = co_await asio::async_write(to, asio::buffer(piece.data(), size), useTuple);
            if (writeError) {
                break;
            }
        }
        pair->close();
        pairs.remove(pair);
    }

    Endpoint target;
    asio::io_context context;
    Tcp::acceptor acceptor;
    std::list<PairPointer> pairs;
    bool refusing = false;
    bool cutOff = false;
    milliseconds holdBack{0};
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
        for (const PairPointer &pair : state->pairs) {
            pair->close();
        }
    });
}

void Relay::silenceConnections()
{
    asio::post(m_state->context, [state = m_state.get()] {
        for (const PairPointer &pair : state->pairs) {
            pair->silent = true;
        }
    });
}

void Relay::refuse(bool on)
{
    asio::post(m_state->context, [state = m_state.get(), on] {
        state->refusing = on;
    });
}

void Relay::cut(bool on)
{
    asio::post(m_state->context, [state = m_state.get(), on] {
        state->cutOff = on;
        for (const PairPointer &pair : state->pairs) {
            pair->silent = pair->silent || on;
        }
    });
}

void Relay::delay(milliseconds time)
{
    asio::post(m_state->context, [state = m_state.get(), time] {
        state->holdBack = time;
    });
}

int Relay::accepted() const
{
    return m_state->accepted;
}

} // namespace snipehill::support
