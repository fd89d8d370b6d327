#pragma once

#include <process/targetregistry.h>
#include <request/promptadmission.h>
#include <version/routingversion.h>

#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace snipehill::fakes
{

/** Load of long and short prompts on a group of engines. */
struct PromptLoad
{
    std::uint64_t seed = 1;
    std::size_t readers = 6;
    std::size_t runners = 3;
    std::uint32_t slots = 64;
    double longPerSecond = 13;
    double shortPerSecond = 180;
    double burst = 1; //!< times the long prompts, in every other period
    seconds period{3};
    seconds length{30};
    std::size_t sharedParts = 87;
    std::uint64_t sharedTokens = 13300;
    double longTokens = 3700; //!< mean of the part that only one prompt has
    PromptAdmissionSettings admission;
    bool bounded = true; //!< false: everything is placed
};

/** What became of the prompts of one kind. */
struct PromptOutcome
{
    std::size_t asked = 0;
    std::size_t refused = 0;
    std::size_t onTime = 0; //!< first event within the goal
    std::size_t left = 0; //!< the caller left before the first event
    std::size_t largestAsked = 0; //!< of the largest tenth
    std::size_t largestServed = 0;
};

struct PromptOutcomes
{
    PromptOutcome longPrompts;
    PromptOutcome shortPrompts;
};

/**
 * Plays a load against a TargetBook in virtual time: engines read in the order of arrival, at the
 * rates that the book assumes: prompts share steps, and each takes some time more that the engine spends on others.
 */
class PromptRun
{
public:
    explicit PromptRun(const PromptLoad &load) : m_load(load), m_random(load.seed), m_book({.instance = "entry", .failureDomain = "fd-0"})
    {
        m_group.name = "engines";
        m_group.engine = EngineProperties{.slots = load.slots, .kvCacheTokens = 469137, .kvBytesPerToken = 327680, .linkBitsPerSecond = 2.7e12};
        for (std::size_t i = 0; i < load.readers + load.runners; ++i) {
            const EngineRole role = i < load.readers ? EngineRole::Prefill : EngineRole::Decode;
            m_book.apply({.id = "e" + std::to_string(i),
                          .group = "engines",
                          .address = "10.0.0." + std::to_string(i + 1) + ":80",
                          .failureDomain = "fd-" + std::to_string(i % 3),
                          .slots = load.slots,
                          .role = role,
                          .startTimeMs = 1});
            m_roles["e" + std::to_string(i)] = role;
        }
        m_longRoute.latencyGoal = milliseconds(600);
        m_shortRoute.latencyGoal = milliseconds(250);
    }

    PromptOutcomes play()
    {
        scheduleArrivals();
        while (!m_events.empty()) {
            const auto next = m_events.begin();
            m_now = next->first;
            const std::function<void()> action = std::move(next->second);
            m_events.erase(next);
            action();
        }
        return m_outcomes;
    }

private:
    void scheduleArrivals()
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        const double step = 0.001;
        for (double time = 0; time < static_cast<double>(m_load.length.count()); time += step) {
            const bool inBurst = static_cast<std::int64_t>(time / static_cast<double>(m_load.period.count())) % 2 == 1;
            if (uniform(m_random) < m_load.longPerSecond * (inBurst ? m_load.burst : 1) * step) {
                at(time, [this] {
                    arriveLong();
                });
            }
            if (uniform(m_random) < m_load.shortPerSecond * step) {
                at(time, [this] {
                    arrive(m_shortRoute, {{m_random(), 290}}, 290, m_outcomes.shortPrompts, false);
                });
            }
        }
    }

    void arriveLong()
    {
        std::lognormal_distribution<double> size(std::log(m_load.longTokens) - 0.6, 1.1);
        const auto own = static_cast<std::uint64_t>(std::min(53000.0, size(m_random)));
        const std::uint64_t part = 1000 + m_random() % m_load.sharedParts;
        arrive(m_longRoute, {{part, m_load.sharedTokens}, {m_random(), own}}, m_load.sharedTokens + own, m_outcomes.longPrompts, own > 9000);
    }

    void arrive(const RouteRule &route, std::vector<PrefixBlock> parts, std::uint64_t tokens, PromptOutcome &outcome, bool largest)
    {
        ++outcome.asked;
        outcome.largestAsked += largest ? 1 : 0;
        PromptDemand demand{.promptTokens = tokens, .bodyBytes = 1000, .failureDomain = "fd-0"};
        if (m_load.bounded) {
            demand.bounds = boundsFor(route, tokens, seconds(8), m_load.admission);
        }
        Reason reason;
        const auto placed = m_book.placePrompt(m_group, demand, parts, {}, m_now, reason);
        if (!placed || !placed->reserved) {
            ++outcome.refused;
            return;
        }
        const std::string reader = placed->prefill ? placed->prefill->target.id : placed->run.target.id;
        const std::uint64_t covered = coveredOn(reader, *placed, parts);
        const EngineRole role = m_roles.at(reader);
        const TimePoint begun = std::max(m_free[reader], m_now);
        m_free[reader] = begun + estimatePrefillWork({}, role, tokens - covered, covered);
        const TimePoint read = begun + estimatePrefillTime({}, role, tokens - covered, covered);
        const TimePoint arrived = m_now;
        const TimePoint first = placed->prefill ? std::max(m_free[placed->run.target.id], read) + milliseconds(20) : read;
        const bool inPatience = first - arrived <= abandonTimeoutOf(route, m_load.admission);
        outcome.onTime += first - arrived <= route.latencyGoal ? 1 : 0;
        outcome.left += inPatience ? 0 : 1;
        outcome.largestServed += largest && inPatience ? 1 : 0;
        const PlacedPrompt &work = *placed;
        m_events.emplace(read, [this, work] {
            m_book.finishPrefill(work.prefill.value_or(work.run), m_now);
            if (work.prefill) {
                m_book.release(*work.prefill, m_now);
            }
        });
        m_events.emplace(first + milliseconds(200), [this, work] {
            m_book.release(work.run, m_now);
        });
    }

    /** What engines keep is known here exactly; an engine keeps what it has read, fetched or run. */
    std::uint64_t coveredOn(const std::string &reader, const PlacedPrompt &placed, const std::vector<PrefixBlock> &parts)
    {
        const auto part = parts.front().hash;
        const bool fetched = placed.fetchFrom && m_kept.contains({placed.fetchFrom->id, part});
        const bool kept = !m_kept.emplace(reader, part).second;
        m_kept.emplace(placed.run.target.id, part);
        return (kept || fetched) && parts.size() > 1 ? parts.front().tokens : 0;
    }

    void at(double time, std::function<void()> action)
    {
        m_events.emplace(TimePoint(seconds(1000)) + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time)), std::move(action));
    }

    const PromptLoad m_load;
    std::mt19937_64 m_random;
    TargetRegistry m_book;
    GroupRule m_group;
    RouteRule m_longRoute;
    RouteRule m_shortRoute;
    std::map<std::string, EngineRole> m_roles;
    std::map<std::string, TimePoint> m_free;
    std::set<std::pair<std::string, std::uint64_t>> m_kept;
    std::multimap<TimePoint, std::function<void()>> m_events;
    TimePoint m_now{};
    PromptOutcomes m_outcomes;
};

} // namespace snipehill::fakes
