#include <process/usagebook.h>

#include <core/boottime.h>

#include <utility>

namespace snipehill
{

SteadyWallClock::SteadyWallClock() : m_start(std::chrono::system_clock::now()), m_bootAtStart(bootNow()) { }

std::chrono::system_clock::time_point SteadyWallClock::now() const
{
    return m_start + std::chrono::duration_cast<std::chrono::system_clock::duration>(bootNow() - m_bootAtStart);
}

UsageBook::UsageBook(Incarnation self, milliseconds windowLength) : m_self(std::move(self)), m_windowLength(windowLength) { }

void UsageBook::count(const std::string &workspace)
{
    const WindowNumber window = currentWindow();
    const std::lock_guard lock(m_lock);
    countUsage(m_counts, window, workspace, {.requests = 1});
    m_changed = true;
}

std::optional<UsageRows> UsageBook::takeChanged()
{
    const std::lock_guard lock(m_lock);
    if (!std::exchange(m_changed, false)) {
        return std::nullopt;
    }
    UsageRows rows;
    for (const auto &[window, figures] : m_counts.windows) {
        rows[{m_self, window}] = figures;
    }
    return rows;
}

void UsageBook::markChanged()
{
    const std::lock_guard lock(m_lock);
    m_changed = true;
}

void UsageBook::forgetBefore(WindowNumber window)
{
    const std::lock_guard lock(m_lock);
    m_counts.windows.erase(m_counts.windows.begin(), m_counts.windows.lower_bound(window));
}

WindowNumber UsageBook::currentWindow() const
{
    return windowOf(m_clock.now(), m_windowLength);
}

const Incarnation &UsageBook::self() const noexcept
{
    return m_self;
}

} // namespace snipehill
