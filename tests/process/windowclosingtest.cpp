#include <process/windowclosing.h>

#include <catch2/catch.hpp>

using namespace snipehill;

namespace
{

constexpr WindowTimes windows{};
const Incarnation entry{"entry-1", 1};
const std::chrono::system_clock::time_point start{milliseconds(500000)}; // start of window 100

UsageByWorkspace requests(std::uint64_t count)
{
    return {{"bureau", {.requests = count}}};
}

ClosedWindow closedWindow(WindowNumber window, std::uint64_t count, std::optional<LogEra> era)
{
    return {window, requests(count), {{entry, window}}, era};
}

/** One page with all records of a stream. */
LogPage pageOf(LogEra era, Offset firstRetained, const std::vector<Json::Value> &values)
{
    LogPage page{.era = era, .firstRetained = firstRetained, .next = firstRetained};
    for (const Json::Value &value : values) {
        page.records.push_back({page.next++, value});
    }
    return page;
}

LeaseHold holdOf(LogEra era, std::uint64_t tenure)
{
    return {.token = static_cast<Offset>(era << 32U) + static_cast<Offset>(tenure), .era = era, .tenure = tenure};
}

bool readAll(WindowClosing &closing, const LogPage &page, const LeaseHold &hold, FinalFigures &figures)
{
    LogRestart restart = applyLedgerPage(closing, page);
    if (restart != LogRestart::None) {
        restart = applyLedgerPage(closing, page);
    }
    return confirmLedger(closing, hold, hold, figures, windows, TimePoint{});
}

} // namespace

// Guards against records of an earlier era that were appended late, and against records of earlier versions that lose their effect.
TEST_CASE("a usage record takes effect by its era", "[usage][closing]")
{
    struct Case
    {
        const char *name;
        UsageRecord record;
        std::optional<WindowNumber> lastClosed;
        std::vector<WindowNumber> unreported;
    };
    const OpenedLedger opened{.era = 2, .token = 9, .through = 102, .windows = {{101, requests(4)}}};
    for (const Case &c : {Case{"closed, of the era", {.closed = closedWindow(103, 1, 2)}, 103, {101, 103}},
                          {"closed, of a later era", {.closed = closedWindow(103, 1, 3)}, 103, {101, 103}},
                          {"closed, of an earlier era", {.closed = closedWindow(103, 1, 1)}, 102, {101}},
                          {"closed, without an era", {.closed = closedWindow(103, 1, std::nullopt)}, 103, {101, 103}},
                          {"closed, given up", {.closed = closedWindow(102, 1, 2)}, 102, {101}},
                          {"reported, of the era", {.reported = ReportedWindow{101, {"bureau"}, 2}}, 102, {}},
                          {"reported, of an earlier era", {.reported = ReportedWindow{101, {"bureau"}, 1}}, 102, {101}},
                          {"reported, without an era", {.reported = ReportedWindow{101, {"bureau"}, std::nullopt}}, 102, {}},
                          {"opened, of an earlier era", {.opened = OpenedLedger{.era = 1, .through = 110}}, 102, {101}},
                          {"opened, of a later era", {.opened = OpenedLedger{.era = 3, .through = 104, .windows = {{104, requests(1)}}}}, 104, {104}},
                          {"opened, of a later era, less far", {.opened = OpenedLedger{.era = 3, .through = 90}}, 102, {}}}) {
        INFO(c.name);
        UsageLedger ledger;
        applyUsageRecord(ledger, {.closed = closedWindow(100, 7, 1)});
        applyUsageRecord(ledger, {.opened = opened});
        applyUsageRecord(ledger, c.record);
        CHECK(ledger.lastClosed == c.lastClosed);
        std::vector<WindowNumber> unreported;
        for (const auto &[window, totals] : ledger.unreported) {
            unreported.push_back(window);
        }
        CHECK(unreported == c.unreported);
    }
}

