#include <connection/link.h>

#include "listener.h"
#include "rpccodec.h"
#include <link.pb.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/websocket.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <mutex>

namespace snipehill
{

namespace asio = boost::asio;
namespace websocket = boost::beast::websocket;
using Tcp = asio::ip::tcp;
using Socket = websocket::stream<boost::beast::tcp_stream>;

namespace
{

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t protocolVersion = 1;
constexpr std::size_t maxMessageBytes = 32U << 20U;
constexpr std::size_t maxQueuedBytes = 64U << 20U;
constexpr milliseconds acceptHandshakeTimeout{2000};

using ResponseChannel = asio::experimental::concurrent_channel<void(boost::system::error_code, std::string)>;

class WebSocketLink
    : public Link
    , public std::enable_shared_from_this<WebSocketLink>
{
public:
    WebSocketLink(Socket socket, LinkIdentity identity, LinkHandlers handlers, std::string address)
        : m_socket(std::move(socket)), m_identity(std::move(identity)), m_handlers(std::move(handlers)), m_address(std::move(address))
    {
    }

    void send(const wire::LinkMessage &message) override
    {
        auto text = std::make_shared<std::string>(message.SerializeAsString());
        asio::post(m_socket.get_executor(), [self = shared_from_this(), text] {
            self->enqueue(std::move(*text));
        });
    }

    asio::awaitable<std::optional<Json::Value>> call(std::string method, Json::Value params, milliseconds timeout, Reason &reason) override
    {
        const auto executor = co_await asio::this_coro::executor;
        auto channel = std::make_shared<ResponseChannel>(executor, 1);
        const std::uint64_t id = ++m_nextCall;
        wire::LinkMessage message;
        message.mutable_rpc_request()->set_id(id);
        message.mutable_rpc_request()->set_text(rpccodec::buildRequest(method, params));
        asio::post(m_socket.get_executor(), [self = shared_from_this(), id, channel] {
            self->m_pendingCalls[id] = channel;
        });
        send(message);
        asio::steady_timer timer(executor, timeout);
        timer.async_wait([channel](const boost::system::error_code &error) {
            if (!error) {
                channel->close();
            }
        });
        auto [error, response] = co_await channel->async_receive(useTuple);
        timer.cancel();
        asio::post(m_socket.get_executor(), [self = shared_from_this(), id] {
            self->m_pendingCalls.erase(id);
        });
        if (error) {
            reason = {Step::Dispatch, m_address, method + ": no answer"};
            co_return std::nullopt;
        }
        rpccodec::CallResult result = rpccodec::parseResponse(method, params, response);
        if (!result.ok) {
            reason = {Step::Dispatch, m_address, method + ": " + result.error};
            co_return std::nullopt;
        }
        co_return std::move(result.value);
    }

    void close() override
    {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            boost::beast::get_lowest_layer(self->m_socket).close();
        });
    }

    bool isOpen() const noexcept override
    {
        return m_open;
    }

    const Incarnation &peer() const noexcept override
    {
        return m_peer;
    }

    const std::string &peerRole() const noexcept override
    {
        return m_peerRole;
    }

    const std::string &peerAddress() const noexcept override
    {
        return m_address;
    }

    /** Sends Hello and waits for the peer's. The WebSocket handshake must be complete. */
    asio::awaitable<bool> exchangeHello(Reason &reason)
    {
        m_socket.set_option(websocket::stream_base::timeout{acceptHandshakeTimeout, 2 * m_identity.heartbeat, true});
        m_socket.binary(true);
        m_socket.read_message_max(maxMessageBytes);
        wire::LinkMessage hello;
        hello.mutable_hello()->set_protocol(protocolVersion);
        hello.mutable_hello()->set_instance(m_identity.self.instance);
        hello.mutable_hello()->set_incarnation(m_identity.self.number);
        hello.mutable_hello()->set_role(m_identity.role);
        const std::string text = hello.SerializeAsString();
        auto [writeError, written] = co_await m_socket.async_write(asio::buffer(text), useTuple);
        auto [readError, read] = co_await m_socket.async_read(m_buffer, useTuple);
        wire::LinkMessage response;
        if (writeError || readError || !parse(response) || !response.has_hello() || response.hello().protocol() < protocolVersion) {
            reason = {Step::Dispatch, m_address, "no greeting from the peer"};
            co_return false;
        }
        m_peer = {response.hello().instance(), response.hello().incarnation()};
        m_peerRole = response.hello().role();
        m_open = true;
        co_return true;
    }

