#pragma once

#include "cluster.h"

#include <process/controlplane.h>
#include <process/sidecarcontrol.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace snipehill::support
{

/** In-process replacement of the links between nodes: the control methods of each node by its endpoint. Thread-safe. */
class PeerTable
{
public:
    void registerMethods(const Endpoint &endpoint, RpcMethods methods);
    void remove(const Endpoint &endpoint);
    /** Calls a method of the node at an endpoint; fails if the node was removed or has no such method. */
    std::optional<Json::Value> call(const Endpoint &endpoint, const std::string &method, const Json::Value &params, Reason &reason) const;

private:
    mutable std::mutex m_mutex;
    std::map<Endpoint, RpcMethods> m_methods;
};

/** PeerCall that looks up the peer in the table. */
PeerCall makePeerCall(std::shared_ptr<PeerTable> table);

/** Thread that runs the io_context of a node and can be paused and killed like a process. */
class NodeThread
{
public:
    NodeThread();
    ~NodeThread();
    NodeThread(const NodeThread &) = delete;
    NodeThread &operator=(const NodeThread &) = delete;

    boost::asio::io_context &context() noexcept;
    /** Blocks the thread until resume(). */
    void pause();
    void resume();
    /** Stops the io_context and joins the thread. */
    void kill();

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_paused = false;
    std::thread m_thread;
};

/** Control plane of one entry against the stand-ins, without the rest of the daemon. */
class EntryNode
{
public:
    EntryNode(const std::string &name, ControlSettings settings, ControlHooks hooks, std::shared_ptr<PeerTable> peers);
    ~EntryNode();
    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    NodeThread &thread() noexcept;
    ControlPlane &plane() noexcept;
    void kill();

private:
    std::shared_ptr<PeerTable> m_peers;
    Endpoint m_link;
    NodeThread m_thread;
    ControlPlane m_plane;
};

/** Control work of one sidecar, with a stand-in engine as its target. */
class SidecarNode
{
public:
    SidecarNode(const std::string &name, SidecarControlSettings settings, std::shared_ptr<PeerTable> peers);
    ~SidecarNode();
    SidecarNode(const SidecarNode &) = delete;
    SidecarNode &operator=(const SidecarNode &) = delete;

    SidecarControl &control() noexcept;
    NodeThread &thread() noexcept;
    EngineRole role() const noexcept;
    bool accepting() const noexcept;
    void setRunning(std::size_t running) noexcept;
    void kill();

private:
    DrainHooks hooks();

    std::shared_ptr<PeerTable> m_peers;
    Endpoint m_link;
    std::atomic<std::size_t> m_running = 0;
    std::atomic<bool> m_accepting = true;
    std::atomic<EngineRole> m_role = EngineRole::Mixed;
    NodeThread m_thread;
    SidecarControl m_control;
};

/** Endpoint of a node in the peer table. */
Endpoint nodeEndpoint(const std::string &name);

/** Member as given by the instance list. */
Member nodeMember(const std::string &name, const std::string &role, const std::string &failureDomain, const std::string &targetGroup);

} // namespace snipehill::support
