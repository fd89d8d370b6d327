#include <process/targetentrytable.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace snipehill;

namespace
{

const TimePoint start(seconds(1000));
constexpr milliseconds grace{2000};

/** An entry of a target; a run of 0 has no start time. */
TargetEntry entry(std::int64_t run, std::uint64_t sequence, const std::string &state = "ready", const std::string &address = "x")
{
    return {.id = "t", .group = "g", .address = address, .failureDomain = "fd-a", .draining = state == "draining", .startTimeMs = run, .sequence = sequence};
}

TargetEntry other(std::int64_t run, const std::string &address)
{
    TargetEntry target = entry(run, 1, "ready", address);
    target.id = "other";
    return target;
}

std::vector<TargetRecord> recordsOf(const std::vector<TargetEntry> &entries)
{
    std::vector<TargetRecord> records;
    records.reserve(entries.size());
    for (const TargetEntry &each : entries) {
        records.push_back({.id = each.id, .entry = each});
    }
    return records;
}

/** What requests see of a target: "ready", "draining" or "none", with its run and role. */
class Applied
{
public:
    void apply(const std::vector<TargetChange> &changes)
    {
        for (const TargetChange &change : changes) {
            if (change.entry) {
                m_entries[change.id] = *change.entry;
            } else {
                m_entries.erase(change.id);
            }
        }
    }

    void apply(const std::optional<TargetChange> &change)
    {
        if (change) {
            apply(std::vector<TargetChange>{*change});
        }
    }

    std::string state(const std::string &id) const
    {
        const auto found = m_entries.find(id);
        if (found == m_entries.end()) {
            return "none";
        }
        const std::string role = found->second.role == EngineRole::Prefill ? " prefill" : "";
        return (found->second.draining ? "draining " : "ready ") + std::to_string(found->second.startTimeMs) + role;
    }

private:
    std::map<std::string, TargetEntry> m_entries;
};

/** State of the target "t" through the return of the log from an older copy. */
struct RecoveryCase
{
    const char *what;
    std::vector<TargetEntry> known; //!< records read before, in sequence
    const char *removed; //!< id whose removal was read after them; empty if none
    std::vector<TargetEntry> copy; //!< entries in the copy
    const char *afterSnapshot;
    const char *afterGrace;
    std::optional<TargetEntry> later; //!< record of "t" written after the snapshot
    const char *afterLater;
};

TargetEntry prefill(TargetEntry target)
{
    target.role = EngineRole::Prefill;
    return target;
}

} // namespace