    /** Reads messages until the connection closes; keeps the link alive meanwhile. */
    asio::awaitable<void> run()
    {
        const auto self = shared_from_this();
        if (m_handlers.opened) {
            m_handlers.opened(self);
        }
        while (true) {
            auto [error, read] = co_await m_socket.async_read(m_buffer, useTuple);
            wire::LinkMessage message;
            if (error || !parse(message) || !dispatch(self, message)) {
                break;
            }
        }
        m_open = false;
        boost::beast::get_lowest_layer(m_socket).close();
        for (const auto &[id, channel] : m_pendingCalls) {
            channel->close();
        }
        m_pendingCalls.clear();
        if (m_handlers.closed) {
            m_handlers.closed(self);
        }
    }

    auto executor()
    {
        return m_socket.get_executor();
    }

private:
    bool parse(wire::LinkMessage &message)
    {
        const bool parsed = message.ParseFromArray(m_buffer.data().data(), static_cast<int>(m_buffer.size()));
        m_buffer.consume(m_buffer.size());
        return parsed;
    }

    /** Returns false if a handler throws; the caller then closes the link, because its state is unknown. */
    bool dispatch(const LinkPointer &self, const wire::LinkMessage &message)
    {
        try {
            dispatchByKind(self, message);
        } catch (const std::exception &) {
            return false;
        }
        return true;
    }

    void dispatchByKind(const LinkPointer &self, const wire::LinkMessage &message)
    {
        if (message.has_rpc_answer()) {
            const auto call = m_pendingCalls.find(message.rpc_answer().id());
            if (call != m_pendingCalls.end()) {
                call->second->try_send(boost::system::error_code(), message.rpc_answer().text());
            }
        } else if (message.has_rpc_request()) {
            handleCall(message.rpc_request());
        } else if (m_handlers.message) {
            m_handlers.message(self, message);
        }
    }

    void handleCall(const wire::RpcRequest &request)
    {
        wire::LinkMessage response;
        response.mutable_rpc_answer()->set_id(request.id());
        response.mutable_rpc_answer()->set_text(m_handlers.rpc ? m_handlers.rpc->handle(request.text()) : "{}");
        enqueue(response.SerializeAsString());
    }

    void enqueue(std::string text)
    {
        if (!m_open) {
            return;
        }
        m_queuedBytes += text.size();
        if (m_queuedBytes > maxQueuedBytes) {
            boost::beast::get_lowest_layer(m_socket).close();
            return;
        }
        m_queue.push_back(std::move(text));
        if (!m_writing) {
            m_writing = true;
            asio::co_spawn(m_socket.get_executor(), writeQueue(shared_from_this()), asio::detached);
        }
    }

    static asio::awaitable<void> writeQueue(std::shared_ptr<WebSocketLink> self)
    {
        while (!self->m_queue.empty()) {
            const std::string text = std::move(self->m_queue.front());
            self->m_queue.pop_front();
            self->m_queuedBytes -= text.size();
            auto [error, written] = co_await self->m_socket.async_write(asio::buffer(text), useTuple);
            if (error) {
                boost::beast::get_lowest_layer(self->m_socket).close();
                self->m_queue.clear();
                self->m_queuedBytes = 0;
            }
        }
        self->m_writing = false;
    }

    Socket m_socket;
    LinkIdentity m_identity;
    LinkHandlers m_handlers;
    std::string m_address;
    Incarnation m_peer;
    std::string m_peerRole;
    std::atomic<bool> m_open{false};
    std::atomic<std::uint64_t> m_nextCall{0};
    boost::beast::flat_buffer m_buffer;
    std::deque<std::string> m_queue; //!< accessed only on the strand, like all members below
    std::size_t m_queuedBytes = 0;
    bool m_writing = false;
    std::map<std::uint64_t, std::shared_ptr<ResponseChannel>> m_pendingCalls;
};

void setNoDelay(Socket &socket)
{
    boost::system::error_code ignored;
    boost::beast::get_lowest_layer(socket).socket().set_option(Tcp::no_delay(true), ignored);
}

