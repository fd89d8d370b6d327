#pragma once

#include <request/crashevidence.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <tuple>
#include <utility>
#include <vector>

namespace snipehill::fakes
{

/** Load and faults of a deployment in which some prompt parts crash the targets that begin to respond to them. */
struct CrashLoad
{
    std::size_t targets = 18;
    std::size_t slots = 16;
    std::size_t entries = 6;
    double soundPerTarget = 10; //!< requests a second
    double crashingPerSecond = 10; //!< requests a second with each crashing part; 0: none
    std::size_t culprits = 1; //!< crashing parts, no two in one request
    bool alike = false; //!< all requests with one crashing part are the same
    bool crashingFirst = false; //!< the crashing parts are the first of the prompt, else the second
    bool sharedPart = false; //!< all requests begin with one more part, the same
    double slowness = 1; //!< factor on waits and lengths of responses
    std::size_t callers = 8; //!< each with a first part of its own
    std::size_t subjects = 90; //!< second parts of sound prompts
    seconds crashingFrom{5};
    seconds duration{40};
    double updateLoss = 0.02; //!< share of peer updates that are lost
    double domainCrashShare = 0; //!< share of the targets that end at one moment, whatever they run ...
    seconds domainCrashInterval{10}; //!< ... so often
    std::uint64_t seed = 1;
};

/** What became of the requests. */
struct CrashOutcome
{
    std::uint64_t soundRequests = 0;
    std::uint64_t soundRefused = 0; //!< because of a blocked cause
    std::uint64_t soundBroken = 0; //!< ended without a response, after their retry
    std::uint64_t relatedAfter = 0; //!< sound requests with the caller or the first part of the crashing ones, from 6 s after the fifth crash on
    std::uint64_t relatedRefused = 0; //!< of these
    std::uint64_t crashes = 0; //!< under the crashing part
    std::uint64_t lateSends = 0; //!< of requests with the crashing part, from 3 s after the fifth crash on
    std::uint64_t lateAfterThird = 0; //!< sends from 3 s after the third crash of the same crashing part on; of the worst part
    std::uint64_t mostCrashes = 0; //!< under one crashing part
    std::uint64_t refusedLate = 0; //!< sound requests refused because of a blocked cause in the last ten seconds
    std::uint64_t retriesDenied = 0; //!< of sound requests, because of suspicion
};

/** Plays a load in virtual time with one CrashEvidence an entry. */
class CrashEvidenceRun
{
public:
    explicit CrashEvidenceRun(const CrashLoad &load, const CrashEvidenceSettings &settings = {})
        : m_load(load)
        , m_settings(settings)
        , m_random(load.seed)
        , m_entries(load.entries)
        , m_targets(load.targets)
        , m_culprits(load.culprits)
        , m_updateInterval(std::max<Duration>(milliseconds(100), milliseconds(4) * load.entries))
    {
    }

    CrashOutcome play()
    {
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            m_entries[entry].self = entry;
            for (std::size_t peer = 0; peer < m_entries.size(); ++peer) {
                if (peer != entry) {
                    m_entries[entry].peers.push_back(peer);
                }
            }
            at(between(milliseconds(0), milliseconds(100)), [this, entry] {
                sendUpdate(entry);
            });
        }
        scheduleSound();
        if (m_load.crashingPerSecond > 0) {
            at(m_load.crashingFrom, [this] {
                for (std::size_t culprit = 0; culprit < m_load.culprits; ++culprit) {
                    scheduleCrashing(culprit);
                }
            });
        }
        if (m_load.domainCrashShare > 0) {
            scheduleDomainCrash();
        }
        while (!m_events.empty() && m_events.top().time < end()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        for (const Culprit &culprit : m_culprits) {
            m_outcome.lateAfterThird = std::max(m_outcome.lateAfterThird, culprit.late);
            m_outcome.mostCrashes = std::max(m_outcome.mostCrashes, culprit.crashes);
        }
        return m_outcome;
    }

private:
    struct Request
    {
        std::vector<CrashCause> causes;
        std::optional<std::size_t> culprit;
        bool related = false;
        bool trial = false;
        std::size_t entry = 0;
        int attempts = 0;
        TimePoint sent{};
        TimePoint firstEvent{}; //!< unset: none yet
    };
    using RequestPointer = std::shared_ptr<Request>;
    struct Culprit
    {
        std::uint64_t crashes = 0;
        TimePoint third{};
        std::uint64_t late = 0;
    };
    struct FakeTarget
    {
        std::uint64_t run = 1;
        bool up = true;
        std::vector<RequestPointer> active;
    };
    struct Event
    {
        TimePoint time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    static constexpr CrashCause crashingPart = 1;
    static constexpr CrashCause shared = 90;
    static constexpr CrashCause firstCallerPart = 100;
    static constexpr CrashCause firstSubject = 10000;

