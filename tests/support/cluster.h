#pragma once

#include "childprocess.h"
#include "client.h"
#include "journal.h"
#include "relay.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipehill::support
{

/** Options of a target and its sidecar. */
struct TargetOptions
{
    std::string kind = "engine"; //!< or "service"
    std::string group = "assistant";
    std::string failureDomain = "fd-a";
    Json::Value faults{Json::objectValue}; //!< initial rates and faults of the stand-in
};

struct ClusterOptions
{
    int entries = 2;
    std::vector<TargetOptions> targets;
    bool relays = true; //!< false: processes connect directly, for measurements
    bool sharedTarget = false; //!< true: one stand-in is the target of all sidecars
    std::string settings = "{}"; //!< JSON merged into each process's settings, member by member
};

/** A stand-in process. */
struct StandIn
{
    std::string name;
    std::string kind;
    Endpoint endpoint;
    Endpoint control;
    std::string journalFile;
    std::string faults;
    std::optional<ChildProcess> process;
};

/** A snipehilld process and the relays on its incoming and outgoing connections. */
struct Daemon
{
    std::string name;
    std::string settingsFile;
    Endpoint callers; //!< entries only
    Endpoint link; //!< listen address; the instance list has the address of the relay
    Endpoint admin;
    Json::Value instanceEntry; //!< entry in the instance list
    std::unique_ptr<Relay> linkRelay; //!< from other processes to this one
    std::unique_ptr<Relay> logRelay; //!< from this process to the log
    std::unique_ptr<Relay> platformRelay; //!< from this process to the other platform interfaces
    std::unique_ptr<Relay> targetRelay; //!< sidecars only: from this process to its target
    std::optional<ChildProcess> process;
};

/**
 * Log, platform, targets, entries and sidecars as separate processes, stopped by the destructor. The constructor
 * assigns ports and writes settings files; start() starts the processes. If the environment variable SNIPEHILL_KEEP
 * is set, the folder with the output of each process is kept. Used by the main thread only; callers of the entries
 * may run on other threads.
 */
class Cluster
{
public:
    explicit Cluster(ClusterOptions options);
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    /** Starts the stand-ins, publishes the records, then starts sidecars and entries. Returns true once all are ready. */
    bool start(const std::vector<Json::Value> &records);

    void startStandIn(StandIn &standIn);
    void startDaemon(Daemon &daemon);
    /** Whether GET /readyz returns 200. */
    static bool ready(const Daemon &daemon);
    static bool waitReady(const Daemon &daemon);
    /** Waits until the entry sees the sidecar accept requests, or, with accepting = false, no longer does. */
    bool waitAccepting(const Daemon &entry, const Daemon &sidecar, bool accepting = true) const;

    /** Appends config records to the log. Returns the offset of the first. */
    std::int64_t publish(const std::vector<Json::Value> &records);
    /** Publishes the removal of an object. The record names the offset that it replaces. */
    std::int64_t withdraw(const std::string &kind, const std::string &name);
    /** Offset of the latest record published for an object, -1 if there is none. */
    std::int64_t offsetOf(const std::string &kind, const std::string &name) const;
    /** Retained records of a stream. */
    std::vector<Json::Value> records(const std::string &stream) const;

    /** Sets the platform's instance list to the entries of all daemons, leaving out those whose state is "gone". */
    void publishInstances();
    void setFaults(const StandIn &standIn, const std::string &json);
    Journal journalOf(const StandIn &standIn) const;
    /** Merged journals of all targets, ordered by time. */
    Journal targetJournal() const;
    /** Standard output and error of a process. */
    std::string outputOf(const std::string &name) const;
    Json::Value statusOf(const Daemon &daemon) const;

    StandIn log;
    StandIn platform;
    std::vector<StandIn> targets; //!< target i belongs to sidecar i, unless sharedTarget is set
    std::vector<Daemon> entries;
    std::vector<Daemon> sidecars;

private:
    StandIn prepareStandIn(const std::string &kind, const std::string &name, const Json::Value &faults) const;
    Daemon prepareDaemon(const std::string &role, const std::string &name, const std::string &failureDomain) const;
    void prepareEntry(int number);
    void prepareSidecar(const TargetOptions &target, int number);
    void writeSettings(Daemon &daemon, Json::Value settings) const;
    Json::Value commonSettings(const Daemon &daemon) const;

    TemporaryFolder m_folder;
    ClusterOptions m_options;
    std::vector<Json::Value> m_published; //!< config records by offset
};

/** Default configuration: two workspaces with a key each, an engine group and a service group with routes. */
std::vector<Json::Value> defaultRecords();
Json::Value workspaceRecord(const std::string &name);
Json::Value keyRecord(const std::string &name, const std::string &workspace, const std::string &secret);
Json::Value groupRecord(const std::string &name, const std::string &kind);
/** The spec may hold any field of a route; prefix and targetGroup are set from the arguments. */
Json::Value routeRecord(const std::string &name, const std::string &prefix, const std::string &group, const std::string &spec);

/** Secrets of the keys in defaultRecords(). */
constexpr const char *bureauSecret = "bureau-secret-1";
constexpr const char *kaspiySecret = "kaspiy-secret-1";

} // namespace snipehill::support