// Guards against records of earlier versions that can't be read, and against eras that are lost on the way.
TEST_CASE("usage records keep their era through JSON, and records without one stay readable", "[usage][closing]")
{
    Reason reason;
    for (const std::optional<LogEra> era : {std::optional<LogEra>{}, std::optional<LogEra>{0}, std::optional<LogEra>{7}}) {
        const auto closed = parseUsageRecord(toJson(closedWindow(100, 7, era)), reason);
        REQUIRE(closed);
        CHECK(closed->closed->era == era);
        const auto reported = parseUsageRecord(toJson(ReportedWindow{100, {"bureau"}, era}), reason);
        REQUIRE(reported);
        CHECK(reported->reported->era == era);
    }
    const OpenedLedger opened{.era = 3, .token = 17, .through = 102, .windows = {{101, requests(4)}, {102, requests(2)}}};
    const auto parsed = parseUsageRecord(toJson(opened), reason);
    REQUIRE(parsed);
    REQUIRE(parsed->opened);
    CHECK(toJson(*parsed->opened) == toJson(opened));
    for (const char *field : {"era", "token", "window", "windows"}) {
        INFO(field);
        Json::Value broken = toJson(opened);
        broken[field] = "x";
        CHECK_FALSE(parseUsageRecord(broken, reason));
    }
}

// Guards against a reader that goes on in a stream whose records are others than it read, or that skips removed records.
TEST_CASE("a reader starts anew when the era changes or records are gone", "[usage][closing]")
{
    struct Case
    {
        const char *name;
        LogPage page;
        LogRestart restart;
        Offset next;
    };
    for (const Case &c : {Case{"more records", {.era = 1, .firstRetained = 0, .next = 25}, LogRestart::None, 25},
                          {"removed after they were read", {.era = 1, .firstRetained = 20, .next = 20}, LogRestart::None, 20},
                          {"removed before they were read", {.era = 1, .firstRetained = 21, .next = 21}, LogRestart::Gap, 0},
                          {"older copy", {.era = 2, .firstRetained = 0, .next = 20}, LogRestart::Era, 0}}) {
        INFO(c.name);
        LogPosition position;
        REQUIRE(advancePosition(position, {.era = 1, .firstRetained = 0, .next = 20}) == LogRestart::None);
        CHECK(advancePosition(position, c.page) == c.restart);
        CHECK(position.next == c.next);
        CHECK(position.started == (c.restart == LogRestart::None));
    }
}

// Guards against opening records that leave a window open which may have been closed, and against windows given up without need.
TEST_CASE("the opening record covers each window that may have been closed", "[usage][closing]")
{
    struct Case
    {
        const char *name;
        LogPage page;
        std::uint64_t tenure; //!< of the holder; the ledger was read up to window 100 in tenure 1 and era 1
        std::optional<WindowNumber> through; //!< empty: no opening record is due
        std::vector<WindowNumber> listed;
    };
    const auto closed = [](WindowNumber window, std::optional<LogEra> era) {
        return toJson(closedWindow(window, 7, era));
    };
    const std::vector<Json::Value> minute{closed(88, 1), closed(100, 1)};
    for (const Case &c : {Case{"same era", pageOf(1, 0, {closed(100, 1)}), 2, std::nullopt, {}},
                          {"copy, same tenure", pageOf(2, 0, {}), 1, 100, {100}},
                          {"copy, other tenure: closed by the time at which the era became known", pageOf(2, 0, {closed(99, 1)}), 2, 104, {}},
                          {"copy of a trimmed stream that is whole", pageOf(2, 9, minute), 2, 104, {}},
                          {"emptied, same tenure", pageOf(1, 9, {}), 1, 100, {100}},
                          {"emptied, other tenure: closed by the start of the tenure", pageOf(1, 9, {}), 2, 108, {}},
                          {"emptied, then a late record of the era", pageOf(1, 9, {closed(100, 1)}), 2, 108, {}},
                          {"trimmed, whole", pageOf(1, 9, minute), 2, std::nullopt, {}},
                          {"closed in this era by an earlier version", pageOf(2, 0, {closed(100, std::nullopt), closed(106, std::nullopt)}), 2, 104, {106}}}) {
        INFO(c.name);
        FinalFigures figures;
        WindowClosing closing;
        REQUIRE(readAll(closing, pageOf(1, 0, {closed(100, 1)}), holdOf(1, 1), figures));
        if (c.tenure != 1) {
            figures.clear();
        }
        const LeaseHold hold = holdOf(c.page.era, c.tenure);
        REQUIRE(readAll(closing, c.page, hold, figures));
        // The era became known in the middle of window 105 and the tenure began 17 s later.
        const HoldTimes times{.since = start + milliseconds(44500), .eraKnownSince = start + milliseconds(27400)};
        const auto opened = dueOpening(closing, hold, times, figures, windows);
        CHECK(opened.has_value() == c.through.has_value());
        if (opened && c.through) {
            CHECK(opened->through == *c.through);
            std::vector<WindowNumber> listed;
            for (const auto &[window, totals] : opened->windows) {
                listed.push_back(window);
            }
            CHECK(listed == c.listed);
        }
    }
}