    TimePoint end() const
    {
        return TimePoint(seconds(1000)) + m_load.duration;
    }
    void at(Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, m_nextOrder++, std::move(action)});
    }
    Duration between(Duration low, Duration high)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(m_random));
    }
    std::size_t below(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }
    Duration gap(double perSecond)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::exponential_distribution<double>(perSecond)(m_random)));
    }
    Duration stretched(Duration time) const
    {
        return std::chrono::duration_cast<Duration>(time * m_load.slowness);
    }
    bool afterFifthCrash(Duration time) const
    {
        return m_outcome.crashes >= 5 && m_now > m_fifthCrash + time;
    }

    void scheduleSound()
    {
        at(gap(m_load.soundPerTarget * static_cast<double>(m_load.targets)), [this] {
            const std::size_t caller = below(m_load.callers);
            // Squaring makes some subjects much rarer than others.
            const double place = std::uniform_real_distribution<double>(0, 1)(m_random);
            const auto subject = static_cast<CrashCause>(place * place * static_cast<double>(m_load.subjects));
            ++m_outcome.soundRequests;
            receive({firstCallerPart + caller, firstSubject + subject}, std::nullopt, caller == 0);
            scheduleSound();
        });
    }
    void scheduleCrashing(std::size_t culprit)
    {
        at(gap(m_load.crashingPerSecond), [this, culprit] {
            const CrashCause other = m_load.crashingFirst ? firstSubject + below(m_load.subjects) : firstCallerPart + culprit;
            receive({crashingPart + culprit, other}, culprit, false);
            scheduleCrashing(culprit);
        });
    }
    void scheduleDomainCrash()
    {
        at(m_load.domainCrashInterval, [this] {
            const auto count = static_cast<std::size_t>(m_load.domainCrashShare * static_cast<double>(m_targets.size()));
            for (std::size_t target = 0; target < count; ++target) {
                crash(target);
            }
            scheduleDomainCrash();
        });
    }

    void receive(std::vector<CrashCause> causes, std::optional<std::size_t> culprit, bool related)
    {
        const auto request = std::make_shared<Request>();
        request->causes = std::move(causes);
        if (m_load.sharedPart) {
            request->causes.push_back(shared);
        }
        const bool alike = m_load.alike && culprit;
        request->causes.push_back((1ULL << 40U) + (alike ? *culprit : 1000 + m_nextOrder++));
        std::sort(request->causes.begin(), request->causes.end());
        request->culprit = culprit;
        request->related = related;
        request->entry = below(m_entries.size());
        const bool counted = related && afterFifthCrash(seconds(6));
        m_outcome.relatedAfter += counted ? 1 : 0;
        CrashEvidence &evidence = m_entries[request->entry];
        evaluateCrashes(evidence, m_settings, m_now);
        if (const BlockedCauses *blocked = findBlocked(evidence, request->causes, m_settings, m_now)) {
            recordRefusal(evidence, *blocked, m_now);
            m_outcome.soundRefused += culprit ? 0 : 1;
            m_outcome.refusedLate += !culprit && end() - m_now < seconds(10) ? 1 : 0;
            m_outcome.relatedRefused += counted ? 1 : 0;
            return;
        }
        request->trial = beginTrial(evidence, request->causes, m_settings, m_now);
        send(request);
    }
    void send(const RequestPointer &request)
    {
        std::size_t chosen = below(m_targets.size());
        for (int tries = 0; tries < 6; ++tries) {
            const std::size_t other = below(m_targets.size());
            if (!m_targets[chosen].up || (m_targets[other].up && m_targets[other].active.size() < m_targets[chosen].active.size())) {
                chosen = other;
            }
        }
        FakeTarget &target = m_targets[chosen];
        if (!target.up) {
            finishTrial(*request, false);
            m_outcome.soundBroken += request->culprit ? 0 : 1;
            return;
        }
        m_outcome.lateSends += request->culprit && afterFifthCrash(seconds(3)) ? 1 : 0;
        if (request->culprit) {
            Culprit &culprit = m_culprits[*request->culprit];
            culprit.late += culprit.crashes >= 3 && m_now > culprit.third + seconds(3) ? 1 : 0;
        }
        ++request->attempts;
        request->sent = m_now;
        request->firstEvent = {};
        target.active.push_back(request);
        const std::size_t queued = target.active.size() > m_load.slots ? target.active.size() - m_load.slots : 0;
        at(stretched(between(milliseconds(10), milliseconds(150))) + milliseconds(20) * queued, [this, request, chosen, run = target.run] {
            if (m_targets[chosen].run == run && m_targets[chosen].up) {
                begin(request, chosen);
            }
        });
    }
    void begin(const RequestPointer &request, std::size_t chosen)
    {
        request->firstEvent = m_now;
        const Duration length = request->culprit ? between(milliseconds(60), milliseconds(115)) : stretched(between(milliseconds(50), milliseconds(400)));
        at(length, [this, request, chosen, run = m_targets[chosen].run] {
            FakeTarget &target = m_targets[chosen];
            if (target.run != run || !target.up) {
                return;
            }
            if (request->culprit) {
                Culprit &culprit = m_culprits[*request->culprit];
                culprit.third = ++culprit.crashes == 3 ? m_now : culprit.third;
                ++m_outcome.crashes;
                m_fifthCrash = m_outcome.crashes == 5 ? m_now : m_fifthCrash;
                crash(chosen);
                return;
            }
            std::erase(target.active, request);
            recordSound(m_entries[request->entry], request->causes, request->firstEvent, m_settings);
            finishTrial(*request, true);
        });
    }
    void crash(std::size_t chosen)
    {
        FakeTarget &target = m_targets[chosen];
        if (!target.up) {
            return;
        }
        target.up = false;
        const TargetRunHash run = (target.run << 16U) + chosen + 1;
        for (const RequestPointer &request : std::exchange(target.active, {})) {
            at(between(milliseconds(1), milliseconds(20)), [this, request, run] {
                notice(request, run);
            });
        }
        at(between(seconds(2), seconds(4)), [&target] {
            ++target.run;
            target.up = true;
        });
    }
    void notice(const RequestPointer &request, TargetRunHash run)
    {
        CrashEvidence &evidence = m_entries[request->entry];
        finishTrial(*request, true);
        const bool suspect = request->firstEvent == TimePoint{} || m_now - request->firstEvent < m_settings.suspectTime;
        if (suspect) {
            recordCrash(evidence, run, {request->causes, m_now - request->sent}, m_settings, m_now);
        }
        evaluateCrashes(evidence, m_settings, m_now);
        const bool denied = findBlocked(evidence, request->causes, m_settings, m_now) || suspicionOf(evidence, request->causes) + 1 >= m_settings.minCrashes;
        if (request->attempts < 2 && !denied) {
            send(request);
            return;
        }
        m_outcome.retriesDenied += !request->culprit && denied ? 1 : 0;
        m_outcome.soundBroken += request->culprit ? 0 : 1;
    }
    void finishTrial(const Request &request, bool received)
    {
        if (request.trial) {
            endTrial(m_entries[request.entry], request.causes, received, m_settings, m_now);
        }
    }
    void sendUpdate(std::size_t sender)
    {
        const auto reports = std::make_shared<std::vector<CrashReport>>(takeCrashReports(m_entries[sender], m_settings, m_now));
        for (std::size_t receiver = 0; receiver < m_entries.size() && !reports->empty(); ++receiver) {
            if (receiver != sender && !std::bernoulli_distribution(m_load.updateLoss)(m_random)) {
                at(between(milliseconds(1), milliseconds(5)), [this, receiver, reports] {
                    for (const CrashReport &report : *reports) {
                        mergeCrashReport(m_entries[receiver], report, m_settings, m_now);
                    }
                });
            }
        }
        at(m_updateInterval, [this, sender] {
            sendUpdate(sender);
        });
    }

    const CrashLoad m_load;
    const CrashEvidenceSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<CrashEvidence> m_entries;
    std::vector<FakeTarget> m_targets;
    std::vector<Culprit> m_culprits;
    Duration m_updateInterval;
    std::priority_queue<Event> m_events;
    std::uint64_t m_nextOrder = 0;
    TimePoint m_now{seconds(1000)};
    TimePoint m_fifthCrash{};
    CrashOutcome m_outcome;
};

} // namespace snipehill::fakes
