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
constexpr milliseconds drainTimeout{3000};
constexpr milliseconds confirmTimeout{4000};
const GrantSettings grantSettings{.duration = milliseconds(1500), .orderTimeout = simulatedOrderTimeout, .maxRememberedOrders = 2};

struct Holder
{
    int index = 0;
    Incarnation self;
    Offset fencingToken = noOffset; //!< noOffset: does not consider itself the lease holder
    std::optional<std::uint64_t> grant;
    int orders = 0;
    Duration pausedUntil{};
};

struct Engine
{
    bool ignoresFencingTokens = false;
    EngineState state;
    Duration changingUntil{};
    std::uint64_t run = 0; //!< incremented by each crash
    Duration downUntil{};
};

struct Sidecar
{
    std::uint64_t run = 0;
    DriftingClock clock;
    GrantState grants;
    std::unique_ptr<EngineOrderMachine> change;
    EngineOrder order;
    Duration drainedAt{};
    Duration orderStarted{};
    Duration sentAt{};
    bool sent = false;
    bool queryInFlight = false;
    Duration queriedAt{};
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
        m_engine.ignoresFencingTokens = m_choices.percent(50);
    }

    GrantRunHistory run()
    {
        startSidecar();
        for (int index = 0; index < holderCount; ++index) {
            m_holders[index].index = index;
            m_holders[index].self = {"entry-" + std::to_string(index), m_choices.number()};
            tickHolder(m_holders[index]);
        }
        transferLease();
        tickSidecar();
        m_time.after(m_choices.time(500, 4000), [this] {
            injectFault();
        });
        m_time.run(runTime);
        return std::move(m_history);
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
        m_sidecar.grants = initialGrantState(sidecarNow(), grantSettings);
        if (m_mutation == GrantMutation::NoDelayAfterRestart) {
            m_sidecar.grants.grantsAllowedFrom = sidecarNow();
        }
        if (m_mutation == GrantMutation::NoTokenLookup) {
            m_sidecar.grants.fencingTokenKnown = true;
            return;
        }
        // The log or a peer answers with a delay and with the token as of the time of the query.
        const Offset fencingToken = m_highestFencingToken;
        const std::int64_t longestMs = m_choices.percent(50) ? 30 : 3000;
        atSidecar(m_choices.time(5, longestMs), [this, fencingToken] {
            observeFencingToken(m_sidecar.grants, fencingToken);
            m_sidecar.grants.fencingTokenKnown = true;
        });
    }

    /** Runs the action after a delay unless the sidecar was restarted meanwhile. */
    void atSidecar(Duration delay, const VirtualTime::Action &action)
    {
        m_time.after(delay, [this, run = m_sidecar.run, action] {
            if (m_sidecar.run == run) {
                action();
            }
        });
    }

    /** Another holder gets the lease; the former one learns of it late or not at all. */
    void transferLease()
    {
        Holder &next = m_holders[m_choices.between(0, holderCount - 1)];
        next.fencingToken = ++m_highestFencingToken;
        next.grant.reset();
        for (Holder &holder : m_holders) {
            if (&holder == &next || holder.fencingToken == noOffset || m_choices.percent(30)) {
                continue;
            }
            m_time.after(m_choices.time(0, 4000), [&holder, fencingToken = holder.fencingToken] {
                if (holder.fencingToken == fencingToken) {
                    holder.fencingToken = noOffset;
                    holder.grant.reset();
                }
            });
        }
        m_time.after(m_choices.time(1500, 6000), [this] {
            transferLease();
        });
    }

    void injectFault()
    {
        ++m_history.faults;
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
        if (m_time.now() >= holder.pausedUntil && holder.fencingToken != noOffset) {
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
        sendMessage(m_time, m_choices, m_faults, [this, &holder, fencingToken = holder.fencingToken] {
            handleRequest(holder, fencingToken);
        });
    }

    void handleRequest(Holder &holder, Offset fencingToken)
    {
        Reason reason;
        GrantState &grants = m_sidecar.grants;
        if (m_mutation == GrantMutation::HigherTokenPreempts && fencingToken > grants.highestFencingToken) {
            grants.current.reset();
            grants.activeOrder.reset();
        }
        const auto grant = requestGrant(grants, holder.self, fencingToken, m_choices.number(), sidecarNow(), grantSettings, reason);
        if (!grant) {
            ++m_history.refused;
            return;
        }
        recordIssuedGrant(holder.index, *grant);
        sendMessage(m_time, m_choices, m_faults, [&holder, id = grant->id, fencingToken] {
            if (holder.fencingToken == fencingToken) {
                holder.grant = id;
            }
        });
    }

    void recordIssuedGrant(int holder, const Grant &grant)
    {
        const Duration expiry = m_sidecar.clock.trueTimeOf(grant.expires);
        for (IssuedGrant &issued : m_history.grants) {
            if (issued.id == grant.id) {
                issued.expiredAt = expiry;
                return;
            }
        }
        m_history.grants.push_back({grant.id, holder, grant.fencingToken, m_time.now(), expiry});
    }

    void sendRenewal(Holder &holder)
    {
        sendMessage(m_time, m_choices, m_faults, [this, &holder, id = *holder.grant] {
            Reason reason;
            const auto grant = renewGrant(m_sidecar.grants, id, sidecarNow(), grantSettings, reason);
            if (grant) {
                recordIssuedGrant(holder.index, *grant);
                return;
            }
            ++m_history.refused;
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
        // Some orders are sent again under the same id; an order id belongs to one grant.
        holder.orders += m_choices.percent(70) ? 1 : 0;
        sendMessage(m_time, m_choices, m_faults, [this, order] {
            handleOrder(order);
        });
    }

    void handleOrder(EngineOrder order)
    {
        GrantState &grants = m_sidecar.grants;
        if (m_mutation == GrantMutation::AnyGrant && grants.current) {
            order.grant = grants.current->id;
        }
        if (m_mutation == GrantMutation::ConcurrentOrders) {
            grants.activeOrder.reset();
        }
        Reason reason;
        const auto decision = acceptOrder(grants, order, sidecarNow(), grantSettings, reason);
        if (!decision) {
            ++m_history.refused;
            return;
        }
        if (decision->run) {
            m_sidecar.change = std::make_unique<EngineOrderMachine>(order.orderId);
            m_sidecar.order = order;
            m_sidecar.orderStarted = m_time.now();
            m_sidecar.drainedAt = m_time.now() + m_choices.time(0, 3500);
            m_sidecar.sent = false;
            m_sidecar.queryInFlight = false;
        }
    }

    void tickSidecar()
    {
        if (m_sidecar.change) {
            advanceOrder();
        }
        queryEngineWhenNeeded();
        m_time.after(tickTime, [this] {
            tickSidecar();
        });
    }

    void advanceOrder()
    {
        EngineOrderMachine &change = *m_sidecar.change;
        GrantState &grants = m_sidecar.grants;
        const bool expired = m_mutation != GrantMutation::NoCheckBeforeSend && !isGrantValid(grants, m_sidecar.order.grant, sidecarNow());
        if (change.step() == OrderStep::Drain) {
            if (expired) {
                change.onGrantExpired();
            } else if (m_time.now() >= m_sidecar.drainedAt) {
                change.onIdle();
            } else if (m_time.now() - m_sidecar.orderStarted > drainTimeout) {
                change.onDrainTimeout();
            }
        }
        if (change.step() == OrderStep::Send && !m_sidecar.sent) {
            if (expired) {
                change.onGrantExpired();
            } else {
                sendToEngine();
            }
        }
        if (change.step() == OrderStep::Send && m_sidecar.sent && m_time.now() - m_sidecar.sentAt >= grantSettings.orderTimeout) {
            change.onNoResponse();
        }
        if (change.step() == OrderStep::QueryState && m_time.now() - m_sidecar.sentAt > confirmTimeout) {
            change.onConfirmTimeout();
        }
        updateOrder(grants, m_sidecar.order.orderId, change.state(), change.detail());
        if (change.step() == OrderStep::Finish) {
            m_sidecar.change.reset();
        }
    }

    void sendToEngine()
    {
        m_sidecar.sent = true;
        m_sidecar.sentAt = m_time.now();
        const Offset fencingToken = m_sidecar.grants.orders.at(m_sidecar.order.orderId).fencingToken;
        if (m_choices.percent(10)) {
            // The sidecar is killed while the order is in flight.
            ++m_history.faults;
            atSidecar(m_choices.time(1, 50), [this] {
                startSidecar();
            });
        }
        if (m_choices.percent(m_faults.lossPercent)) {
            return;
        }
        // The call is aborted at its timeout, so the order arrives before that or never.
        const auto travel = m_choices.time(0, grantSettings.orderTimeout.count() - 50);
        m_time.after(travel, [this, order = m_sidecar.order, fencingToken] {
            arriveAtEngine(order, fencingToken);
        });
    }

    void arriveAtEngine(const EngineOrder &order, Offset fencingToken)
    {
        if (m_time.now() < m_engine.downUntil) {
            return;
        }
        EngineArrival arrival{.orderId = order.orderId, .grant = order.grant, .fencingToken = fencingToken, .at = m_time.now()};
        arrival.whileChanging = m_time.now() < m_engine.changingUntil;
        const bool old = fencingToken < m_engine.state.lastFence && !m_engine.ignoresFencingTokens;
        arrival.accepted = !old;
        m_history.arrivals.push_back(arrival);
        if (!old) {
            m_engine.state.lastFence = std::max(m_engine.state.lastFence, fencingToken);
            m_engine.state.lastOrderId = order.orderId;
            m_engine.state.role = order.role;
            m_engine.changingUntil = m_time.now() + m_choices.time(100, 2500);
        }
        if (m_choices.percent(20)) {
            return; // the response is lost
        }
        atSidecar(m_choices.time(1, 50), [this, id = order.orderId, old] {
            if (!m_sidecar.change || m_sidecar.order.orderId != id) {
                return;
            }
            if (old) {
                m_sidecar.change->onRefused("outdated fencing token");
            } else {
                m_sidecar.change->onAccepted();
            }
        });
    }

    void queryEngineWhenNeeded()
    {
        const bool confirming = m_sidecar.change && m_sidecar.change->step() == OrderStep::QueryState;
        const bool unknown = !m_sidecar.change && m_sidecar.grants.activeOrder;
        if (m_sidecar.queryInFlight || (!confirming && !unknown && m_sidecar.grants.engineStateKnown)) {
            return;
        }
        m_sidecar.queryInFlight = true;
        m_sidecar.queriedAt = m_time.now();
        const TimePoint queriedTime = sidecarNow();
        const Duration travel = m_choices.time(1, 200);
        const bool lost = m_choices.percent(m_faults.lossPercent);
        atSidecar(travel, [this, queriedTime, lost] {
            const bool down = m_time.now() < m_engine.downUntil;
            EngineState state = m_engine.state;
            state.changing = m_time.now() < m_engine.changingUntil;
            atSidecar(m_choices.time(1, 200), [this, state, queriedTime, lost, down] {
                m_sidecar.queryInFlight = false;
                if (!lost && !down) {
                    applyEngineState(state, queriedTime);
                }
            });
        });
    }

    void applyEngineState(const EngineState &state, TimePoint queriedTime)
    {
        observeEngineState(m_sidecar.grants, state, queriedTime);
        const bool noCopyInFlight = m_sidecar.queriedAt >= m_sidecar.sentAt + grantSettings.orderTimeout;
        if (m_sidecar.change && m_sidecar.change->step() == OrderStep::QueryState) {
            m_sidecar.change->onEngineState(state, noCopyInFlight);
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
    Offset m_highestFencingToken = noOffset;
    GrantRunHistory m_history;
};

} // namespace

GrantRunHistory simulateGrants(std::uint64_t seed, GrantMutation mutation)
{
    return GrantSimulation(seed, mutation).run();
}

} // namespace snipehill::test