// Guards against entries of an older copy that undo a removal, a drain, a restart, a role change or the reuse of an address.
TEST_CASE("Entries of an older copy don't undo what is known of a target", "[era][targets]")
{
    const std::vector<RecoveryCase> cases{
        {"unchanged", {entry(5, 3)}, "", {entry(5, 3)}, "ready 5", "ready 5", {}, "ready 5"},
        {"not known before", {}, "", {entry(5, 3)}, "ready 5", "ready 5", {}, "ready 5"},
        {"missing, written again", {entry(5, 3)}, "", {}, "ready 5", "none", entry(5, 4), "ready 5"},
        {"missing, never written again", {entry(5, 3)}, "", {}, "ready 5", "none", {}, "none"},
        {"missing while draining", {entry(5, 3, "draining")}, "", {}, "draining 5", "none", {}, "none"},
        {"removed", {entry(5, 3)}, "t", {entry(5, 3)}, "none", "none", {}, "none"},
        {"removed, earlier entry", {entry(5, 3)}, "t", {entry(5, 2)}, "none", "none", {}, "none"},
        {"removed, without sequence", {entry(5, 0)}, "t", {entry(5, 0)}, "none", "none", {}, "none"},
        {"removed, writes again", {entry(5, 3)}, "t", {entry(5, 3)}, "none", "none", entry(5, 3), "ready 5"},
        {"removed, wrote before the snapshot", {entry(5, 3)}, "t", {entry(5, 4)}, "ready 5", "ready 5", {}, "ready 5"},
        {"removed, new run before the snapshot", {entry(5, 3)}, "t", {entry(6, 1)}, "ready 6", "ready 6", {}, "ready 6"},
        {"removed, earlier run", {entry(4, 9), entry(5, 3)}, "t", {entry(4, 9)}, "none", "none", {}, "none"},
        {"draining", {entry(5, 2), entry(5, 3, "draining")}, "", {entry(5, 2)}, "draining 5", "draining 5", {}, "draining 5"},
        {"draining, same sequence", {entry(5, 3, "draining")}, "", {entry(5, 3)}, "draining 5", "draining 5", {}, "draining 5"},
        {"draining, without sequence", {entry(5, 0, "draining")}, "", {entry(5, 0)}, "draining 5", "draining 5", {}, "draining 5"},
        {"draining, ready again later", {entry(5, 3, "draining")}, "", {entry(5, 2)}, "draining 5", "draining 5", entry(5, 4), "ready 5"},
        {"draining, ready again before the snapshot", {entry(5, 3, "draining")}, "", {entry(5, 4)}, "ready 5", "ready 5", {}, "ready 5"},
        {"draining, new run", {entry(5, 3, "draining")}, "", {entry(6, 1)}, "ready 6", "ready 6", {}, "ready 6"},
        {"drained before the snapshot", {entry(5, 3)}, "", {entry(5, 4, "draining")}, "draining 5", "draining 5", {}, "draining 5"},
        {"drained, without sequence", {entry(5, 0)}, "", {entry(5, 0, "draining")}, "draining 5", "draining 5", {}, "draining 5"},
        {"restarted", {entry(4, 9), entry(5, 1)}, "", {entry(4, 9)}, "ready 5", "ready 5", {}, "ready 5"},
        {"role changed", {entry(5, 2), prefill(entry(5, 3))}, "", {entry(5, 2)}, "ready 5 prefill", "ready 5 prefill", {}, "ready 5 prefill"},
        {"role changed, without sequence", {prefill(entry(5, 0))}, "", {entry(5, 0)}, "ready 5", "ready 5", {}, "ready 5"},
        {"removed, without start time", {entry(0, 3)}, "t", {entry(0, 3)}, "ready 0", "ready 0", {}, "ready 0"},
        {"known without start time", {entry(0, 3)}, "t", {entry(5, 3)}, "ready 5", "ready 5", {}, "ready 5"},
        {"address of a newer target", {other(9, "x")}, "", {entry(5, 3), other(9, "x")}, "none", "none", {}, "none"},
        {"address of a newer target that is missing", {other(9, "x")}, "", {entry(5, 3)}, "none", "none", {}, "none"},
        {"address of a newer target, new run", {other(9, "x")}, "", {entry(10, 1), other(9, "x")}, "ready 10", "ready 10", {}, "ready 10"},
        {"address of a newer target, writes again", {other(9, "x")}, "", {entry(5, 3)}, "none", "none", entry(5, 4), "ready 5"},
        {"address of an older target", {other(3, "x")}, "", {entry(5, 3)}, "ready 5", "ready 5", {}, "ready 5"},
        {"other address", {other(9, "y")}, "", {entry(5, 3)}, "ready 5", "ready 5", {}, "ready 5"},
        {"removed, sequence known only in the copy", {entry(5, 0)}, "t", {entry(5, 3)}, "none", "none", {}, "none"},
        {"removed, copy without start time", {entry(5, 3)}, "t", {entry(0, 3)}, "ready 0", "ready 0", {}, "ready 0"},
        {"address of a newer target, without start time", {other(9, "x")}, "", {entry(0, 3)}, "ready 0", "ready 0", {}, "ready 0"},
        {"address of a newer target that was removed", {other(9, "x")}, "other", {entry(5, 3)}, "none", "none", {}, "none"},
    };
    for (const RecoveryCase &c : cases) {
        INFO(c.what);
        TargetEntryTable table;
        Applied applied;
        TimePoint now = start;
        for (const TargetEntry &known : c.known) {
            applied.apply(applyTargetRecord(table, {.id = known.id, .entry = known}, now));
        }
        applied.apply(applyTargetRecord(table, {.id = c.removed}, now));
        CHECK((c.removed[0] == 0 || applied.state(c.removed) == "none"));
        now += seconds(3);
        startTargetGrace(table, now + grace);
        const TargetSnapshotResult result = applyTargetSnapshot(table, recordsOf(c.copy), SnapshotSource::OlderCopy, now);
        applied.apply(result.changes);
        CHECK(applied.state("t") == c.afterSnapshot);
        now += grace - milliseconds(1);
        applied.apply(expireTargets(table, now));
        CHECK(applied.state("t") == c.afterSnapshot);
        now += milliseconds(1);
        applied.apply(expireTargets(table, now));
        CHECK(applied.state("t") == c.afterGrace);
        if (c.later) {
            applied.apply(applyTargetRecord(table, {.id = "t", .entry = c.later}, now));
        }
        CHECK(applied.state("t") == c.afterLater);
    }
}

