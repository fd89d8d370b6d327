#include <process/usagecounter.h>

#include <core/boottime.h>

#include <algorithm>
#include <utility>

namespace snipehill
{

namespace
{

constexpr int updatesOfFinalFigures = 2; // one datagram may be lost
constexpr int toldToNewEntry = 2; // newest windows: those that may still be unreported
constexpr milliseconds finalFiguresInterval{1000}; // longer than most bursts of loss, shorter than a window
constexpr milliseconds longestTelling{1000}; // an entry with 250 peers sends an update each second
constexpr std::size_t maxTellingBytes = 16384; // a quarter of a datagram; some hundred workspaces
constexpr std::size_t bytesPerWorkspace = 16; // beside its name
constexpr milliseconds clockTolerance{200}; // differences within it are the time of messages and the usual error of clocks
constexpr WindowNumber finalWindows = 12; // reports for older windows are overdue

void removeOldFigures(FinalFigures &figures)
{
    if (!figures.empty()) {
        figures.erase(figures.begin(), figures.upper_bound(figures.rbegin()->first - finalWindows));
    }
}

std::size_t bytesOf(const UsageByWorkspace &totals)
{
    std::size_t bytes = 0;
    for (const auto &[workspace, used] : totals) {
        bytes += workspace.size() + bytesPerWorkspace;
    }
    return bytes;
}

} // namespace

void addFinalFigures(FinalFigures &figures, const std::map<WindowNumber, UsageByWorkspace> &windows, TimePoint now)
{
    for (const auto &[window, totals] : windows) {
        const auto [known, added] = figures.try_emplace(window, FinalWindow{.totals = totals, .updatesLeft = updatesOfFinalFigures, .added = now});
        known->second.added = known->second.added == TimePoint{} ? now : known->second.added;
        known->second.contradicted = known->second.contradicted || known->second.totals != totals;
    }
    removeOldFigures(figures);
}

void mergeFinalFigures(FinalFigures &figures, const std::map<WindowNumber, UsageByWorkspace> &windows)
{
    for (const auto &[window, totals] : windows) {
        const auto [known, added] = figures.try_emplace(window, FinalWindow{.totals = totals});
        known->second.contradicted = known->second.contradicted || known->second.totals != totals;
    }
    removeOldFigures(figures);
}

std::map<WindowNumber, UsageByWorkspace> takeFinalFigures(FinalFigures &figures, TimePoint now)
{
    std::map<WindowNumber, UsageByWorkspace> due;
    std::size_t bytes = 0;
    for (auto &[window, known] : figures) {
        const std::size_t size = bytesOf(known.totals);
        if (size > maxTellingBytes) {
            known.updatesLeft = 0;
        }
        if (known.updatesLeft > 0 && known.nextUpdate <= now && bytes + size <= maxTellingBytes) {
            bytes += size;
            --known.updatesLeft;
            known.nextUpdate = now + finalFiguresInterval;
            due[window] = known.totals;
        }
    }
    return due;
}

void recordHeard(MergedUsage &counts, const Incarnation &entry, TimePoint now)
{
    auto &[run, lastHeard] = counts.lastHeard[entry.instance];
    lastHeard = now;
    if (run == entry) {
        return;
    }
    run = entry;
    int repeated = 0;
    for (auto known = counts.finalFigures.rbegin(); known != counts.finalFigures.rend() && repeated < toldToNewEntry; ++known, ++repeated) {
        const bool ownFigures = known->second.added != TimePoint{};
        known->second.updatesLeft = ownFigures ? std::max(1, known->second.updatesLeft) : 0;
    }
}

bool isTold(const FinalFigures &figures, WindowNumber window, TimePoint now)
{
    const auto known = figures.find(window);
    return known == figures.end() || known->second.updatesLeft < updatesOfFinalFigures || now - known->second.added >= longestTelling;
}

SteadyWallClock::SteadyWallClock(std::chrono::system_clock::time_point start) : m_start(start), m_bootAtStart(bootNow()) { }

std::chrono::system_clock::time_point SteadyWallClock::now() const
{
    return m_start + std::chrono::duration_cast<std::chrono::system_clock::duration>(bootNow() - m_bootAtStart + Duration(m_correction));
}

void SteadyWallClock::correct(Duration change) noexcept
{
    m_correction += change.count();
}

Duration clockCorrection(const ClockReadings &readings, TimePoint heardSince)
{
    std::vector<Duration> clocks{Duration::zero()}; // one's own
    for (const auto &[instance, reading] : readings) {
        if (reading.heardAt >= heardSince) {
            clocks.push_back(reading.ahead);
        }
    }
    const auto middle = clocks.begin() + static_cast<std::ptrdiff_t>(clocks.size() / 2);
    std::nth_element(clocks.begin(), middle, clocks.end());
    const Duration median = *middle;
    const auto agreeing = std::count_if(clocks.begin(), clocks.end(), [median](Duration ahead) {
        return std::chrono::abs(ahead - median) <= clockTolerance;
    });
    const bool majority = 2 * static_cast<std::size_t>(agreeing) > clocks.size();
    return majority && std::chrono::abs(median) > clockTolerance ? median : Duration::zero();
}

void mergeUsage(MergedUsage &counts, const Incarnation &entry, const PublishedUsage &published)
{
    for (const auto &[source, totals] : published.rows) {
        UsageByWorkspace &known = counts.rows[source];
        for (const auto &[workspace, used] : totals) {
            known[workspace].requests = std::max(known[workspace].requests, used.requests);
        }
    }
    WindowNumber &openWindow = counts.openWindows[entry];
    openWindow = std::max(openWindow, published.openWindow);
}

bool isWindowComplete(const MergedUsage &counts, WindowNumber window, TimePoint heardSince)
{
    return std::all_of(counts.lastHeard.begin(), counts.lastHeard.end(), [&](const auto &entry) {
        const auto &[run, lastHeard] = entry.second;
        const auto openWindow = counts.openWindows.find(run);
        return lastHeard < heardSince || (openWindow != counts.openWindows.end() && openWindow->second > window);
    });
}

Json::Value toJson(const Incarnation &entry, const PublishedUsage &published)
{
    Json::Value value;
    value["instance"] = entry.instance;
    value["incarnation"] = Json::UInt64(entry.number);
    value["open"] = Json::Int64(published.openWindow);
    value["rows"] = toJson(published.rows);
    return value;
}

std::optional<std::pair<Incarnation, PublishedUsage>> parsePublishedUsage(const Json::Value &value, Reason &reason)
{
    if (!value.isObject() || !value["instance"].isString() || !value["incarnation"].isUInt64() || !value["open"].isInt64()) {
        reason = {Step::Usage, "", "record of usage counts lacks a field"};
        return std::nullopt;
    }
    auto rows = parseUsageRows(value["rows"], reason);
    if (!rows) {
        return std::nullopt;
    }
    return std::pair(Incarnation{value["instance"].asString(), value["incarnation"].asUInt64()}, PublishedUsage{std::move(*rows), value["open"].asInt64()});
}

UsageCounter::UsageCounter(Incarnation self, milliseconds windowLength, std::chrono::system_clock::time_point start)
    : m_self(std::move(self)), m_windowLength(windowLength), m_clock(start)
{
}

void UsageCounter::count(const std::string &workspace)
{
    const std::lock_guard lock(m_lock);
    if (m_clockSettled) {
        addUsage(m_counts, windowOf(m_clock.now(), m_windowLength), workspace, {.requests = 1});
    } else {
        m_undecided.emplace_back(m_clock.now(), workspace);
    }
}

void UsageCounter::correctClock(Duration change)
{
    const std::lock_guard lock(m_lock);
    m_clock.correct(change);
    for (auto &[time, workspace] : m_undecided) {
        time += std::chrono::duration_cast<std::chrono::system_clock::duration>(change);
    }
}

void UsageCounter::settleClock()
{
    const std::lock_guard lock(m_lock);
    for (const auto &[time, workspace] : std::exchange(m_undecided, {})) {
        addUsage(m_counts, windowOf(time, m_windowLength), workspace, {.requests = 1});
    }
    m_clockSettled = true;
}

std::chrono::system_clock::time_point UsageCounter::wallTime() const
{
    return m_clock.now();
}

std::optional<PublishedUsage> UsageCounter::unpublished()
{
    PublishedUsage published{.openWindow = currentWindow()};
    const std::lock_guard lock(m_lock);
    for (const auto &[window, totals] : m_counts.windows) {
        const auto lastPublished = m_published.rows.find({m_self, window});
        if (lastPublished == m_published.rows.end() || lastPublished->second != totals) {
            published.rows[{m_self, window}] = totals;
        }
    }
    if (published.rows.empty() && published.openWindow == m_published.openWindow) {
        return std::nullopt;
    }
    return published;
}

void UsageCounter::markPublished(const PublishedUsage &published)
{
    const std::lock_guard lock(m_lock);
    for (const auto &[source, totals] : published.rows) {
        m_published.rows[source] = totals;
    }
    m_published.openWindow = published.openWindow;
}

void UsageCounter::republish()
{
    const std::lock_guard lock(m_lock);
    m_published = {};
}

void UsageCounter::removeWindowsBefore(WindowNumber window)
{
    const std::lock_guard lock(m_lock);
    m_counts.windows.erase(m_counts.windows.begin(), m_counts.windows.lower_bound(window));
    std::erase_if(m_published.rows, [window](const auto &row) {
        return row.first.window < window;
    });
}

WindowNumber UsageCounter::currentWindow() const
{
    if (!m_clockSettled) {
        return 0;
    }
    return windowOf(m_clock.now(), m_windowLength);
}

const Incarnation &UsageCounter::self() const noexcept
{
    return m_self;
}

} // namespace snipehill
