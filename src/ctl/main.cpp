#include "command.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>

namespace
{

using namespace snipehill;

constexpr const char *usage
    = "COMMAND [ARGUMENT...]\n\n"
      "  check DIR                     check records offline\n"
      "  diff DIR                      compare records with what is in force (--log)\n"
      "  publish DIR                   put records in force (--log, --instances)\n"
      "  status                        show processes and what they do (--instances)\n"
      "  key create DIR NAME           make a key and its record (--workspace)\n"
      "  key withdraw DIR NAME         turn a key's record into a withdrawal\n"
      "  blocks IP:PORT                show what an entry refuses because it crashes targets (address of its metrics)\n"
      "  blocks IP:PORT release CAUSE  let requests with the cause through again, at all entries\n"
      "  trace REQUEST_ID FILE...      draw a request's spans\n"
      "  explain REQUEST_ID FILE...    tell from logs what became of a request and why\n\n"
      "Exit codes: 0 done, 1 errors in records or differences or a process not ready, 2 wrong command line,\n"
      "3 a service or file can't be reached, 4 another operator was first, 5 published but some process lags,\n"
      "6 unknown whether published; repeating is safe";

/** Option values set by popt, which allocates the strings. */
struct RawOptions
{
    char *log = nullptr;
    char *instances = nullptr;
    char *workspace = nullptr;
    int waitMs = 10000;
    int json = 0;
    int prune = 0;
    int version = 0;
};

using PoptContext = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;

bool parseEndpointOption(const char *text, const char *option, std::optional<Endpoint> &endpoint)
{
    if (!text) {
        return true;
    }
    Reason reason;
    endpoint = parseEndpoint(text, reason);
    if (!endpoint) {
        failCommand(ExitUsage, std::string(option) + ": " + reason.detail);
    }
    return endpoint.has_value();
}

bool convertOptions(const RawOptions &raw, CommandOptions &options)
{
    options.json = raw.json != 0;
    options.prune = raw.prune != 0;
    options.wait = milliseconds(raw.waitMs);
    options.workspace = raw.workspace ? raw.workspace : "";
    return parseEndpointOption(raw.log, "--log", options.log) && parseEndpointOption(raw.instances, "--instances", options.instances);
}

int runCommand(const std::string &name, const CommandOptions &options)
{
    static const std::map<std::string, int (*)(const CommandOptions &)> commands{
        {"check", runCheck},
        {"diff", runDiff},
        {"publish", runPublish},
        {"status", runStatus},
        {"key", runKey},
        {"trace", runTrace},
        {"explain", runExplain},
        {"blocks", runBlocks},
    };
    const auto command = commands.find(name);
    return command == commands.end() ? failCommand(ExitUsage, "unknown command " + name + ", see --help") : command->second(options);
}

} // namespace

int main(int argc, char **argv)
{
    RawOptions raw;
    const poptOption table[] = {{"log", 'l', POPT_ARG_STRING, &raw.log, 0, "the platform's log service", "IP:PORT"},
                                {"instances", 'i', POPT_ARG_STRING, &raw.instances, 0, "the platform's instance list", "IP:PORT"},
                                {"workspace", 'w', POPT_ARG_STRING, &raw.workspace, 0, "workspace of a new key", "NAME"},
                                {"wait-ms", '\0', POPT_ARG_INT, &raw.waitMs, 0, "how long publish waits for all processes, 10000 by default", "MS"},
                                {"prune", '\0', POPT_ARG_NONE, &raw.prune, 0, "withdraw what is in force and in no file", nullptr},
                                {"json", 'j', POPT_ARG_NONE, &raw.json, 0, "print JSON, for scripts", nullptr},
                                {"version", 'v', POPT_ARG_NONE, &raw.version, 0, "print the version and exit", nullptr},
                                POPT_AUTOHELP POPT_TABLEEND};
    const PoptContext context(poptGetContext("snipehillctl", argc, const_cast<const char **>(argv), table, 0), poptFreeContext);
    poptSetOtherOptionHelp(context.get(), usage);
    const int parsed = poptGetNextOpt(context.get());
    if (parsed < -1) {
        return failCommand(ExitUsage, std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " + poptStrerror(parsed));
    }
    if (raw.version) {
        std::printf("snipehillctl %s\n", SNIPEHILL_VERSION);
        return ExitSuccess;
    }
    CommandOptions options;
    if (!convertOptions(raw, options)) {
        return ExitUsage;
    }
    const char *name = poptGetArg(context.get());
    if (!name) {
        poptPrintHelp(context.get(), stderr, 0);
        return ExitUsage;
    }
    while (const char *argument = poptGetArg(context.get())) {
        options.arguments.emplace_back(argument);
    }
    return runCommand(name, options);
}
