#include "cluster.h"

#include "wait.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace snipehill::support
{

namespace
{

const std::string daemonProgram = std::string(SNIPEHILL_BIN_DIR) + "/src/snipehilld";
const std::string standInProgram = std::string(SNIPEHILL_BIN_DIR) + "/tests/snipehill_standins";

Endpoint loopback()
{
    return {"127.0.0.1", freePort()};
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/** Merges objects recursively; other values are replaced. */
void merge(Json::Value &into, const Json::Value &changes)
{
    for (const std::string &name : changes.getMemberNames()) {
        if (changes[name].isObject() && into[name].isObject()) {
            merge(into[name], changes[name]);
        } else {
            into[name] = changes[name];
        }
    }
}

bool sameObject(const Json::Value &record, const std::string &kind, const std::string &name)
{
    return record["kind"] == kind && record["name"] == name;
}

} // namespace

Cluster::Cluster(ClusterOptions options) : m_options(std::move(options))
{
    log = prepareStandIn("log", "log", Json::Value(Json::objectValue));
    platform = prepareStandIn("platform", "platform", Json::Value(Json::objectValue));
    int number = 0;
    for (const TargetOptions &target : m_options.targets) {
        prepareSidecar(target, ++number);
    }
    for (int entry = 1; entry <= m_options.entries; ++entry) {
        prepareEntry(entry);
    }
}

Cluster::~Cluster()
{
    if (std::getenv("SNIPEHILL_KEEP") != nullptr) {
        m_folder.keep();
    }
}

StandIn Cluster::prepareStandIn(const std::string &kind, const std::string &name, const Json::Value &faults) const
{
    StandIn standIn{name, kind, loopback(), loopback(), m_folder.file(name + ".journal"), writeJson(faults), std::nullopt};
    return standIn;
}

Daemon Cluster::prepareDaemon(const std::string &role, const std::string &name, const std::string &failureDomain) const
{
    Daemon daemon;
    daemon.name = name;
    daemon.settingsFile = m_folder.file(name + ".json");
    daemon.link = loopback();
    daemon.admin = loopback();
    if (m_options.relays) {
        daemon.linkRelay = std::make_unique<Relay>(daemon.link);
        daemon.logRelay = std::make_unique<Relay>(log.endpoint);
        daemon.platformRelay = std::make_unique<Relay>(platform.endpoint);
    }
    daemon.instanceEntry["instance"] = name;
    daemon.instanceEntry["role"] = role;
    daemon.instanceEntry["link"] = toString(m_options.relays ? daemon.linkRelay->endpoint() : daemon.link);
    daemon.instanceEntry["admin"] = toString(daemon.admin);
    daemon.instanceEntry["region"] = "r1";
    daemon.instanceEntry["failureDomain"] = failureDomain;
    daemon.instanceEntry["targetGroup"] = "";
    daemon.instanceEntry["state"] = "live";
    return daemon;
}

Json::Value Cluster::commonSettings(const Daemon &daemon) const
{
    Json::Value settings;
    settings["schemaVersion"] = 1;
    settings["instance"] = daemon.name;
    settings["role"] = daemon.instanceEntry["role"];
    settings["region"] = "r1";
    settings["failureDomain"] = daemon.instanceEntry["failureDomain"];
    settings["link"]["listen"] = toString(daemon.link);
    settings["admin"]["listen"] = toString(daemon.admin);
    settings["platform"]["log"] = toString(m_options.relays ? daemon.logRelay->endpoint() : log.endpoint);
    settings["platform"]["instances"] = toString(m_options.relays ? daemon.platformRelay->endpoint() : platform.endpoint);
    return settings;
}

void Cluster::prepareSidecar(const TargetOptions &target, int number)
{
    const std::string suffix = std::to_string(number);
    if (targets.empty() || !m_options.sharedTarget) {
        targets.push_back(prepareStandIn(target.kind, "target-" + suffix, target.faults));
    }
    Daemon daemon = prepareDaemon("sidecar", "sidecar-" + suffix, target.failureDomain);
    daemon.instanceEntry["targetGroup"] = target.group;
    if (m_options.relays) {
        daemon.targetRelay = std::make_unique<Relay>(targets.back().endpoint);
    }
    Json::Value settings = commonSettings(daemon);
    settings["target"]["address"] = toString(m_options.relays ? daemon.targetRelay->endpoint() : targets.back().endpoint);
    settings["target"]["group"] = target.group;
    settings["target"]["kind"] = target.kind;
    writeSettings(daemon, std::move(settings));
    sidecars.push_back(std::move(daemon));
}

void Cluster::prepareEntry(int number)
{
    Daemon daemon = prepareDaemon("entry", "entry-" + std::to_string(number), number % 2 == 1 ? "fd-a" : "fd-b");
    daemon.callers = loopback();
    Json::Value settings = commonSettings(daemon);
    settings["callers"]["listen"] = toString(daemon.callers);
    settings["platform"]["targets"] = toString(m_options.relays ? daemon.platformRelay->endpoint() : platform.endpoint);
    settings["platform"]["usage"] = toString(m_options.relays ? daemon.platformRelay->endpoint() : platform.endpoint);
    writeSettings(daemon, std::move(settings));
    entries.push_back(std::move(daemon));
}

void Cluster::writeSettings(Daemon &daemon, Json::Value settings) const
{
    const auto changes = parseJson(m_options.settings);
    if (!changes) {
        throw std::runtime_error("ClusterOptions::settings is not valid JSON");
    }
    merge(settings, *changes);
    std::ofstream(daemon.settingsFile) << writeJson(settings);
}

bool Cluster::start(const std::vector<Json::Value> &records)
{
    startStandIn(log);
    startStandIn(platform);
    for (StandIn &target : targets) {
        startStandIn(target);
    }
    publish(records);
    publishInstances();
    for (Daemon &sidecar : sidecars) {
        startDaemon(sidecar);
    }
    for (Daemon &entry : entries) {
        startDaemon(entry);
    }
    const bool ready = std::all_of(sidecars.begin(), sidecars.end(), waitReady) && std::all_of(entries.begin(), entries.end(), waitReady);
    return ready && std::all_of(entries.begin(), entries.end(), [this](const Daemon &entry) {
               return std::all_of(sidecars.begin(), sidecars.end(), [this, &entry](const Daemon &sidecar) {
                   return waitAccepting(entry, sidecar);
               });
           });
}

bool Cluster::waitAccepting(const Daemon &entry, const Daemon &sidecar, bool accepting) const
{
    return waitUntil([&] {
        const Json::Value status = statusOf(entry);
        bool seen = false;
        for (const Json::Value &target : status["targets"]) {
            seen = seen || (target["instance"] == sidecar.name && target["accepting"].asBool() && !target["leaving"].asBool());
        }
        return seen == accepting;
    });
}

void Cluster::startStandIn(StandIn &standIn)
{
    const std::vector<std::string> arguments{"--kind",
                                             standIn.kind,
                                             "--name",
                                             standIn.name,
                                             "--listen",
                                             toString(standIn.endpoint),
                                             "--control",
                                             toString(standIn.control),
                                             "--journal",
                                             standIn.journalFile,
                                             "--faults",
                                             standIn.faults};
    standIn.process.emplace(standInProgram, arguments, m_folder.file(standIn.name + ".out"));
    const bool up = waitUntil([&standIn] {
        return callOnce(standIn.control, {.target = "/faults"}).status == 200;
    });
    if (!up) {
        throw std::runtime_error("stand-in " + standIn.name + " does not answer");
    }
}

void Cluster::startDaemon(Daemon &daemon)
{
    daemon.process.emplace(daemonProgram, std::vector<std::string>{"--settings", daemon.settingsFile}, m_folder.file(daemon.name + ".out"));
}

bool Cluster::ready(const Daemon &daemon)
{
    return callOnce(daemon.admin, {.target = "/readyz", .timeout = milliseconds(2000)}).status == 200;
}

bool Cluster::waitReady(const Daemon &daemon)
{
    return waitUntil([&daemon] {
        return ready(daemon);
    });
}

std::int64_t Cluster::publish(const std::vector<Json::Value> &records)
{
    Json::Value body(Json::arrayValue);
    for (Json::Value record : records) {
        const std::int64_t replaced = offsetOf(record["kind"].asString(), record["name"].asString());
        if (replaced >= 0 && !record.isMember("replaces")) {
            record["replaces"] = Json::Int64(replaced);
        }
        body.append(std::move(record));
    }
    const Response response = callOnce(log.endpoint, postJson("/streams/config/records", body));
    const auto value = parseJson(response.body);
    if (response.status != 200 || !value) {
        throw std::runtime_error("appending config records to the log failed");
    }
    const std::int64_t first = (*value)["first"].asInt64();
    m_published.resize(static_cast<std::size_t>(first));
    m_published.insert(m_published.end(), body.begin(), body.end());
    return first;
}

std::int64_t Cluster::withdraw(const std::string &kind, const std::string &name)
{
    Json::Value record;
    record["kind"] = kind;
    record["schemaVersion"] = 1;
    record["name"] = name;
    record["withdrawn"] = true;
    return publish({record});
}

std::int64_t Cluster::offsetOf(const std::string &kind, const std::string &name) const
{
    for (auto record = m_published.rbegin(); record != m_published.rend(); ++record) {
        if (sameObject(*record, kind, name)) {
            return std::distance(record, m_published.rend()) - 1;
        }
    }
    return -1;
}

std::vector<Json::Value> Cluster::records(const std::string &stream) const
{
    const Response response = callOnce(log.endpoint, {.target = "/streams/" + stream + "/records?from=0&max=1000000"});
    const auto page = parseJson(response.body);
    std::vector<Json::Value> records;
    if (page) {
        for (const Json::Value &entry : (*page)["records"]) {
            records.push_back(entry["record"]);
        }
    }
    return records;
}

void Cluster::publishInstances()
{
    Json::Value list;
    list["instances"] = Json::Value(Json::arrayValue);
    for (const std::vector<Daemon> *daemons : {&entries, &sidecars}) {
        for (const Daemon &daemon : *daemons) {
            if (daemon.instanceEntry["state"] != "gone") {
                list["instances"].append(daemon.instanceEntry);
            }
        }
    }
    callOnce(platform.control, postJson("/instances", list));
}

void Cluster::setFaults(const StandIn &standIn, const std::string &json)
{
    Call call{.method = "POST", .target = "/faults", .body = json};
    if (!parseJson(json) || callOnce(standIn.control, call).status != 200) {
        throw std::runtime_error("faults of " + standIn.name + " were not set: " + json);
    }
}

Journal Cluster::journalOf(const StandIn &standIn) const
{
    return parseJournal(readFile(standIn.journalFile));
}

Journal Cluster::targetJournal() const
{
    std::vector<Journal> journals;
    for (const StandIn &target : targets) {
        journals.push_back(journalOf(target));
    }
    return mergeJournals(journals);
}

std::string Cluster::outputOf(const std::string &name) const
{
    return readFile(m_folder.file(name + ".out"));
}

Json::Value Cluster::statusOf(const Daemon &daemon) const
{
    return parseJson(callOnce(daemon.admin, {.target = "/status"}).body).value_or(Json::Value());
}

} // namespace snipehill::support