// Guards against an opening record that lists figures of which there are two, or that opens below a window others know as closed.
TEST_CASE("the opening record lists only figures that no entry contradicts", "[usage][closing]")
{
    FinalFigures figures;
    addFinalFigures(figures, {{100, requests(5)}, {104, requests(6)}, {106, requests(1)}}, TimePoint{});
    mergeFinalFigures(figures, {{104, requests(9)}, {105, requests(2)}, {106, requests(1)}});
    WindowClosing closing;
    const LeaseHold hold = holdOf(2, 1);
    REQUIRE(readAll(closing, pageOf(2, 0, {toJson(closedWindow(99, 7, 1))}), hold, figures));
    const auto opened = dueOpening(closing, hold, {.since = start, .eraKnownSince = start}, figures, windows);
    REQUIRE(opened);
    CHECK(opened->through == 106);
    CHECK(opened->windows == std::map<WindowNumber, UsageByWorkspace>{{105, requests(2)}, {106, requests(1)}});
}

// Guards against a window that is appended with two sets of figures, of which the log may show either.
TEST_CASE("a retry closes a window with the figures decided first", "[usage][closing]")
{
    FinalFigures figures;
    WindowClosing closing;
    const LeaseHold hold = holdOf(1, 1);
    REQUIRE(readAll(closing, pageOf(1, 0, {toJson(closedWindow(99, 7, 1))}), hold, figures));
    const Incarnation late{"entry-2", 1};
    const UsageRows first{{{entry, 100}, requests(3)}, {{late, 99}, requests(1)}};
    UsageRows more = first;
    more[{late, 100}] = requests(2);
    const auto decided = dueClosings(closing, hold, 100, first);
    REQUIRE(decided.size() == 1);
    const auto retried = dueClosings(closing, hold, 100, more);
    REQUIRE(retried.size() == 1);
    CHECK(toJson(retried.front()) == toJson(decided.front()));
    // Unless the log shows that a row in it went into another window.
    applyUsageRecord(closing.ledger, {.closed = ClosedWindow{99, {}, {}, 1}});
    closing.ledger.closedSources.insert({late, 99});
    CHECK(dueClosings(closing, hold, 100, more).front().sources == std::vector<UsageSource>{{entry, 100}, {late, 100}});
}

// Guards against closing or reporting from a ledger that was read under another lease, in another era, or not to its end.
TEST_CASE("windows are closed and reported only under the lease under which the ledger was read", "[usage][closing]")
{
    struct Case
    {
        const char *name;
        LeaseHold before;
        std::optional<LeaseHold> after;
        LeaseHold used;
        bool allowed;
    };
    const LeaseHold hold = holdOf(1, 1);
    for (const Case &c : {Case{"same lease", hold, hold, hold, true},
                          {"lost while reading", hold, std::nullopt, hold, false},
                          {"other tenure while reading", hold, holdOf(1, 2), hold, false},
                          {"other tenure since", hold, hold, holdOf(1, 2), false},
                          {"other era since", hold, hold, holdOf(2, 1), false},
                          {"other era than the ledger's", holdOf(2, 1), holdOf(2, 1), holdOf(2, 1), false}}) {
        INFO(c.name);
        FinalFigures figures;
        WindowClosing closing;
        REQUIRE(applyLedgerPage(closing, pageOf(1, 0, {toJson(closedWindow(99, 7, 1))})) == LogRestart::None);
        confirmLedger(closing, c.before, c.after, figures, windows, TimePoint{});
        CHECK(dueReports(closing, c.used).empty() == !c.allowed);
        CHECK(dueClosings(closing, c.used, 100, {{{entry, 100}, requests(3)}}).empty() == !c.allowed);
        CHECK(figures.empty() == (!c.after || !isSameLease(c.before, *c.after) || c.before.era != 1));
    }
}

