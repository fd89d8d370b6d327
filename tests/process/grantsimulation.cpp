#include "grantsimulation.h"

#include <algorithm>
#include <memory>

namespace snipehill::test
{

namespace
{

constexpr int holderCount = 3;
constexpr milliseconds runTime{24000};
constexpr milliseconds tickTime{100};
constexpr milliseconds drainBound{3000};
constexpr milliseconds confirmBound{4000};
const GrantSettings grantSettings{.duration = milliseconds(1500), .orderBound = simulatedOrderBound, .rememberedOrders = 2};

struct Holder
{
    int index = 0;
    Incarnation self;
    Offset fence = noOffset; //!< none: does not take itself for the holder
    std::optional<std::uint64_t> grant;
    int orders = 0;
    Duration pausedUntil{};
};

struct Engine
{
    bool ignoresFences = false;
    EngineState state;
    Duration changingUntil{};
    std::uint64_t run = 0; //!< rises with each crash
    Duration downUntil{};
};

struct Sidecar
{
    std::uint64_t run = 0;
    DriftingClock clock;
    GrantState grants;
    std::unique_ptr<RoleChangeMachine> change;
    EngineOrder order;
    Duration drainedAt{};
    Duration orderStarted{};
    Duration sentAt{};
    bool sent = false;
    bool asking = false;
    Duration askedAt{};
};

class GrantSimulation
{
public:
    GrantSimulation(std::uint64_t seed, GrantMutation mutation) : m_choices(seed), m_mutation(mutation)
    {
        m_faults.lossPercent = static_cast<int>(m_choices.between(0, 15));
        m_faults.duplicatePercent = static_cast<int>(m_choices.between(0, 15));
        m_faults.slowPercent = static_cast<int>(m_choices.between(0, 20));
        m_faults.usualDelay = m_choices.time(2, 200);
        m_engine.ignoresFences = m_choices.percent(50);
    }

    GrantJournal run()
    {
        startSidecar();
        for (int index = 0; index < holderCount; ++index) {
            m_holders[index].index = index;
            m_holders[index].self = {"entry-" + std::to_string(index), m_choices.number()};
            tickHolder(m_holders[index]);
        }
        passAuthority();
        tickSidecar();
        m_time.after(m_choices.time(500, 4000), [this] {
            injectFault();
        });
        m_time.run(runTime);
        return std::move(m_journal);
    }

private:
    TimePoint sidecarNow() const
    {
        return m_sidecar.clock.at(m_time.now());
    }

    void startSidecar()
    {
        const std::uint64_t run = m_sidecar.run + 1;
        m_sidecar = Sidecar{};
        m_sidecar.run = run;
        m_sidecar.clock = {TimePoint(seconds(m_choices.between(0, 9999))), 1.0 + static_cast<double>(m_choices.between(-50, 50)) / 1000};
        m_sidecar.clock.start -= std::chrono::duration_cast<Duration>(m_time.now() * m_sidecar.clock.rate);
        m_sidecar.grants = startGrants(sidecarNow(), grantSettings);
        if (m_mutation == GrantMutation::NoWaitAfterRestart) {
            m_sidecar.grants.readyFrom = sidecarNow();
        }
        if (m_mutation == GrantMutation::NoFenceLearning) {
            m_sidecar.grants.fenceLearnt = true;
            return;
        }
        // The log or a peer answers some time later with the number as it was when it was asked.
        const Offset fence = m_highestFence;
        const std::int64_t longestMs = m_choices.percent(50) ? 30 : 3000;
        atSidecar(m_choices.time(5, longestMs), [this, fence] {
            noteFence(m_sidecar.grants, fence);
            m_sidecar.grants.fenceLearnt = true;
        });
    }

    /** Runs after a delay unless the sidecar was restarted. */
    void atSidecar(Duration delay, const VirtualTime::Action &action)
    {
        m_time.after(delay, [this, run = m_sidecar.run, action] {
            if (m_sidecar.run == run) {
                action();
            }
        });
    }

    /** Another holder takes over; the former one learns it late or not at all. */
    void passAuthority()
    {
        Holder &next = m_holders[m_choices.between(0, holderCount - 1)];
        next.fence = ++m_highestFence;
        next.grant.reset();
        for (Holder &holder : m_holders) {
            if (&holder == &next || holder.fence == noOffset || m_choices.percent(30)) {
                continue;
            }
            m_time.after(m_choices.time(0, 4000), [&holder, fence = holder.fence] {
                if (holder.fence == fence) {
                    holder.fence = noOffset;
                    holder.grant.reset();
                }
            });
        }
        m_time.after(m_choices.time(1500, 6000), [this] {
            passAuthority();
        });
    }

    void injectFault()
    {
        ++m_journal.faults;
        switch (m_choices.between(0, 3)) {
        case 0:
            startSidecar();
            break;
        case 1:
            crashEngine();
            break;
        default:
            m_holders[m_choices.between(0, holderCount - 1)].pausedUntil = m_time.now() + m_choices.time(200, 5000);
            break;
        }
        m_time.after(m_choices.time(500, 5000), [this] {
            injectFault();
        });
    }

