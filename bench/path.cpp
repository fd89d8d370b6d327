// Cost of the path through entry and sidecar on loopback, compared with direct calls to the same stand-ins: latency added
// to lookups (paired), time to first token and token gaps of streams, CPU time per request and per token.

#include "processes/procfs.h"
#include "report.h"

#include <support/client.h>
#include <support/cluster.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>
#include <vector>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr int pairs = 2000;
constexpr int streams = 60;
constexpr int tokensPerStream = 200;
constexpr int loadClients = 16;
constexpr double loadRequestsPerSecond = 400;
constexpr seconds loadTime{8};

double quantile(std::vector<double> values, double part)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

double millisecondsOf(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

bench::Row latencies(const std::string &label, const std::vector<double> &values)
{
    return {label, {{"p50_ms", quantile(values, 0.5)}, {"p95_ms", quantile(values, 0.95)}, {"p99_ms", quantile(values, 0.99)}}};
}

std::string authorization()
{
    std::string value("Bearer ");
    value.append(bureauSecret);
    return value;
}

Call lookup(const std::string &target)
{
    Call call;
    call.target = target;
    call.headers["Authorization"] = authorization();
    return call;
}

Call stream(int number)
{
    Call call;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.headers["Authorization"] = authorization();
    call.body = R"({"model":"m","stream":true,"max_tokens":)";
    call.body += std::to_string(tokensPerStream);
    call.body += R"(,"messages":[{"role":"user","content":"question )";
    call.body += std::to_string(number);
    call.body += "\"}]}";
    return call;
}

/** Alternates direct and routed calls, so that both run under the same machine load. */
void pairedLookups(const bench::Report &report, const Cluster &cluster, const std::string &path)
{
    Client direct(cluster.targets.back().endpoint);
    Client routed(cluster.entries.front().callers);
    std::vector<double> directTimes;
    std::vector<double> routedTimes;
    std::vector<double> added;
    for (int i = 0; i < pairs; ++i) {
        const Response directResponse = direct.call(lookup(path));
        const Response routedResponse = routed.call(lookup(path));
        if (directResponse.status != 200 || routedResponse.status != 200) {
            std::printf("a lookup failed: %u %u %s\n", directResponse.status, routedResponse.status, routedResponse.body.c_str());
            continue;
        }
        directTimes.push_back(millisecondsOf(directResponse.ended - directResponse.sent));
        routedTimes.push_back(millisecondsOf(routedResponse.ended - routedResponse.sent));
        added.push_back(routedTimes.back() - directTimes.back());
    }
    report.table("lookups, one at a time", {latencies("direct", directTimes), latencies("through entry and sidecar", routedTimes), latencies("added", added)});
}

struct StreamTimes
{
    std::vector<double> first;
    std::vector<double> gaps;
};

StreamTimes measureStreams(const Endpoint &server)
{
    StreamTimes times;
    Client client(server);
    for (int i = 0; i < streams; ++i) {
        Call call = stream(i);
        TimePoint last{};
        const TimePoint start = Clock::now();
        call.onData = [&times, &last, start](std::string_view) {
            const TimePoint now = Clock::now();
            if (last == TimePoint()) {
                times.first.push_back(millisecondsOf(now - start));
            } else {
                times.gaps.push_back(millisecondsOf(now - last));
            }
            last = now;
        };
        client.call(call);
    }
    return times;
}

void compareStreams(const bench::Report &report, const Cluster &cluster)
{
    const StreamTimes direct = measureStreams(cluster.targets.front().endpoint);
    const StreamTimes routed = measureStreams(cluster.entries.front().callers);
    report.table("streams of 200 tokens, one at a time",
                 {latencies("first piece, direct", direct.first),
                  latencies("first piece, routed", routed.first),
                  latencies("gap, direct", direct.gaps),
                  latencies("gap, routed", routed.gaps)});
}