// Guards against protection that ends with the first of several copies.
TEST_CASE("What is known of a target outlasts several copies in a row", "[era][targets]")
{
    TargetEntryTable table;
    Applied applied;
    TimePoint now = start;
    applied.apply(applyTargetRecord(table, {.id = "t", .entry = entry(5, 3)}, now));
    applied.apply(applyTargetRecord(table, {.id = "t"}, now));
    for (int copy = 0; copy < 5; ++copy) {
        INFO(copy);
        now += std::chrono::minutes(4);
        startTargetGrace(table, now + grace);
        const TargetSnapshotResult result = applyTargetSnapshot(table, recordsOf({entry(5, 3)}), SnapshotSource::OlderCopy, now);
        CHECK(result.outdated.contains("t"));
        applied.apply(result.changes);
        applied.apply(expireTargets(table, now));
        CHECK(applied.state("t") == "none");
    }
}

// Guards against removing a target because one of several copies lacks its entry.
TEST_CASE("A target that a copy lacks and the next one shows stays", "[era][targets]")
{
    TargetEntryTable table;
    Applied applied;
    applied.apply(applyTargetRecord(table, {.id = "t", .entry = entry(5, 3, "draining")}, start));
    startTargetGrace(table, start + grace);
    applied.apply(applyTargetSnapshot(table, {}, SnapshotSource::OlderCopy, start).changes);
    const TimePoint again = start + grace / 2;
    startTargetGrace(table, again + grace);
    applied.apply(applyTargetSnapshot(table, recordsOf({entry(5, 2)}), SnapshotSource::OlderCopy, again).changes);
    applied.apply(expireTargets(table, again + grace));
    CHECK(applied.state("t") == "draining 5");
}

TEST_CASE("A snapshot of the same log is taken as it is", "[targets]")
{
    struct Case
    {
        const char *what;
        std::vector<TargetEntry> snapshot;
        const char *state;
    };
    for (const Case &c :
         {Case{"an entry without change", {entry(5, 3)}, "ready 5"}, Case{"no entry", {}, "none"}, Case{"another run", {entry(4, 1)}, "ready 4"}}) {
        INFO(c.what);
        TargetEntryTable table;
        Applied applied;
        applied.apply(applyTargetRecord(table, {.id = "t", .entry = entry(5, 3)}, start));
        applied.apply(applyTargetSnapshot(table, recordsOf(c.snapshot), SnapshotSource::SameLog, start + seconds(1)).changes);
        CHECK(applied.state("t") == c.state);
    }
}

TEST_CASE("Targets that were removed long ago are forgotten", "[targets]")
{
    TargetEntryTable table;
    for (int number = 0; number < 100; ++number) {
        TargetEntry target = entry(5, 3);
        target.id += std::to_string(number);
        applyTargetRecord(table, {.id = target.id, .entry = target}, start);
        applyTargetRecord(table, {.id = target.id}, start);
    }
    expireTargets(table, start + seconds(60));
    CHECK(table.targets.size() == 100);
    expireTargets(table, start + std::chrono::hours(1));
    CHECK(table.targets.empty());
}

// Guards against a target that is removed because another writer has left a record that can't be read under its key.
TEST_CASE("A record that can't be read changes nothing that is known of its target", "[targets]")
{
    const TimePoint now(seconds(1000));
    const TargetEntry entry{.id = "t1", .group = "g", .address = "10.0.0.1:80", .startTimeMs = 5};
    TargetEntryTable table;
    REQUIRE(applyTargetRecord(table, {.offset = 1, .id = "t1", .entry = entry}, now));
    const TargetRecord unreadable{.offset = 2, .id = "t1", .unreadable = true};
    CHECK_FALSE(applyTargetRecord(table, unreadable, now));
    CHECK(applyTargetSnapshot(table, {unreadable}, SnapshotSource::SameLog, now).changes.empty());
    CHECK(applyTargetSnapshot(table, {unreadable}, SnapshotSource::OlderCopy, now).changes.empty());
    CHECK(expireTargets(table, now).empty());
    CHECK_FALSE(applyTargetRecord(table, {.offset = 3, .id = "t2", .unreadable = true}, now));
    const auto removed = applyTargetRecord(table, {.offset = 4, .id = "t1"}, now);
    REQUIRE(removed);
    CHECK_FALSE(removed->entry);
}
