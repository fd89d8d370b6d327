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

/** A target and the sidecar beside it. */
struct TargetOptions
{
    std::string kind = "engine"; //!< or "service"
    std::string group = "assistant";
    std::string failureDomain = "fd-a";
    Json::Value faults{Json::objectValue}; //!< rates and faults of the stand-in from the start
};

struct ClusterOptions
{
    int entries = 2;
    std::vector<TargetOptions> targets;
    bool relays = true; //!< false: processes reach each other directly, for measurements
    bool sharedTarget = false; //!< true: one stand-in is the target of all sidecars
    std::string settings = "{}"; //!< JSON merged into each process's settings, member by member
};

/** One stand-in process. */
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

/** One snipehilld process with the relays through which others reach it and it reaches others. */
struct Daemon
{
    std::string name;
    std::string settingsFile;
    Endpoint callers; //!< entries only
    Endpoint link; //!< as bound; the instance list shows the relay
    Endpoint admin;
    Json::Value instanceEntry; //!< its entry in the instance list
    std::unique_ptr<Relay> linkRelay; //!< others to this process
    std::unique_ptr<Relay> logRelay; //!< this process to the log
    std::unique_ptr<Relay> platformRelay; //!< this process to the other interfaces of the platform
    std::unique_ptr<Relay> targetRelay; //!< sidecars: to the target
    std::optional<ChildProcess> process;
};

/**
 * Log, platform, targets, entries and sidecars as separate processes, torn down with the object.
 * The constructor only lays out; start() runs all. Keeps its folder, with the output of each process, when
 * SNIPEHILL_KEEP is set. Used by the main thread; calls to entries may come from others.
 */
class Cluster
{
public:
    explicit Cluster(ClusterOptions options);
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    /** Stand-ins, the given records, then entries and sidecars; true once all are ready. */
    bool start(const std::vector<Json::Value> &records);

    void startStandIn(StandIn &standIn);
    void startDaemon(Daemon &daemon);
    /** GET /readyz answers 200. */
    static bool ready(const Daemon &daemon);
    static bool waitReady(const Daemon &daemon);
    /** The entry knows this sidecar and it accepts, or, with false, it does not. */
    bool waitAccepting(const Daemon &entry, const Daemon &sidecar, bool accepting = true) const;

    /** Appends config records straight to the log; the offset of the first. */
    std::int64_t publish(const std::vector<Json::Value> &records);
    /** Publishes that an object is no more, naming the record that set it. */
    std::int64_t withdraw(const std::string &kind, const std::string &name);
    /** Offset of the latest record published for an object, or -1. */
    std::int64_t offsetOf(const std::string &kind, const std::string &name) const;
    /** All records of a stream that are retained. */
    std::vector<Json::Value> records(const std::string &stream) const;

    /** Shows all daemons as live, but those marked otherwise in their listed entry. */
    void publishInstances();
    void setFaults(const StandIn &standIn, const std::string &json);
    Journal journalOf(const StandIn &standIn) const;
    /** Journals of all targets, in order of time. */
    Journal targetJournal() const;
    /** What a process wrote. */
    std::string outputOf(const std::string &name) const;
    Json::Value statusOf(const Daemon &daemon) const;

    StandIn log;
    StandIn platform;
    std::vector<StandIn> targets; //!< target i is that of sidecar i
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
    std::vector<Json::Value> m_published; //!< by offset
};

/** Records of the usual set: two workspaces with a key each, an engine group and a service group with routes. */
std::vector<Json::Value> defaultRecords();
Json::Value workspaceRecord(const std::string &name);
Json::Value keyRecord(const std::string &name, const std::string &workspace, const std::string &secret);
Json::Value groupRecord(const std::string &name, const std::string &kind);
/** The spec may hold any field of a route; prefix and targetGroup are set from the arguments. */
Json::Value routeRecord(const std::string &name, const std::string &prefix, const std::string &group, const std::string &spec);

/** Secrets of the keys in usualRecords(). */
constexpr const char *bureauSecret = "bureau-secret-1";
constexpr const char *kaspiySecret = "kaspiy-secret-1";

} // namespace snipehill::support
