#include "soakrun.h"

#include <popt.h>

#include <iostream>

using namespace snipehill;
using namespace snipehill::soak;

namespace
{

/** Command line options. */
struct SoakOptions
{
    long long firstSeed = 1;
    int seeds = 1;
    int entries = 3;
    int callers = 12;
    int seconds = 10;
    int faults = 12;
    int plannedWork = 10;
    int copies = 4;
    int statements = 4;
    int brokenResponses = 3;
};

bool parseOptions(int argc, const char **argv, SoakOptions &options)
{
    const poptOption table[] = {
        {"seed", 's', POPT_ARG_LONGLONG, &options.firstSeed, 0, "first seed", "NUMBER"},
        {"seeds", 'n', POPT_ARG_INT, &options.seeds, 0, "number of seeds to run, one after the other", "COUNT"},
        {"entries", 'e', POPT_ARG_INT, &options.entries, 0, "entry processes", "COUNT"},
        {"callers", 'c', POPT_ARG_INT, &options.callers, 0, "callers, each with a persistent connection", "COUNT"},
        {"seconds", 't', POPT_ARG_INT, &options.seconds, 0, "period in which faults are injected", "SECONDS"},
        {"faults", 'f', POPT_ARG_INT, &options.faults, 0, "faults per run", "COUNT"},
        {"planned-work", 'p', POPT_ARG_INT, &options.plannedWork, 0, "planned work and silent targets per run", "COUNT"},
        {"copies", 'o', POPT_ARG_INT, &options.copies, 0, "older copies of the store, with kills and restarts beside them, per run", "COUNT"},
        {"statements",
         'a',
         POPT_ARG_INT,
         &options.statements,
         0,
         "targets that say that they leave or want a pause, with kills and restarts beside them, per run",
         "COUNT"},
        {"broken-responses", 'b', POPT_ARG_INT, &options.brokenResponses, 0, "targets whose responses are broken, per run", "COUNT"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    const int end = poptGetNextOpt(context);
    const bool rest = poptPeekArg(context) != nullptr;
    poptFreeContext(context);
    return end == -1 && !rest && options.seeds > 0 && options.entries > 0 && options.callers > 0 && options.seconds > 2 && options.faults >= 0
        && options.plannedWork >= 0 && options.copies >= 0 && options.statements >= 0 && options.brokenResponses >= 0;
}

} // namespace

int main(int argc, const char **argv)
{
    SoakOptions options;
    if (!parseOptions(argc, argv, options)) {
        std::cerr << "soak: invalid options, see --help\n";
        return 2;
    }
    SoakSize size;
    size.entries = static_cast<std::size_t>(options.entries);
    size.callers = static_cast<std::size_t>(options.callers);
    size.duration = std::chrono::seconds(options.seconds);
    size.faults = static_cast<std::size_t>(options.faults);
    size.plannedWork = static_cast<std::size_t>(options.plannedWork);
    size.copies = static_cast<std::size_t>(options.copies);
    size.statements = static_cast<std::size_t>(options.statements);
    size.brokenResponses = static_cast<std::size_t>(options.brokenResponses);
    int failed = 0;
    for (int i = 0; i < options.seeds; ++i) {
        const auto seed = static_cast<std::uint64_t>(options.firstSeed + i);
        const SoakOutcome outcome = runSoak(seed, size);
        std::cout << "seed " << seed << ": " << outcome.requests << " requests, " << outcome.served << " served, " << outcome.violations.size() << " violations"
                  << std::endl;
        if (outcome.violations.empty()) {
            continue;
        }
        ++failed;
        for (const std::string &fault : outcome.faults) {
            std::cout << "  " << fault << '\n';
        }
        for (const std::string &violation : outcome.violations) {
            std::cout << "  VIOLATED: " << violation << '\n';
        }
        std::cout << "  logs and journals: " << outcome.artifactFolder << std::endl;
    }
    std::cout << options.seeds - failed << " of " << options.seeds << " seeds without violation\n";
    return failed == 0 ? 0 : 1;
}
