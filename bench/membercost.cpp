// Control cost of idle processes by number of members: CPU time, memory and loopback traffic of an entry and a sidecar in
// deployments of 10, 100 and 300 processes with one shared target.

#include "bounds.h"
#include "processes/procfs.h"
#include "report.h"

#include <support/client.h>
#include <support/cluster.h>
#include <support/wait.h>

#include <algorithm>
#include <fstream>
#include <numeric>
#include <vector>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr int entriesInTen = 2; //!< entries among ten members
constexpr seconds settleTime{8};
constexpr seconds measureTime{15};

struct Processes
{
    std::vector<pid_t> entries;
    std::vector<pid_t> sidecars;
};

Processes processesOf(const Cluster &cluster)
{
    Processes processes;
    for (const Daemon &daemon : cluster.entries) {
        processes.entries.push_back(daemon.process->id());
    }
    for (const Daemon &daemon : cluster.sidecars) {
        processes.sidecars.push_back(daemon.process->id());
    }
    return processes;
}

double totalSeconds(const std::vector<pid_t> &processes)
{
    return std::accumulate(processes.begin(), processes.end(), 0.0, [](double sum, pid_t process) {
        return sum + bench::processorSeconds(process);
    });
}

double meanMegabytes(const std::vector<pid_t> &processes)
{
    const double sum = std::accumulate(processes.begin(), processes.end(), 0.0, [](double total, pid_t process) {
        return total + bench::residentMegabytes(process);
    });
    return sum / static_cast<double>(processes.size());
}

bench::Row measure(int members)
{
    ClusterOptions options;
    options.relays = false;
    options.sharedTarget = true;
    options.entries = members * entriesInTen / 10;
    TargetOptions service;
    service.kind = "service";
    service.group = "licences";
    options.targets.assign(static_cast<std::size_t>(members - options.entries), service);
    Cluster cluster(options);
    bench::Row row{std::to_string(members) + " members", {}};
    if (!cluster.start(defaultRecords())) {
        std::printf("%d members did not become ready\n", members);
        return row;
    }
    sleepFor(settleTime);
    const Processes processes = processesOf(cluster);
    const double entryBefore = totalSeconds(processes.entries);
    const double sidecarBefore = totalSeconds(processes.sidecars);
    const double bytesBefore = bench::loopbackBytes();
    const TimePoint start = Clock::now();
    sleepFor(measureTime);
    const double elapsed = std::chrono::duration<double>(Clock::now() - start).count();
    const auto entries = static_cast<double>(processes.entries.size());
    const auto sidecars = static_cast<double>(processes.sidecars.size());
    row.values = {{"entry_core%", 100 * (totalSeconds(processes.entries) - entryBefore) / elapsed / entries},
                  {"sidecar_core%", 100 * (totalSeconds(processes.sidecars) - sidecarBefore) / elapsed / sidecars},
                  {"entry_MB", meanMegabytes(processes.entries)},
                  {"sidecar_MB", meanMegabytes(processes.sidecars)},
                  {"KB/s_each", (bench::loopbackBytes() - bytesBefore) / 1024 / elapsed / members}};
    return row;
}

} // namespace

int main(int argc, char **argv)
{
    const bench::Report report("membercost", argc, argv);
    std::printf("bounds for control: %.0f%% of a core, %.0f MB, 2 KB/s\n", 100 * bounds::controlCpuShare, bounds::controlBytes / 1024 / 1024);
    std::vector<bench::Row> rows;
    for (const int members : {10, 100, 300}) {
        rows.push_back(measure(members));
    }
    report.table("idle processes; loopback bytes with IP and TCP headers, platform calls included", rows);
    return 0;
}
