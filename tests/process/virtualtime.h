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

/** Random numbers of one simulated run, reproducible by seed. */
class SeededRandom
{
public:
    explicit SeededRandom(std::uint64_t seed) : m_engine(seed) { }
    /** Uniform in [low, high]. */
    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return low + static_cast<std::int64_t>(m_engine() % static_cast<std::uint64_t>(high - low + 1));
    }
    /** Uniform in [lowMs, highMs]. */
    milliseconds time(std::int64_t lowMs, std::int64_t highMs)
    {
        return milliseconds(between(lowMs, highMs));
    }
    /** True with the given chance in percent. */
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

/** Event queue in simulated true time. Simulated processes do not see true time, only their own clocks. */
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
    /** Runs all events up to the given time and advances the clock to it. */
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

/** Monotonic clock of a simulated process, with its own start value and a rate that differs from true time. */
struct DriftingClock
{
    TimePoint start{};
    double rate = 1; //!< seconds of this clock per true second

    TimePoint at(Duration trueTime) const
    {
        return start + std::chrono::duration_cast<Duration>(trueTime * rate);
    }
    Duration trueTimeOf(TimePoint own) const
    {
        return std::chrono::duration_cast<Duration>((own - start) / rate);
    }
};

/** Faults of a simulated network: messages may be lost, duplicated or delayed. */
struct NetworkFaults
{
    int lossPercent = 0;
    int duplicatePercent = 0;
    int slowPercent = 0; //!< share of messages with longDelay, which later messages may overtake
    milliseconds usualDelay{20}; //!< upper bound
    milliseconds longDelay{4000}; //!< upper bound
};

/** Sends one message: runs the action at the arrival of each copy that is not lost. */
void sendMessage(VirtualTime &time, SeededRandom &choices, const NetworkFaults &faults, const VirtualTime::Action &arrive);

} // namespace snipehill::test
