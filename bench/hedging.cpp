#include "report.h"

#include <fakes/random.h>
#include <fakes/stats.h>

#include <algorithm>
#include <functional>
#include <queue>
#include <string>
#include <vector>

using namespace snipehill;
using namespace snipehill::fakes;

namespace
{

/** Idempotent lookups on a few servers of which each stops now and then. */
struct HedgeSettings
{
    std::size_t servers = 4;
    int slots = 8;
    double meanService = 0.020; //!< seconds, exponential
    double pauseEvery = 60; //!< seconds between pauses of a server, exponential
    double pauseLength = 1; //!< seconds
    double utilisation = 0.5;
    double hedgeAfter = 0; //!< seconds; 0: never
    double hedgeBudget = 0.05; //!< part of the lookups that may be sent twice
};

struct Copy
{
    std::size_t lookup = 0;
    double service = 0;
};

struct Server
{
    std::vector<double> freeAt; //!< of each slot
    double pausedUntil = 0;
    double nextPause = 0;
    std::size_t outstanding = 0;
};

struct HedgeFigures
{
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double extra = 0; //!< part of the lookups sent twice
};

/** A slot's end for work that starts now on the server, pauses included. */
double serve(Server &server, double now, double service, Random &random, const HedgeSettings &settings)
{
    auto slot = std::min_element(server.freeAt.begin(), server.freeAt.end());
    double start = std::max(now, *slot);
    while (server.nextPause <= start + service) {
        server.pausedUntil = server.nextPause + settings.pauseLength;
        if (server.pausedUntil > start) {
            start = start < server.nextPause ? start + settings.pauseLength : server.pausedUntil;
        }
        server.nextPause = server.pausedUntil + random.exponential(settings.pauseEvery);
    }
    *slot = start + service;
    return *slot;
}

HedgeFigures run(const HedgeSettings &settings)
{
    struct Event
    {
        double time = 0;
        int kind = 0; // 0: arrival, 1: hedge timer, 2: end of a copy
        std::size_t lookup = 0;
        std::size_t server = 0;
        bool operator>(const Event &other) const
        {
            return time > other.time;
        }
    };
    Random random{77};
    std::vector<Server> servers(settings.servers);
    for (Server &server : servers) {
        server.freeAt.assign(static_cast<std::size_t>(settings.slots), 0);
        server.nextPause = random.exponential(settings.pauseEvery);
    }
    const double rate = settings.utilisation * static_cast<double>(settings.servers) * settings.slots / settings.meanService;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::vector<double> due;
    std::vector<double> latency;
    std::vector<std::size_t> firstServer;
    double credit = 0;
    double extra = 0;
    const auto send = [&](double now, std::size_t lookup, std::size_t avoid) {
        std::size_t best = avoid == 0 ? 1 : 0;
        for (std::size_t i = 0; i < servers.size(); ++i) {
            best = i != avoid && servers[i].outstanding < servers[best].outstanding ? i : best;
        }
        ++servers[best].outstanding;
        events.push({serve(servers[best], now, random.exponential(settings.meanService), random, settings), 2, lookup, best});
        return best;
    };
    events.push({random.exponential(1 / rate), 0, 0, 0});
    while (!events.empty()) {
        const Event event = events.top();
        events.pop();
        if (event.kind == 0) {
            const std::size_t lookup = due.size();
            due.push_back(event.time);
            latency.push_back(-1);
            firstServer.push_back(send(event.time, lookup, settings.servers));
            credit = std::min(100.0, credit + settings.hedgeBudget);
            if (settings.hedgeAfter > 0) {
                events.push({event.time + settings.hedgeAfter, 1, lookup, 0});
            }
            if (event.time < 300) {
                events.push({event.time + random.exponential(1 / rate), 0, 0, 0});
            }
        } else if (event.kind == 1 && latency[event.lookup] < 0 && credit >= 1) {
            credit -= 1;
            extra += 1;
            send(event.time, event.lookup, firstServer[event.lookup]);
        } else if (event.kind == 2) {
            --servers[event.server].outstanding;
            latency[event.lookup] = latency[event.lookup] < 0 ? event.time - due[event.lookup] : latency[event.lookup];
        }
    }
    return {percentile(latency, 0.5), percentile(latency, 0.99), percentile(latency, 0.999), extra / static_cast<double>(due.size())};
}

} // namespace

int main(int argc, char **argv)
{
    const bench::Report report("hedging", argc, argv);
    for (const double utilisation : {0.3, 0.6, 0.85}) {
        std::vector<bench::Row> rows;
        for (const double after : {0.0, 0.05, 0.1, 0.2}) {
            for (const double budget : {0.02, 0.05}) {
                HedgeSettings settings;
                settings.utilisation = utilisation;
                settings.hedgeAfter = after;
                settings.hedgeBudget = budget;
                const HedgeFigures figures = run(settings);
                const std::string label = after > 0
                    ? "second copy after " + std::to_string(static_cast<int>(after * 1000)) + " ms, budget " + std::to_string(budget).substr(0, 4)
                    : "one copy";
                rows.push_back(
                    {label, {{"p50_ms", figures.p50 * 1000}, {"p99_ms", figures.p99 * 1000}, {"p999_ms", figures.p999 * 1000}, {"extra", figures.extra}}});
                if (after <= 0) {
                    break;
                }
            }
        }
        report.table("lookups on 4 servers at utilisation " + std::to_string(utilisation).substr(0, 4) + ", pauses of 1 s each minute", rows);
    }
    return 0;
}
