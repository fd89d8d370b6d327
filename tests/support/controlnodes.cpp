#include "controlnodes.h"

#include <boost/asio/post.hpp>

#include <functional>
#include <utility>

namespace snipehill::support
{

namespace asio = boost::asio;

void PeerTable::registerMethods(const Endpoint &endpoint, RpcMethods methods)
{
    const std::lock_guard lock(m_mutex);
    m_methods[endpoint] = std::move(methods);
}

void PeerTable::remove(const Endpoint &endpoint)
{
    const std::lock_guard lock(m_mutex);
    m_methods.erase(endpoint);
}

std::optional<Json::Value> PeerTable::call(const Endpoint &endpoint, const std::string &method, const Json::Value &params, Reason &reason) const
{
    RpcMethod handler;
    {
        const std::lock_guard lock(m_mutex);
        const auto node = m_methods.find(endpoint);
        if (node == m_methods.end() || !node->second.contains(method)) {
            reason = {Step::Order, toString(endpoint), "not reachable"};
            return std::nullopt;
        }
        handler = node->second.at(method);
    }
    return handler(params, reason);
}

namespace
{

asio::awaitable<std::optional<Json::Value>> callThrough(std::shared_ptr<PeerTable> table, Endpoint peer, std::string method, Json::Value params, Reason &reason)
{
    co_return table->call(peer, method, params, reason);
}

} // namespace

PeerCall makePeerCall(std::shared_ptr<PeerTable> table)
{
    return [table = std::move(table)](Endpoint peer, std::string method, Json::Value params, milliseconds, Reason &reason) {
        return callThrough(table, std::move(peer), std::move(method), std::move(params), reason);
    };
}

NodeThread::NodeThread()
    : m_context(1), m_work(m_context.get_executor()), m_thread([this] {
        m_context.run();
    })
{
}

NodeThread::~NodeThread()
{
    kill();
}

asio::io_context &NodeThread::context() noexcept
{
    return m_context;
}

void NodeThread::pause()
{
    {
        const std::lock_guard lock(m_mutex);
        m_paused = true;
    }
    asio::post(m_context, [this] {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] {
            return !m_paused;
        });
    });
}

void NodeThread::resume()
{
    const std::lock_guard lock(m_mutex);
    m_paused = false;
    m_changed.notify_all();
}

void NodeThread::kill()
{
    m_context.stop();
    resume();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

Endpoint nodeEndpoint(const std::string &name)
{
    // A key of the peer table; nothing listens on it.
    return {name, 1};
}

Member nodeMember(const std::string &name, const std::string &role, const std::string &failureDomain, const std::string &targetGroup)
{
    Member member;
    member.instance = name;
    member.role = role;
    member.link = nodeEndpoint(name);
    member.failureDomain = failureDomain;
    member.targetGroup = targetGroup;
    return member;
}

EntryNode::EntryNode(const std::string &name, ControlSettings settings, ControlHooks hooks, std::shared_ptr<PeerTable> peers)
    : m_peers(std::move(peers))
    , m_link(nodeEndpoint(name))
    , m_plane(m_thread.context().get_executor(), std::move(settings), std::move(hooks), makePeerCall(m_peers))
{
    m_peers->registerMethods(m_link, m_plane.methods());
    m_plane.start();
}

EntryNode::~EntryNode()
{
    kill();
}

NodeThread &EntryNode::thread() noexcept
{
    return m_thread;
}

ControlPlane &EntryNode::plane() noexcept
{
    return m_plane;
}

void EntryNode::kill()
{
    m_peers->remove(m_link);
    m_thread.kill();
}

SidecarNode::SidecarNode(const std::string &name, SidecarControlSettings settings, std::shared_ptr<PeerTable> peers)
    : m_peers(std::move(peers))
    , m_link(nodeEndpoint(name))
    , m_control(m_thread.context().get_executor(), std::move(settings), hooks(), makePeerCall(m_peers), [] {
        return std::vector<Endpoint>{nodeEndpoint("entry-1"), nodeEndpoint("entry-2")};
    })
{
    m_peers->registerMethods(m_link, m_control.methods());
    m_control.start();
}

SidecarNode::~SidecarNode()
{
    kill();
}

DrainHooks SidecarNode::hooks()
{
    DrainHooks hooks;
    hooks.stopAccepting = [this] {
        m_accepting = false;
    };
    hooks.running = [this] {
        return m_running.load();
    };
    hooks.resumeAccepting = [this] {
        m_accepting = true;
    };
    hooks.onEngineRole = [this](EngineRole role) {
        m_role = role;
    };
    return hooks;
}

SidecarControl &SidecarNode::control() noexcept
{
    return m_control;
}

NodeThread &SidecarNode::thread() noexcept
{
    return m_thread;
}

EngineRole SidecarNode::role() const noexcept
{
    return m_role;
}

bool SidecarNode::accepting() const noexcept
{
    return m_accepting;
}

void SidecarNode::setRunning(std::size_t running) noexcept
{
    m_running = running;
}

void SidecarNode::kill()
{
    m_peers->remove(m_link);
    m_thread.kill();
}

} // namespace snipehill::support
