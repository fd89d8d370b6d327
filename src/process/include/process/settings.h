#pragma once

#include <connection/endpoint.h>
#include <core/reason.h>
#include <core/time.h>
#include <version/records.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipehill
{

/** Role of a process. */
enum class ProcessRole {
    Entry, //!< accepts callers' requests and chooses a target for each
    Sidecar, //!< runs next to one target and is the only process that sends requests to it
};

/** "entry" or "sidecar". */
const char *toString(ProcessRole role) noexcept;

/** Severity of a log event; as a setting, the lowest severity that is written. */
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/** Format of log lines. */
enum class LogFormat {
    Text,
    Json,
};

/** Server for callers at an entry: address, request limits and timeouts. */
struct CallersSettings
{
    Endpoint listen;
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 8U << 20U;
    std::uint32_t headerCount = 100;
    std::uint32_t jsonDepth = 64; //!< maximum nesting depth of a JSON body
    milliseconds idleTimeout{60000}; //!< maximum time between two requests on a connection
    milliseconds requestTimeout{10000}; //!< maximum time from the first to the last byte of a request
};

/** Server for the other snipehill processes. */
struct LinkSettings
{
    Endpoint listen;
    milliseconds heartbeat{1000};
};

/** Server for operators and their tools. */
struct AdminSettings
{
    Endpoint listen;
    bool allowRemote = false; //!< permits a listen address other than loopback
};

/** The target that a sidecar serves. */
struct TargetSettings
{
    Endpoint address;
    std::string group;
    TargetKind kind = TargetKind::Service;
    std::uint32_t slots = 8; //!< maximum number of concurrent requests at the target
};

/** Addresses of the platform services. */
struct PlatformSettings
{
    Endpoint log;
    Endpoint instances;
    Endpoint targets; //!< entries only
    Endpoint usage; //!< entries only
};

/** How log lines are written. */
struct LoggingSettings
{
    LogLevel level = LogLevel::Info;
    LogFormat format = LogFormat::Text;
    milliseconds repeatWindow{10000}; //!< repeats of an event within this time are counted instead of written
    bool toStandardOutput
        = false; //!< written by a background thread that drops lines rather than block the logging thread; if false, lines go to standard error
};

/** Whether and where finished spans are written. */
struct TracesSettings
{
    bool enabled = false;
    std::string file; //!< opened for appending; empty: standard output
};

/** Graceful shutdown. */
struct DrainSettings
{
    milliseconds balancerDelay{1000}; //!< an entry keeps accepting requests this long after it reports that it is not ready
    milliseconds timeout{30000}; //!< requests still running after this time are aborted
};

/** Durations of the control plane. Must be equal in all processes of a deployment. */
struct TimingSettings
{
    milliseconds lease{6000};
    milliseconds leaseMargin{1000}; //!< a holder stops relying on its lease this much before its end; other claimants wait this much longer
    milliseconds grant{2000};
    milliseconds freshness{3000}; //!< keyed routes are served only after contact with the log or an up-to-date peer within this time
    milliseconds instancesPoll{500};
    milliseconds usageWindow{60000};
};

/** Settings of a process, from its settings file. Filled by parseSettings(), constant afterwards. */
struct Settings
{
    std::string instance;
    ProcessRole role = ProcessRole::Entry;
    std::string region = "default";
    std::string failureDomain = "default";
    std::uint32_t threads = 2;
    CallersSettings callers; //!< entries only
    LinkSettings link;
    AdminSettings admin;
    TargetSettings target; //!< sidecars only
    PlatformSettings platform;
    std::vector<Endpoint> peers; //!< link servers to contact before the instance list is known
    LoggingSettings logging;
    TracesSettings traces;
    DrainSettings drain;
    TimingSettings timings;
};

/** Description of one field, from the table that drives the parser. docs/SETTINGS.md lists all fields. */
struct SettingsField
{
    std::string path; //!< dotted, for example "callers.listen"
    std::string allowed; //!< type and range, for example "integer from 1 to 256"
    std::string defaultValue; //!< JSON text; empty: the field is required
};

/** All fields, in table order. */
std::vector<SettingsField> settingsFields();

/** Parses JSON with comments. On an error returns nothing and sets a reason that names the field and its allowed values. */
std::optional<Settings> parseSettings(std::string_view text, Reason &reason);

/** Reads and parses a file, see parseSettings(). The reason also names the file. */
std::optional<Settings> readSettingsFile(const std::string &path, Reason &reason);

} // namespace snipehill
