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

/** What a process does. */
enum class ProcessRole {
    Entry, //!< takes callers' requests and chooses targets
    Sidecar, //!< runs beside one target and is the only sender to it
};

/** "entry" or "sidecar". */
const char *toString(ProcessRole role) noexcept;

/** Least severe event that is written to the log. */
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/** Form of log lines. */
enum class LogFormat {
    Text,
    Json,
};

/** Callers' side of an entry: where it listens and what a request may be. */
struct CallersSettings
{
    Endpoint listen;
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 8U << 20U;
    std::uint32_t headerCount = 100;
    std::uint32_t jsonDepth = 64; //!< nesting of a JSON body
    milliseconds idleTimeout{60000}; //!< between two requests of a connection
    milliseconds requestTimeout{10000}; //!< from the first byte of a request to its last
};

/** Server for the other processes of the system. */
struct LinkSettings
{
    Endpoint listen;
    milliseconds heartbeat{1000};
};

/** Server for operators and their tools. */
struct AdminSettings
{
    Endpoint listen;
    bool allowRemote = false; //!< listen may be another address than loopback
};

/** The target beside a sidecar. */
struct TargetSettings
{
    Endpoint address;
    std::string group;
    TargetKind kind = TargetKind::Service;
    std::uint32_t slots = 8; //!< requests that the target runs side by side
};

/** Services of the platform. */
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
    milliseconds repeatWindow{10000}; //!< equal events within it are counted instead of written
    bool toStandardOutput = false; //!< by a thread of its own, which drops lines rather than delay their writers; else standard error
};

/** Whether finished spans are written. */
struct TracesSettings
{
    bool enabled = false;
    std::string file; //!< appended to; empty: standard output
};

/** How a process ends. */
struct DrainSettings
{
    milliseconds balancerDelay{1000}; //!< an entry goes on accepting this long after it turned not ready
    milliseconds timeout{30000}; //!< work still under way after it is given up
};

/** Durations of the control work. Equal in all processes of one deployment. */
struct TimingSettings
{
    milliseconds lease{6000};
    milliseconds leaseMargin{1000}; //!< holders end their belief earlier and rivals wait longer by it
    milliseconds grant{2000};
    milliseconds freshness{3000}; //!< keyed routes need contact with the log or an up-to-date peer within it
    milliseconds instancesPoll{500};
    milliseconds usageWindow{60000};
};

/** Everything that a process learns from its settings file. Filled by parseSettings(), constant afterwards. */
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
    std::vector<Endpoint> peers; //!< link servers to ask before the instance list is known
    LoggingSettings logging;
    TracesSettings traces;
    DrainSettings drain;
    TimingSettings timings;
};

/** Description of one field, from the table that the parser works by; docs/SETTINGS.md lists each. */
struct SettingsField
{
    std::string path; //!< dotted, for example "callers.listen"
    std::string allowed; //!< type and range, for example "integer from 1 to 256"
    std::string defaultValue; //!< as in JSON; empty: none, the field must be given
};

/** All fields in the order of the table. */
std::vector<SettingsField> settingsFields();

/** Parses JSON with comments; empty with a reason that names the field and what it may be. */
std::optional<Settings> parseSettings(std::string_view text, Reason &reason);

/** Reads and parses a file. The reason names the file too. */
std::optional<Settings> readSettingsFile(const std::string &path, Reason &reason);

} // namespace snipehill
