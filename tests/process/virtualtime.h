#pragma once

#include <core/time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace snipehill::test
{

/** Seeds first..first+count-1, or the one in the environment variable SNIPEHILL_SEED. */
std::vector<std::uint64_t> seedsToRun(std::uint64_t count);

/** Seeded choices of one run. */
class SeededRandom
{
public:
    explicit SeededRandom(std::uint64_t seed) : m_engine(seed) { }
    /** Uniform in [low, high]. */
    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return low + static_cast<std::int64_t>(m_engine() % static_cast<std::uint64_t>(high - low + 1));
    }
    milliseconds time(std::int64_t lowMs, std::int64_t highMs)
    {
        return milliseconds(between(lowMs, highMs));
    }
    bool percent(int chance)
    {
        return between(0, 99) < chance;
    }
    std::uint64_t number()
    {
        return m_engine();
    }

private:
    std::mt19937_64 m_engine;
};

/** Queue of events in true time, which no simulated process sees. */
class VirtualTime
{
public:
    using Action = std::function<void()>;

    Duration now() const noexcept
    {
        return m_now;
    }
    void at(Duration time, Action action)
    {
        m_events.push({time < m_now ? m_now : time, m_sequence++, std::move(action)});
    }
    void after(Duration delay, Action action)
    {
        at(m_now + delay, std::move(action));
    }
    /** Runs events up to a time. */
    void run(Duration until)
    {
        while (!m_events.empty() && m_events.top().time <= until) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        m_now = until;
    }

private:
    struct Event
    {
        Duration time;
        std::uint64_t sequence;
        Action action;
        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };
    Duration m_now{};
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
};

/** A process's monotonic clock: its own start and a rate that drifts. */
struct DriftingClock
{
    TimePoint start{};
    double rate = 1; //!< own seconds in one true second

    TimePoint at(Duration trueTime) const
    {
        return start + std::chrono::duration_cast<Duration>(trueTime * rate);
    }
    Duration trueTimeOf(TimePoint own) const
    {
        return std::chrono::duration_cast<Duration>((own - start) / rate);
    }
};

/** How a message travels: each copy arrives after its delay; none: lost. */
struct NetworkFaults
{
    int lossPercent = 0;
    int duplicatePercent = 0;
    int slowPercent = 0; //!< part of messages that take long, so that they are overtaken
    milliseconds usualDelay{20};
    milliseconds longDelay{4000};
};

/** Sends one message: runs the action once for each copy that arrives. */
void sendMessage(VirtualTime &time, SeededRandom &choices, const NetworkFaults &faults, const VirtualTime::Action &arrive);

} // namespace snipehill::test
