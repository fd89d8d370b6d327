#pragma once

#include "faketarget.h"
#include "random.h"
#include "runtypes.h"
#include "workload.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace snipehill::fakes
{

/** Discrete-event simulation of entries, sidecars and engines in virtual time. */
class RoutingRun
{
public:
    RoutingRun(RunSettings settings, std::vector<Arrival> arrivals)
        : m_settings(std::move(settings)), m_arrivals(std::move(arrivals)), m_random{m_settings.seed}
    {
        makeTargets();
        makeEntries();
        m_result.records.resize(m_arrivals.size());
        m_tried.resize(m_arrivals.size());
        m_generated.resize(m_arrivals.size());
        for (std::size_t i = 0; i < m_arrivals.size(); ++i) {
            m_result.records[i].workspace = m_arrivals[i].workspace;
            m_result.records[i].due = m_arrivals[i].due;
            m_result.records[i].outputTokens = m_arrivals[i].outputTokens;
            schedule(m_arrivals[i].due, Event::Kind::Arrive, i);
        }
        schedule(m_settings.reportEvery, Event::Kind::Report, 0);
    }

    RunResult run()
    {
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            handle(event);
        }
        for (const FakeTarget &target : m_targets) {
            m_result.prefilledTokens += target.engine.prefilledTokens;
            m_result.cachedTokens += target.engine.cachedTokens;
        }
        return m_result;
    }

private:
    struct Event
    {
        enum class Kind {
            Arrive,
            Step,
            Restart,
            Report,
        };
        double time = 0;
        std::uint64_t order = 0;
        Kind kind = Kind::Arrive;
        std::size_t index = 0;
        bool operator>(const Event &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    void makeTargets()
    {
        if (m_settings.members.empty()) {
            for (std::uint32_t i = 0; i < m_settings.targets; ++i) {
                m_settings.members.push_back({"t" + std::to_string(i), "d" + std::to_string(i % m_settings.domains)});
            }
        }
        m_targets.resize(m_settings.members.size());
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            FakeEngineSettings &engine = m_targets[i].engine.settings;
            engine = m_settings.engine;
            if (i < m_settings.slowTargets) {
                engine.prefillTokensPerSecond *= m_settings.slowSpeed;
                engine.stepSeconds /= m_settings.slowSpeed;
                engine.stepSecondsPerStream /= m_settings.slowSpeed;
            }
        }
    }

    void makeEntries()
    {
        m_entries.resize(m_settings.entries);
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            const auto subset = targetSubset("entry-" + std::to_string(i), m_settings.members, m_settings.subset);
            for (const std::size_t position : subset) {
                TargetView view;
                view.instance = m_settings.members[position].instance;
                view.failureDomain = m_settings.members[position].failureDomain;
                m_entries[i].views.push_back(view);
            }
            m_entries[i].inFlight.resize(m_entries[i].views.size());
            m_positions.push_back(subset);
            m_reportTimes.emplace_back(subset.size(), 0.0);
        }
    }

    void schedule(double time, Event::Kind kind, std::size_t index)
    {
        m_events.push({time, m_order++, kind, index});
    }

    TimePoint timePoint(double time) const
    {
        return TimePoint{} + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time + 1));
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case Event::Kind::Arrive:
            arrive(event.index);
            break;
        case Event::Kind::Step:
            endStep(event.index);
            break;
        case Event::Kind::Restart:
            m_targets[event.index].down = false;
            break;
        case Event::Kind::Report:
            reportAll();
            break;
        }
    }

    void reportAll()
    {
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            for (const std::size_t target : m_positions[entry]) {
                report(entry, target);
            }
        }
        if (!m_events.empty()) {
            schedule(m_now + m_settings.reportEvery, Event::Kind::Report, 0);
        }
    }

    std::size_t viewIndexOf(std::size_t entry, std::size_t target) const
    {
        const auto &positions = m_positions[entry];
        return static_cast<std::size_t>(std::find(positions.begin(), positions.end(), target) - positions.begin());
    }

    void report(std::size_t entry, std::size_t target)
    {
        const std::size_t viewIndex = viewIndexOf(entry, target);
        TargetView &view = m_entries[entry].views[viewIndex];
        view.report = makeReport(m_targets[target], view.instance, m_arrivals, m_settings.queue.slots);
        view.reported = true;
        view.outstanding = {};
        m_reportTimes[entry][viewIndex] = m_now;
        applyCacheEpoch(m_entries[entry].prefixes, view.instance, 0, view.report.cacheEpoch);
        mergeSuspectUpdates(m_entries[entry].suspects,
                            suspectUpdates(m_targets[target].suspects, 16, m_settings.crashes, timePoint(m_now)),
                            m_settings.crashes,
                            timePoint(m_now));
    }

    void piggyback(std::size_t request, std::size_t target)
    {
        if (m_settings.piggybackReports) {
            report(m_arrivals[request].entry, target);
        }
    }

    PlacementRequest placementOf(std::size_t request, bool isolated) const
    {
        const Arrival &arrival = m_arrivals[request];
        PlacementRequest placement{arrival.promptTokens, arrival.outputTokens, isolated};
        placement.fingerprint = arrival.fingerprint;
        if (m_settings.colocateDuplicates) {
            placement.colocateWith = colocatedInstance(m_entries[arrival.entry].duplicates, arrival.fingerprint);
        }
        return placement;
    }

    void refreshViews(std::size_t request)
    {
        const Arrival &arrival = m_arrivals[request];
        FakeEntry &entry = m_entries[arrival.entry];
        for (std::size_t i = 0; i < entry.views.size(); ++i) {
            TargetView &view = entry.views[i];
            view.reportAge = timePoint(m_now) - timePoint(m_reportTimes[arrival.entry][i]);
            view.cachedPromptTokens = m_settings.prefixIndex ? cachedBlocks(entry.prefixes, view.instance, arrival.prefixHashes) * fakeBlockTokens : 0;
        }
    }

    void arrive(std::size_t request)
    {
        const Arrival &arrival = m_arrivals[request];
        FakeEntry &entry = m_entries[arrival.entry];
        recordFirstAttempt(entry.retries, m_settings.retries);
        refreshViews(request);
        const RunPermission permission = runPermissionFor(entry.suspects, arrival.fingerprint, m_settings.crashes, timePoint(m_now));
        AdmissionRequest admission{arrival.promptTokens, arrival.outputTokens, std::chrono::seconds(1000000), PlacementCost{}};
        const std::optional<std::size_t> viewIndex = pick(request, permission == RunPermission::Isolated);
        if (m_settings.deadlineAdmission) {
            admission.remaining = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_settings.deadline));
            admission.forecast.reset();
            if (viewIndex) {
                admission.forecast = predictCost(entry.views[*viewIndex], placementOf(request, false), m_settings.choice);
            }
        }
        Workspace workspace = m_settings.limits;
        workspace.name = arrival.workspace;
        if (permission == RunPermission::Blocked || admit(entry.admission, workspace, admission, m_settings.entries, m_settings.admission, timePoint(m_now))) {
            m_result.records[request].refused = true;
            return;
        }
        dispatch(request, viewIndex);
    }

    void endRequest(std::size_t request, bool refused)
    {
        const Arrival &arrival = m_arrivals[request];
        RequestRecord &record = m_result.records[request];
        record.refused = refused;
        record.end = refused ? -1 : m_now;
        release(m_entries[arrival.entry].admission, arrival.workspace, 0);
    }

    std::optional<std::size_t> pick(std::size_t request, bool isolated)
    {
        FakeEntry &entry = m_entries[m_arrivals[request].entry];
        if (m_settings.policy == Policy::Predicted || isolated) {
            return pickByPrediction(entry, placementOf(request, isolated), m_tried[request], m_settings.choice, m_random);
        }
        return pickByBaseline(entry, m_settings.policy, m_tried[request], m_random);
    }

    void dispatch(std::size_t request, std::optional<std::size_t> first = {})
    {
        const Arrival &arrival = m_arrivals[request];
        FakeEntry &entry = m_entries[arrival.entry];
        while (true) {
            const RunPermission permission = runPermissionFor(entry.suspects, arrival.fingerprint, m_settings.crashes, timePoint(m_now));
            const std::optional<std::size_t> viewIndex = permission == RunPermission::Blocked ? std::nullopt
                : first                                                                       ? first
                                                                                              : pick(request, permission == RunPermission::Isolated);
            first.reset();
            if (!viewIndex) {
                endRequest(request, true);
                return;
            }
            ++m_result.attempts;
            ++m_result.records[request].attempts;
            const std::size_t target = m_positions[arrival.entry][*viewIndex];
            mergeSuspectUpdates(
                m_targets[target].suspects, suspectUpdates(entry.suspects, 16, m_settings.crashes, timePoint(m_now)), m_settings.crashes, timePoint(m_now));
            ++entry.inFlight[*viewIndex];
            recordDuplicateSent(entry.duplicates, arrival.fingerprint, entry.views[*viewIndex].instance);
            if (accept(request, target, permission == RunPermission::Isolated)) {
                TargetView &view = entry.views[*viewIndex];
                ++view.outstanding.requests;
                view.outstanding.prefillTokens += arrival.promptTokens - std::min(arrival.promptTokens, view.cachedPromptTokens);
                view.outstanding.decodeTokens += arrival.outputTokens;
                recordRoutedPrefix(entry.prefixes, view.instance, arrival.prefixHashes);
                return;
            }
            endAttempt(request, target);
            report(arrival.entry, target);
            m_tried[request].push_back(m_settings.members[target].instance);
            if (!takeRetry(entry.retries)) {
                ++m_result.retriesRefused;
                endRequest(request, true);
                return;
            }
        }
    }

    bool accept(std::size_t request, std::size_t position, bool isolated)
    {
        FakeTarget &target = m_targets[position];
        const Arrival &arrival = m_arrivals[request];
        const RunPermission permission = runPermissionFor(target.suspects, arrival.fingerprint, m_settings.crashes, timePoint(m_now));
        if (target.down || permission == RunPermission::Blocked) {
            return false;
        }
        QueuedRequest queued;
        queued.attempt = request;
        queued.workspace = m_settings.fairQueue ? arrival.workspace : "all";
        queued.weight = arrival.weight;
        queued.costTokens = queueCost(arrival.promptTokens, arrival.outputTokens);
        queued.deadline = timePoint(arrival.due + m_settings.deadline);
        queued.isolated = isolated || permission == RunPermission::Isolated;
        if (!enqueue(target.queue, queued, m_settings.queue)) {
            return false;
        }
        dispatchQueued(position);
        return true;
    }

    void dispatchQueued(std::size_t position)
    {
        FakeTarget &target = m_targets[position];
        for (const QueuedRequest &expired : takeExpired(target.queue, timePoint(m_now))) {
            endAttempt(expired.attempt, position);
            endRequest(expired.attempt, true);
        }
        while (!target.down) {
            const std::optional<QueuedRequest> next = dequeue(target.queue, m_settings.queue);
            if (!next) {
                break;
            }
            const Arrival &arrival = m_arrivals[next->attempt];
            const RunPermission permission = runPermissionFor(target.suspects, arrival.fingerprint, m_settings.crashes, timePoint(m_now));
            if (permission == RunPermission::Blocked || (permission == RunPermission::Isolated && !next->isolated)) {
                // A suspect update arrived while the request was queued.
                finish(target.queue, *next, 0);
                if (permission == RunPermission::Blocked) {
                    endAttempt(next->attempt, position);
                    endRequest(next->attempt, true);
                } else {
                    QueuedRequest suspect = *next;
                    suspect.isolated = true;
                    enqueue(target.queue, suspect, m_settings.queue);
                }
                continue;
            }
            const std::uint64_t done = m_generated[next->attempt];
            FakeStream stream{
                next->attempt, arrival.promptTokens + done, arrival.outputTokens - std::min(done, arrival.outputTokens - 1), arrival.prefixHashes};
            stream.priority = m_settings.fairQueue ? enginePriority(target.queue, *next, m_settings.queue) : 0;
            stream.crashes = arrival.crashes;
            startStream(target.engine, std::move(stream));
            target.onEngine.push_back(*next);
        }
        if (!target.stepping && !target.engine.streams.empty()) {
            target.pending = step(target.engine);
            target.stepping = true;
            schedule(m_now + target.pending.seconds, Event::Kind::Step, position);
        }
    }

    void endAttempt(std::size_t request, std::size_t target, bool answered = false)
    {
        const Arrival &arrival = m_arrivals[request];
        FakeEntry &entry = m_entries[arrival.entry];
        const std::size_t viewIndex = viewIndexOf(arrival.entry, target);
        --entry.inFlight[viewIndex];
        recordDuplicateEnded(entry.duplicates, arrival.fingerprint, entry.views[viewIndex].instance, answered);
    }

    void endStep(std::size_t position)
    {
        FakeTarget &target = m_targets[position];
        target.stepping = false;
        const StepResult result = std::move(target.pending);
        if (result.crashed) {
            crashTarget(position);
            return;
        }
        for (const std::uint64_t request : result.firstTokens) {
            if (m_result.records[request].firstToken < 0) {
                m_result.records[request].firstToken = m_now;
            }
            piggyback(request, position);
        }
        for (const std::uint64_t request : result.finished) {
            const QueuedRequest queued = removeFromEngine(target, request);
            finish(target.queue, queued, queued.costTokens);
            if (queued.isolated) {
                recordIsolatedSuccess(target.suspects, m_arrivals[request].fingerprint, timePoint(m_now));
            }
            endAttempt(request, position, true);
            endRequest(request, false);
            piggyback(request, position);
        }
        dispatchQueued(position);
    }

    void crashTarget(std::size_t position)
    {
        FakeTarget &target = m_targets[position];
        m_result.firstCrash = m_result.targetsLost == 0 ? m_now : m_result.firstCrash;
        ++m_result.targetsLost;
        ++target.cacheEpoch;
        target.down = true;
        for (const FakeStream &stream : target.engine.streams) {
            m_generated[stream.id] += stream.generated;
        }
        crash(target.engine);
        const bool isolated = target.onEngine.size() == 1 && target.onEngine.front().isolated;
        std::vector<std::uint64_t> fingerprints;
        for (const QueuedRequest &queued : target.onEngine) {
            fingerprints.push_back(m_arrivals[queued.attempt].fingerprint);
        }
        recordCrash(target.suspects, fingerprints, isolated, m_settings.crashes, timePoint(m_now));
        const std::vector<std::size_t> lost = removeAllRequests(target);
        schedule(m_now + m_settings.restartSeconds, Event::Kind::Restart, position);
        for (const std::size_t request : lost) {
            endAttempt(request, position);
            report(m_arrivals[request].entry, position);
        }
        for (const std::size_t request : lost) {
            m_tried[request].push_back(m_settings.members[position].instance);
            refreshViews(request);
            dispatch(request);
        }
    }

    RunSettings m_settings;
    std::vector<Arrival> m_arrivals;
    Random m_random;
    std::vector<FakeTarget> m_targets;
    std::vector<FakeEntry> m_entries;
    std::vector<std::vector<std::size_t>> m_positions; //!< index of the target of each view, by entry
    std::vector<std::vector<double>> m_reportTimes;
    std::vector<std::vector<std::string>> m_tried;
    std::vector<std::uint64_t> m_generated; //!< tokens already delivered by lost attempts, by request
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    double m_now = 0;
    RunResult m_result;
};

} // namespace snipehill::fakes
