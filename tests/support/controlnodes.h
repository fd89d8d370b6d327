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

/** Control methods of the nodes of one test, by the endpoint under which they are listed. Thread-safe. */
class PeerTable
{
public:
    void registerMethods(const Endpoint &endpoint, RpcMethods methods);
    void remove(const Endpoint &endpoint);
    /** Calls a method where it is offered; a table that was removed does not answer. */
    std::optional<Json::Value> call(const Endpoint &endpoint, const std::string &method, const Json::Value &params, Reason &reason) const;

private:
    mutable std::mutex m_mutex;
    std::map<Endpoint, RpcMethods> m_methods;
};

/** A PeerCall into the table. */
PeerCall makePeerCall(std::shared_ptr<PeerTable> table);

/** One thread that runs an io_context, as a process would: can be paused and killed. */
class NodeThread
{
public:
    NodeThread();
    ~NodeThread();
    NodeThread(const NodeThread &) = delete;
    NodeThread &operator=(const NodeThread &) = delete;

    boost::asio::io_context &context() noexcept;
    /** The thread stands still, wherever its coroutines are, until resume(). */
    void pause();
    void resume();
    /** Nothing of the node runs any more. */
    void kill();

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_paused = false;
    std::thread m_thread;
};

/** Control work of one entry against the stand-ins, without the daemon around it. */
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

/** Authority of one sidecar over a stand-in engine. */
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

/** Endpoint under which a node of this name is listed. */
Endpoint nodeEndpoint(const std::string &name);

/** A member as the instance list would show it. */
Member nodeMember(const std::string &name, const std::string &role, const std::string &failureDomain, const std::string &targetGroup);

} // namespace snipehill::support
