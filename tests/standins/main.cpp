#include "standin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <popt.h>

#include <csignal>
#include <iostream>
#include <vector>

using namespace snipehill;
using namespace snipehill::standins;

namespace
{

constexpr std::uint64_t bodyLimit = 64U << 20U; // bytes
constexpr milliseconds idleTimeout{3600000};

/** A stand-in as given on the command line. */
struct StandInSpec
{
    std::string kind;
    std::string name;
    std::string listen;
    std::string control;
    std::string journal;
    std::string faults;
};

enum Option {
    KindOption = 1,
    NameOption,
    ListenOption,
    ControlOption,
    JournalOption,
    FaultsOption,
};

/** Options after a --kind belong to that stand-in; a process may run several. */
bool parseOptions(int argc, const char **argv, std::vector<StandInSpec> &specs)
{
    const poptOption table[] = {
        {"kind",
         'k',
         POPT_ARG_STRING,
         nullptr,
         KindOption,
         "log, engine, service, platform, platform-store or platform-server; repeatable, further options belong to the last one",
         "KIND"},
        {"name", 'n', POPT_ARG_STRING, nullptr, NameOption, "name in the journal", "NAME"},
        {"listen", 'l', POPT_ARG_STRING, nullptr, ListenOption, "address and port served", "IP:PORT"},
        {"control", 'c', POPT_ARG_STRING, nullptr, ControlOption, "address and port of /journal and /faults", "IP:PORT"},
        {"journal", 'j', POPT_ARG_STRING, nullptr, JournalOption, "file that gets each journal line", "FILE"},
        {"faults", 'f', POPT_ARG_STRING, nullptr, FaultsOption, "faults and rates set from the start", "JSON"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    int option = 0;
    while ((option = poptGetNextOpt(context)) > 0) {
        char *argument = poptGetOptArg(context);
        const std::string value = argument;
        free(argument);
        if (option == KindOption) {
            specs.push_back({value, value, "", "", "", ""});
            continue;
        }
        if (specs.empty()) {
            break;
        }
        StandInSpec &spec = specs.back();
        std::string *const fields[] = {&spec.kind, &spec.name, &spec.listen, &spec.control, &spec.journal, &spec.faults};
        *fields[option - KindOption] = value;
    }
    const bool valid = option == -1 && !specs.empty();
    poptFreeContext(context);
    return valid;
}

std::unique_ptr<StandIn> makeStandIn(const StandInSpec &spec)
{
    if (spec.kind == "log") {
        return makeLog(spec.name, spec.journal);
    }
    if (spec.kind == "engine") {
        return makeEngine(spec.name, spec.journal);
    }
    if (spec.kind == "service") {
        return makeService(spec.name, spec.journal);
    }
    if (spec.kind == "platform-store") {
        return makePlatformStore(spec.name, spec.journal);
    }
    if (spec.kind == "platform-server") {
        return makePlatformServer(spec.name, spec.journal);
    }
    if (spec.kind == "platform") {
        return makePlatform(spec.name, spec.journal);
    }
    return nullptr;
}

/** A stand-in with its interface and control servers. */
struct RunningStandIn
{
    std::unique_ptr<StandIn> standIn;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpServer> control;
};

bool listen(HttpServer &server, const std::string &address)
{
    Reason reason;
    const auto endpoint = parseEndpoint(address, reason);
    if (!endpoint || !server.start(*endpoint, reason)) {
        std::cerr << "standins: " << toString(reason) << '\n';
        return false;
    }
    return true;
}

bool serve(boost::asio::io_context &context, const StandInSpec &spec, std::vector<RunningStandIn> &all)
{
    RunningStandIn running;
    running.standIn = makeStandIn(spec);
    if (!running.standIn) {
        std::cerr << "standins: unknown kind " << spec.kind << '\n';
        return false;
    }
    if (const auto faults = parseJson(spec.faults); faults && faults->isObject()) {
        running.standIn->faults.merge(*faults);
    }
    HttpServerLimits limits;
    limits.bodyBytes = bodyLimit;
    limits.idleTimeout = idleTimeout;
    StandIn &standIn = *running.standIn;
    running.server = std::make_unique<HttpServer>(context.get_executor(), limits, [&standIn](HttpExchange &exchange) {
        return standIn.handle(exchange);
    });
    running.control = std::make_unique<HttpServer>(context.get_executor(), limits, [&standIn](HttpExchange &exchange) {
        return handleControl(standIn, exchange);
    });
    const bool listening = listen(*running.server, spec.listen) && listen(*running.control, spec.control);
    all.push_back(std::move(running));
    return listening;
}

} // namespace

int main(int argc, const char **argv)
{
    std::vector<StandInSpec> specs;
    if (!parseOptions(argc, argv, specs)) {
        std::cerr << "standins: invalid options, see --help\n";
        return 2;
    }
    std::vector<RunningStandIn> all;
    boost::asio::io_context context(1);
    for (const StandInSpec &spec : specs) {
        if (!serve(context, spec, all)) {
            return 1;
        }
    }
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) {
        context.stop();
    });
    context.run();
    return 0;
}