    void crashEngine()
    {
        ++m_engine.run;
        m_engine.state = {};
        m_engine.changingUntil = {};
        m_engine.downUntil = m_time.now() + m_choices.time(0, 1500);
    }

    void tickHolder(Holder &holder)
    {
        if (m_time.now() >= holder.pausedUntil && holder.fence != noOffset) {
            if (holder.grant && m_choices.percent(60)) {
                sendRenewal(holder);
            } else {
                sendRequest(holder);
            }
            if (holder.grant && m_choices.percent(25)) {
                sendOrder(holder);
            }
        }
        m_time.after(m_choices.time(50, 500), [this, &holder] {
            tickHolder(holder);
        });
    }

    void sendRequest(Holder &holder)
    {
        sendMessage(m_time, m_choices, m_faults, [this, &holder, fence = holder.fence] {
            takeRequest(holder, fence);
        });
    }

    void takeRequest(Holder &holder, Offset fence)
    {
        Reason reason;
        GrantState &grants = m_sidecar.grants;
        if (m_mutation == GrantMutation::RivalTakesOver && fence > grants.highestFence) {
            grants.current.reset();
            grants.activeOrder.reset();
        }
        const auto grant = requestGrant(grants, holder.self, fence, m_choices.number(), sidecarNow(), grantSettings, reason);
        if (!grant) {
            ++m_journal.refused;
            return;
        }
        noteGiven(holder.index, *grant);
        sendMessage(m_time, m_choices, m_faults, [&holder, id = grant->id, fence] {
            if (holder.fence == fence) {
                holder.grant = id;
            }
        });
    }

    void noteGiven(int holder, const Grant &grant)
    {
        const Duration lapse = m_sidecar.clock.trueTimeOf(grant.expires);
        for (GivenGrant &given : m_journal.grants) {
            if (given.id == grant.id) {
                given.lapsed = lapse;
                return;
            }
        }
        m_journal.grants.push_back({grant.id, holder, grant.fence, m_time.now(), lapse});
    }

    void sendRenewal(Holder &holder)
    {
        sendMessage(m_time, m_choices, m_faults, [this, &holder, id = *holder.grant] {
            Reason reason;
            const auto grant = renewGrant(m_sidecar.grants, id, sidecarNow(), grantSettings, reason);
            if (grant) {
                noteGiven(holder.index, *grant);
                return;
            }
            ++m_journal.refused;
            sendMessage(m_time, m_choices, m_faults, [&holder, id] {
                if (holder.grant == id) {
                    holder.grant.reset();
                }
            });
        });
    }

    void sendOrder(Holder &holder)
    {
        EngineOrder order;
        order.orderId = holder.self.instance + "/" + std::to_string(holder.orders) + "/" + std::to_string(*holder.grant);
        order.grant = *holder.grant;
        order.role = m_choices.percent(50) ? EngineRole::Prefill : EngineRole::Decode;
        // Sometimes the same order goes out again; an order id belongs to one grant.
        holder.orders += m_choices.percent(70) ? 1 : 0;
        sendMessage(m_time, m_choices, m_faults, [this, order] {
            takeOrder(order);
        });
    }

    void takeOrder(EngineOrder order)
    {
        GrantState &grants = m_sidecar.grants;
        if (m_mutation == GrantMutation::AnyGrant && grants.current) {
            order.grant = grants.current->id;
        }
        if (m_mutation == GrantMutation::SeveralOrders) {
            grants.activeOrder.reset();
        }
        Reason reason;
        const auto decision = acceptOrder(grants, order, sidecarNow(), grantSettings, reason);
        if (!decision) {
            ++m_journal.refused;
            return;
        }
        if (decision->run) {
            m_sidecar.change = std::make_unique<RoleChangeMachine>(order.orderId);
            m_sidecar.order = order;
            m_sidecar.orderStarted = m_time.now();
            m_sidecar.drainedAt = m_time.now() + m_choices.time(0, 3500);
            m_sidecar.sent = false;
            m_sidecar.asking = false;
        }
    }

    void tickSidecar()
    {
        if (m_sidecar.change) {
            advanceOrder();
        }
        askWhenNeeded();
        m_time.after(tickTime, [this] {
            tickSidecar();
        });
    }

