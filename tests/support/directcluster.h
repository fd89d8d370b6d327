#pragma once

#include "support/childprocess.h"
#include "support/client.h"
#include "support/journal.h"
#include "support/relay.h"

#include <connection/endpoint.h>
#include <json/value.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipehill::support
{

/** A target of the deployment under test. */
struct DirectTarget
{
    std::string id;
    std::string group;
    std::string role; //!< as its entry says; empty for plain services
};

/** How a deployment under test is laid out. */
struct DirectClusterOptions
{
    std::size_t entries = 1;
    bool relayed = false; //!< every stand-in is a process of its own, and entries reach the store and the targets through relays
};

/**
 * A deployment on the users' platform: the store, targets and entries as processes on loopback ports, with settings files as
 * the platform writes them. Used by the test's main thread.
 */
class DirectCluster
{
public:
    DirectCluster(std::vector<DirectTarget> targets, std::size_t entryCount);
    DirectCluster(std::vector<DirectTarget> targets, const DirectClusterOptions &layout);

    /** Puts a configuration into the store, as the operator does. */
    void publish(const std::string &configuration);
    /** Puts a target's entry into the store; an empty state drops it. */
    void registerTarget(const DirectTarget &target, const std::string &state);
    /** Waits until an entry's readiness has the given answer. */
    bool waitUntilReady(std::size_t entry, bool ready = true);
    /** Sets faults of a stand-in: "store" or a target's id. */
    void setFaults(const std::string &name, const std::string &json);
    /** Events of one kind that a target's stand-in has seen. */
    std::vector<Json::Value> events(const std::string &target, const std::string &event);
    /** Sends a caller's request to an entry. */
    Response call(std::size_t entry, const Call &request);
    /** What an entry has logged so far, all its runs. */
    std::string logOf(std::size_t entry) const;
    /** Starts an entry again after its process has ended. */
    void restartEntry(std::size_t entry);
    /** Starts a target's stand-in again after its process has ended; relayed layout only. */
    void restartTarget(const std::string &id);
    /** Between the entries and a target; relayed layout only. */
    Relay &targetRelay(const std::string &id);
    /** Between one entry and the store; relayed layout only. */
    Relay &storeRelay(std::size_t entry);
    /** Everything that the stand-ins have seen, over all their runs; relayed layout only. */
    Journal journal() const;
    const Endpoint &callers(std::size_t entry) const;
    /** Leaves logs and journals where they are and returns the folder. */
    std::string keepFiles();

    std::vector<ChildProcess> entries;
    std::map<std::string, ChildProcess> targetProcesses; //!< relayed layout only

private:
    void startInOneProcess();
    void startAsProcesses();
    ChildProcess startStandIn(const std::string &name, const std::string &kind, const Endpoint &listen);
    void waitForStandIn(const std::string &name);
    void waitForStandIns();
    void startEntry(std::size_t entry);
    std::string writeSettings(std::size_t entry);
    std::string journalFile(const std::string &name) const;
    void append(const std::string &topic, const std::string &key, const std::string &value);

    TemporaryFolder m_folder;
    std::vector<DirectTarget> m_targets;
    Endpoint m_store;
    std::map<std::string, Endpoint> m_addresses; //!< of targets
    std::map<std::string, Endpoint> m_controls; //!< of stand-ins
    std::vector<Endpoint> m_callers;
    std::vector<Endpoint> m_readiness;
    std::vector<ChildProcess> m_standIns;
    std::map<std::string, std::unique_ptr<Relay>> m_targetRelays;
    std::vector<std::unique_ptr<Relay>> m_storeRelays; //!< by entry
    std::vector<std::uint16_t> m_peerPorts; //!< by entry
};

/** A caller's request with the headers that the platform's clients send. */
Call directCall(const std::string &method, const std::string &path, const std::string &id, const std::string &body = "");

/** The same with a prompt. */
Call promptCall(const std::string &path, const std::string &id, std::uint64_t promptTokens);

/** Configuration with one route of each kind: /read/, /post/, /ask/ (a stream that may be resumed), /review/ (one that runs once). */
std::string defaultConfiguration(int version, const std::string &key = "key-1");

} // namespace snipehill::support