// Guards against figures that are told once only, or for good.
TEST_CASE("final figures are told twice, a second apart, before they are reported", "[usage][closing]")
{
    const TimePoint now(seconds(1000));
    FinalFigures figures;
    addFinalFigures(figures, {{100, requests(5)}}, now);
    mergeFinalFigures(figures, {{99, requests(1)}});
    CHECK_FALSE(isTold(figures, 100, now + milliseconds(900)));
    CHECK(isTold(figures, 100, now + milliseconds(1000)));
    CHECK(takeFinalFigures(figures, now).size() == 1);
    CHECK(isTold(figures, 100, now));
    CHECK(takeFinalFigures(figures, now + milliseconds(999)).empty());
    CHECK(takeFinalFigures(figures, now + milliseconds(1000)).contains(100));
    CHECK(takeFinalFigures(figures, now + milliseconds(5000)).empty());
}

// Guards against reporting a late record that had no effect, after the records before it were removed.
TEST_CASE("a trimmed ledger reports only windows that other entries confirm or that are recent", "[usage][closing]")
{
    struct Case
    {
        const char *what;
        std::optional<std::uint64_t> told; //!< requests of window 100 as told by another entry
        bool trimmed;
        bool reported;
    };
    const WindowTimes windows;
    const LeaseHold held{.token = 7, .era = 1, .tenure = 1};
    for (const Case &c : {Case{"nobody tells of the window", std::nullopt, true, false},
                          {"another entry tells the same figures", 5, true, true},
                          {"another entry tells other figures", 7, true, false},
                          {"nothing was removed", std::nullopt, false, true}}) {
        INFO(c.what);
        WindowClosing closing;
        LogPage page{.era = 1, .firstRetained = c.trimmed ? 50 : 0, .next = 53};
        for (const WindowNumber window : {100, 101, 140}) {
            page.records.push_back({page.firstRetained, toJson(ClosedWindow{.window = window, .totals = {{"w1", {.requests = 5}}}, .era = 1})});
        }
        REQUIRE(applyLedgerPage(closing, page) == LogRestart::None);
        FinalFigures figures;
        if (c.told) {
            mergeFinalFigures(figures, {{100, {{"w1", {.requests = *c.told}}}}});
        }
        REQUIRE(confirmLedger(closing, held, held, figures, windows, TimePoint{}));
        const auto due = dueReports(closing, held);
        CHECK(due.contains(100) == c.reported);
        CHECK(due.contains(140));
    }
}

// Guards against closing a window anew that another entry has seen closed with a clock that was ahead.
TEST_CASE("a ledger that is behind the figures told by others is not complete", "[usage][closing]")
{
    const LeaseHold held{.token = 7, .era = 1, .tenure = 1};
    WindowClosing closing;
    const LogPage page{.era = 1, .next = 1, .records = {{0, toJson(OpenedLedger{.era = 1, .token = 7, .through = 101})}}};
    REQUIRE(applyLedgerPage(closing, page) == LogRestart::None);
    FinalFigures figures;
    REQUIRE(confirmLedger(closing, held, held, figures, {}, TimePoint{}));
    CHECK(closing.complete);
    mergeFinalFigures(figures, {{102, {{"w1", {.requests = 9}}}}});
    REQUIRE(confirmLedger(closing, held, held, figures, {}, TimePoint{}));
    CHECK(!closing.complete);
    const auto opened = dueOpening(closing, held, {}, figures, {});
    REQUIRE(opened);
    CHECK(opened->through >= 102);
    CHECK(opened->windows.contains(102));
}

// Guards against a late opening record that removes windows closed since, before they are reported.
TEST_CASE("an opening record that comes late keeps the windows closed since", "[usage][closing]")
{
    UsageLedger ledger;
    applyUsageRecord(ledger, {.opened = OpenedLedger{.era = 1, .token = 7, .through = 99}});
    applyUsageRecord(ledger, {.closed = ClosedWindow{.window = 100, .totals = {{"w1", {.requests = 7}}}, .era = 1}});
    for (const Offset token : {5, 7}) {
        applyUsageRecord(ledger, {.opened = OpenedLedger{.era = 1, .token = token, .through = 98}});
        CHECK(ledger.unreported.contains(100));
        CHECK(ledger.openedBy == 7);
    }
    CHECK(ledger.lastClosed == 100);
}