asio::awaitable<std::shared_ptr<WebSocketLink>>
connectLink(asio::any_io_executor strand, Endpoint peer, LinkIdentity identity, LinkHandlers handlers, milliseconds timeout, Reason &reason)
{
    Socket socket(strand);
    auto &stream = boost::beast::get_lowest_layer(socket);
    stream.expires_after(timeout);
    const Tcp::endpoint endpoint(asio::ip::make_address(peer.address), peer.port);
    auto [connectError] = co_await stream.async_connect(endpoint, useTuple);
    if (connectError) {
        reason = {Step::Dispatch, toString(peer), "connect: " + connectError.message()};
        co_return nullptr;
    }
    stream.expires_never();
    setNoDelay(socket);
    socket.set_option(websocket::stream_base::timeout{timeout, websocket::stream_base::none(), false});
    auto [handshakeError] = co_await socket.async_handshake(toString(peer), "/link", useTuple);
    if (handshakeError) {
        reason = {Step::Dispatch, toString(peer), "handshake: " + handshakeError.message()};
        co_return nullptr;
    }
    auto link = std::make_shared<WebSocketLink>(std::move(socket), std::move(identity), std::move(handlers), toString(peer));
    const bool helloExchanged = co_await link->exchangeHello(reason);
    if (!helloExchanged) {
        co_return nullptr;
    }
    asio::co_spawn(strand, link->run(), asio::detached);
    co_return link;
}

} // namespace

asio::awaitable<LinkPointer>
openLink(asio::any_io_executor executor, Endpoint peer, LinkIdentity identity, LinkHandlers handlers, milliseconds timeout, Reason &reason)
{
    // The socket runs on its own strand; the caller resumes on its own executor.
    const asio::any_io_executor strand = asio::make_strand(executor);
    auto link
        = co_await asio::co_spawn(strand, connectLink(strand, std::move(peer), std::move(identity), std::move(handlers), timeout, reason), asio::use_awaitable);
    co_return link;
}

struct LinkServer::State
{
    asio::any_io_executor executor;
    LinkIdentity identity;
    LinkHandlers handlers;
    AcceptorPointer acceptor;
    mutable std::mutex lock;
    std::map<const Link *, std::weak_ptr<Link>> links;
};

namespace
{

asio::awaitable<void> acceptLink(std::shared_ptr<LinkServer::State> state, Tcp::socket raw)
{
    boost::system::error_code ignored;
    const auto remote = raw.remote_endpoint(ignored);
    const std::string address = remote.address().to_string() + ":" + std::to_string(remote.port());
    Socket socket(std::move(raw));
    socket.set_option(websocket::stream_base::timeout{acceptHandshakeTimeout, websocket::stream_base::none(), false});
    auto [error] = co_await socket.async_accept(useTuple);
    if (error) {
        co_return;
    }
    auto link = std::make_shared<WebSocketLink>(std::move(socket), state->identity, state->handlers, address);
    Reason reason;
    const bool helloExchanged = co_await link->exchangeHello(reason);
    if (!helloExchanged) {
        co_return;
    }
    {
        const std::lock_guard lock(state->lock);
        state->links[link.get()] = link;
    }
    co_await link->run();
    const std::lock_guard lock(state->lock);
    state->links.erase(link.get());
}

} // namespace

LinkServer::LinkServer(asio::any_io_executor executor, LinkIdentity identity, LinkHandlers handlers) : m_state(std::make_shared<State>())
{
    m_state->executor = std::move(executor);
    m_state->identity = std::move(identity);
    m_state->handlers = std::move(handlers);
}

LinkServer::~LinkServer() = default;

bool LinkServer::start(const Endpoint &endpoint, Reason &reason)
{
    m_state->acceptor = openListener(m_state->executor, endpoint, reason);
    if (!m_state->acceptor) {
        return false;
    }
    const auto onAccepted = [state = m_state](Tcp::socket socket) {
        const auto strand = socket.get_executor();
        asio::co_spawn(strand, acceptLink(state, std::move(socket)), asio::detached);
    };
    asio::co_spawn(m_state->acceptor->get_executor(), acceptConnections(m_state->acceptor, m_state->executor, onAccepted), asio::detached);
    return true;
}

void LinkServer::stop()
{
    closeListener(m_state->acceptor);
}

std::vector<LinkPointer> LinkServer::links() const
{
    std::vector<LinkPointer> open;
    const std::lock_guard lock(m_state->lock);
    for (const auto &[address, weak] : m_state->links) {
        if (auto link = weak.lock()) {
            open.push_back(std::move(link));
        }
    }
    return open;
}

} // namespace snipehill