/** Open loop: sends requests when they are due, whether or not earlier ones have finished. Latency counts from the due time. */
std::vector<double> openLoop(const Endpoint &server, double rate, seconds time, const std::function<Call(int)> &next, std::atomic<int> &failed)
{
    const int total = static_cast<int>(rate * static_cast<double>(time.count()));
    const TimePoint start = Clock::now();
    std::atomic<int> taken{0};
    std::vector<std::vector<double>> results(loadClients);
    std::vector<std::thread> clients;
    clients.reserve(loadClients);
    for (int c = 0; c < loadClients; ++c) {
        clients.emplace_back([&, c] {
            Client client(server);
            for (int i = taken++; i < total; i = taken++) {
                const TimePoint due = start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(i / rate));
                std::this_thread::sleep_until(due);
                const Response response = client.call(next(i));
                if (!response.complete || response.status != 200) {
                    ++failed;
                }
                results[static_cast<std::size_t>(c)].push_back(millisecondsOf(response.ended - due));
            }
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    std::vector<double> all;
    for (const auto &result : results) {
        all.insert(all.end(), result.begin(), result.end());
    }
    return all;
}

struct ProcessorUse
{
    double entry = 0;
    double sidecar = 0;
};

ProcessorUse processorUse(const Cluster &cluster, std::size_t sidecar)
{
    return {bench::processorSeconds(cluster.entries.front().process->id()), bench::processorSeconds(cluster.sidecars[sidecar].process->id())};
}

bench::Row loadRow(const std::string &label, const std::vector<double> &times, const ProcessorUse &before, const ProcessorUse &after, double units, int failed)
{
    bench::Row row = latencies(label, times);
    row.values.emplace_back("entry_us", 1e6 * (after.entry - before.entry) / units);
    row.values.emplace_back("sidecar_us", 1e6 * (after.sidecar - before.sidecar) / units);
    row.values.emplace_back("failed", failed);
    return row;
}

void measureLoad(const bench::Report &report, const Cluster &cluster, const std::string &path)
{
    std::atomic<int> failed{0};
    const ProcessorUse before = processorUse(cluster, 1);
    const auto lookups = openLoop(
        cluster.entries.front().callers,
        loadRequestsPerSecond,
        loadTime,
        [&path](int) {
            return lookup(path);
        },
        failed);
    const ProcessorUse after = processorUse(cluster, 1);
    report.table("lookups, open loop, 400 a second; processor time a request",
                 {loadRow("lookups", lookups, before, after, static_cast<double>(lookups.size()), failed)});

    failed = 0;
    const ProcessorUse streamBefore = processorUse(cluster, 0);
    constexpr double streamRate = 10;
    const auto answers = openLoop(
        cluster.entries.front().callers,
        streamRate,
        loadTime,
        [](int i) {
            return stream(i);
        },
        failed);
    const ProcessorUse streamAfter = processorUse(cluster, 0);
    const double tokens = static_cast<double>(answers.size()) * tokensPerStream;
    report.table("streams of 200 tokens, open loop, 10 a second; processor time a token",
                 {loadRow("streams", answers, streamBefore, streamAfter, tokens, failed)});
}

} // namespace

int main(int argc, char **argv)
{
    const bench::Report report("path", argc, argv);
    ClusterOptions options;
    options.entries = 1;
    TargetOptions engine;
    engine.faults["slots"] = 64;
    engine.faults["decodeRate"] = 400; // tokens per second and stream
    TargetOptions service;
    service.kind = "service";
    service.group = "licences";
    options.relays = false;
    options.targets = {engine, service};
    Cluster cluster(options);
    if (!cluster.start(defaultRecords())) {
        std::printf("the processes did not become ready\n");
        return 1;
    }
    const std::string path = "/status/4711";
    pairedLookups(report, cluster, path);
    compareStreams(report, cluster);
    measureLoad(report, cluster, path);
    report.table("memory, MB resident",
                 {{"entry", {{"resident", bench::residentMegabytes(cluster.entries.front().process->id())}}},
                  {"sidecar of the engine", {{"resident", bench::residentMegabytes(cluster.sidecars.front().process->id())}}}});
    return 0;
}
