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

/** Idempotent lookups on a few servers that pause at random. */
struct HedgeSettings
{
    std::size_t servers = 4;
    int slots = 8;
    double meanService = 0.020; //!< seconds, exponential
    double pauseEvery = 60; //!< seconds between pauses of a server, exponential
    double pauseLength = 1; //!< seconds
    double utilisation = 0.5;
    double hedgeAfter = 0; //!< seconds until the second copy is sent; 0: never
    double hedgeBudget = 0.05; //!< fraction of the lookups that may be sent twice
};

struct Server
{
    std::vector<double> freeAt; //!< time when each slot becomes free
    double pausedUntil = 0;
    double nextPause = 0;
    std::size_t outstanding = 0;
};

struct HedgeResult
{
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double extra = 0; //!< fraction of the lookups sent twice
};

/** Assigns work to the first free slot and returns when it finishes, pauses included. */
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

/** Open-loop simulation of lookups, each sent to the server with the fewest outstanding ones. */
class HedgeRun
{
public:
    explicit HedgeRun(const HedgeSettings &settings)
        : m_settings(settings)
        , m_random{77}
        , m_servers(settings.servers)
        , m_rate(settings.utilisation * static_cast<double>(settings.servers) * settings.slots / settings.meanService)
    {
        for (Server &server : m_servers) {
            server.freeAt.assign(static_cast<std::size_t>(settings.slots), 0);
            server.nextPause = m_random.exponential(settings.pauseEvery);
        }
    }

    HedgeResult run()
    {
        m_events.push({m_random.exponential(1 / m_rate), Event::Kind::Arrival, 0, 0});
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            switch (event.kind) {
            case Event::Kind::Arrival:
                arrive(event.time);
                break;
            case Event::Kind::HedgeTimer:
                hedge(event);
                break;
            case Event::Kind::End:
                end(event);
                break;
            }
        }
        const double extra = m_hedged / static_cast<double>(m_due.size());
        return {percentile(m_latency, 0.5), percentile(m_latency, 0.99), percentile(m_latency, 0.999), extra};
    }

private:
    struct Event
    {
        enum class Kind {
            Arrival,
            HedgeTimer,
            End,
        };
        double time = 0;
        Kind kind = Kind::Arrival;
        std::size_t lookup = 0;
        std::size_t server = 0;
        bool operator>(const Event &other) const
        {
            return time > other.time;
        }
    };

    std::size_t send(double now, std::size_t lookup, std::size_t avoid)
    {
        std::size_t best = avoid == 0 ? 1 : 0;
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            best = i != avoid && m_servers[i].outstanding < m_servers[best].outstanding ? i : best;
        }
        ++m_servers[best].outstanding;
        const double service = m_random.exponential(m_settings.meanService);
        m_events.push({serve(m_servers[best], now, service, m_random, m_settings), Event::Kind::End, lookup, best});
        return best;
    }

    void arrive(double now)
    {
        constexpr double span = 300; // seconds
        const std::size_t lookup = m_due.size();
        m_due.push_back(now);
        m_latency.push_back(-1);
        m_firstServer.push_back(send(now, lookup, m_servers.size()));
        m_credit = std::min(100.0, m_credit + m_settings.hedgeBudget);
        if (m_settings.hedgeAfter > 0) {
            m_events.push({now + m_settings.hedgeAfter, Event::Kind::HedgeTimer, lookup, 0});
        }
        if (now < span) {
            m_events.push({now + m_random.exponential(1 / m_rate), Event::Kind::Arrival, 0, 0});
        }
    }

    void hedge(const Event &event)
    {
        if (m_latency[event.lookup] >= 0 || m_credit < 1) {
            return;
        }
        m_credit -= 1;
        m_hedged += 1;
        send(event.time, event.lookup, m_firstServer[event.lookup]);
    }

    void end(const Event &event)
    {
        --m_servers[event.server].outstanding;
        double &latency = m_latency[event.lookup];
        latency = latency < 0 ? event.time - m_due[event.lookup] : latency;
    }

    HedgeSettings m_settings;
    Random m_random;
    std::vector<Server> m_servers;
    double m_rate = 0; //!< lookups a second
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<double> m_due;
    std::vector<double> m_latency; //!< by lookup, -1 while it runs
    std::vector<std::size_t> m_firstServer;
    double m_credit = 0;
    double m_hedged = 0;
};

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
                const HedgeResult result = HedgeRun(settings).run();
                const std::string label = after > 0
                    ? "second copy after " + std::to_string(static_cast<int>(after * 1000)) + " ms, budget " + std::to_string(budget).substr(0, 4)
                    : "one copy";
                rows.push_back(
                    {label, {{"p50_ms", result.p50 * 1000}, {"p99_ms", result.p99 * 1000}, {"p999_ms", result.p999 * 1000}, {"extra", result.extra}}});
                if (after <= 0) {
                    break;
                }
            }
        }
        report.table("lookups on 4 servers at utilisation " + std::to_string(utilisation).substr(0, 4) + ", pauses of 1 s each minute", rows);
    }
    return 0;
}