    void advanceOrder()
    {
        RoleChangeMachine &change = *m_sidecar.change;
        GrantState &grants = m_sidecar.grants;
        const bool lapsed = m_mutation != GrantMutation::NoSecondCheck && !grantInForce(grants, m_sidecar.order.grant, sidecarNow());
        if (change.step() == OrderStep::Drain) {
            if (lapsed) {
                change.onGrantLapsed();
            } else if (m_time.now() >= m_sidecar.drainedAt) {
                change.onIdle();
            } else if (m_time.now() - m_sidecar.orderStarted > drainBound) {
                change.onDrainBound();
            }
        }
        if (change.step() == OrderStep::Send && !m_sidecar.sent) {
            if (lapsed) {
                change.onGrantLapsed();
            } else {
                sendToEngine();
            }
        }
        if (change.step() == OrderStep::Send && m_sidecar.sent && m_time.now() - m_sidecar.sentAt >= grantSettings.orderBound) {
            change.onUnanswered();
        }
        if (change.step() == OrderStep::AskState && m_time.now() - m_sidecar.sentAt > confirmBound) {
            change.onConfirmBound();
        }
        noteOrder(grants, m_sidecar.order.orderId, change.state(), change.detail());
        if (change.step() == OrderStep::Finish) {
            m_sidecar.change.reset();
        }
    }

    void sendToEngine()
    {
        m_sidecar.sent = true;
        m_sidecar.sentAt = m_time.now();
        const Offset fence = m_sidecar.grants.orders.at(m_sidecar.order.orderId).fence;
        if (m_choices.percent(10)) {
            // Killed with the order on its way.
            ++m_journal.faults;
            atSidecar(m_choices.time(1, 50), [this] {
                startSidecar();
            });
        }
        if (m_choices.percent(m_faults.lossPercent)) {
            return;
        }
        // The call is cut at its bound, so its bytes arrive before or never.
        const auto travel = m_choices.time(0, grantSettings.orderBound.count() - 50);
        m_time.after(travel, [this, order = m_sidecar.order, fence] {
            arriveAtEngine(order, fence);
        });
    }

    void arriveAtEngine(const EngineOrder &order, Offset fence)
    {
        if (m_time.now() < m_engine.downUntil) {
            return;
        }
        EngineArrival arrival{.orderId = order.orderId, .grant = order.grant, .fence = fence, .at = m_time.now()};
        arrival.whileChanging = m_time.now() < m_engine.changingUntil;
        const bool old = fence < m_engine.state.lastFence && !m_engine.ignoresFences;
        arrival.taken = !old;
        m_journal.arrivals.push_back(arrival);
        if (!old) {
            m_engine.state.lastFence = std::max(m_engine.state.lastFence, fence);
            m_engine.state.lastOrderId = order.orderId;
            m_engine.state.role = order.role;
            m_engine.changingUntil = m_time.now() + m_choices.time(100, 2500);
        }
        if (m_choices.percent(20)) {
            return; // the answer is lost
        }
        atSidecar(m_choices.time(1, 50), [this, id = order.orderId, old] {
            if (!m_sidecar.change || m_sidecar.order.orderId != id) {
                return;
            }
            if (old) {
                m_sidecar.change->onRefused("old fence");
            } else {
                m_sidecar.change->onAccepted();
            }
        });
    }

    void askWhenNeeded()
    {
        const bool confirming = m_sidecar.change && m_sidecar.change->step() == OrderStep::AskState;
        const bool unknown = !m_sidecar.change && m_sidecar.grants.activeOrder;
        if (m_sidecar.asking || (!confirming && !unknown && m_sidecar.grants.engineAsked)) {
            return;
        }
        m_sidecar.asking = true;
        m_sidecar.askedAt = m_time.now();
        const TimePoint asked = sidecarNow();
        const Duration travel = m_choices.time(1, 200);
        const bool lost = m_choices.percent(m_faults.lossPercent);
        atSidecar(travel, [this, asked, lost] {
            const bool down = m_time.now() < m_engine.downUntil;
            EngineState state = m_engine.state;
            state.changing = m_time.now() < m_engine.changingUntil;
            atSidecar(m_choices.time(1, 200), [this, state, asked, lost, down] {
                m_sidecar.asking = false;
                if (!lost && !down) {
                    takeEngineState(state, asked);
                }
            });
        });
    }

    void takeEngineState(const EngineState &state, TimePoint asked)
    {
        noteEngineState(m_sidecar.grants, state, asked);
        const bool settled = m_sidecar.askedAt >= m_sidecar.sentAt + grantSettings.orderBound;
        if (m_sidecar.change && m_sidecar.change->step() == OrderStep::AskState) {
            m_sidecar.change->onEngineState(state, settled);
        } else if (!m_sidecar.change && !state.changing) {
            clearUnknownOrder(m_sidecar.grants);
        }
    }

    VirtualTime m_time;
    SeededRandom m_choices;
    GrantMutation m_mutation;
    NetworkFaults m_faults;
    Holder m_holders[holderCount];
    Sidecar m_sidecar;
    Engine m_engine;
    Offset m_highestFence = noOffset;
    GrantJournal m_journal;
};

} // namespace

GrantJournal simulateGrants(std::uint64_t seed, GrantMutation mutation)
{
    return GrantSimulation(seed, mutation).run();
}

} // namespace snipehill::test
