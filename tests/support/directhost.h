#pragma once

#include "support/childprocess.h"
#include "support/client.h"

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

/**
 * A deployment on the users' platform: the store, targets and entries as processes on loopback ports, with settings files as
 * the platform writes them. Used by the test's main thread.
 */
class DirectHost
{
public:
    DirectHost(std::vector<DirectTarget> targets, std::size_t entryCount);

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
    Answer call(std::size_t entry, const Call &request);
    /** What an entry has logged so far. */
    std::string logOf(std::size_t entry) const;

    std::vector<ChildProcess> entries;

private:
    void startStandIns();
    void startEntry(std::size_t entry);
    void append(const std::string &topic, const std::string &key, const std::string &value);

    TemporaryFolder m_folder;
    std::vector<DirectTarget> m_targets;
    Endpoint m_store;
    std::map<std::string, Endpoint> m_addresses; //!< of targets
    std::map<std::string, Endpoint> m_controls; //!< of stand-ins
    std::vector<Endpoint> m_callers;
    std::vector<Endpoint> m_readiness;
    std::vector<ChildProcess> m_standIns;
};

/** A caller's request with the headers that the platform's clients send. */
Call directCall(const std::string &method, const std::string &path, const std::string &id, const std::string &body = "");

/** The same with a prompt. */
Call promptCall(const std::string &path, const std::string &id, std::uint64_t promptTokens);

/** Configuration with one route of each kind: /read/, /post/, /ask/ (a stream that may be resumed), /review/ (one that runs once). */
std::string usualConfiguration(int version, const std::string &key = "key-1");

} // namespace snipehill::support
