#include <process/engineordermachine.h>

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <utility>

namespace snipehill
{

namespace msm = boost::msm;

namespace
{

struct Idle
{
};
struct DrainTimedOut
{
};
struct GrantExpired
{
};
struct Accepted
{
};
struct Refused
{
};
struct NoResponse
{
};
struct OrderInEffect
{
};
struct OrderNotReceived
{
};
struct ConfirmTimedOut
{
};

struct RoleMachineDefinition : public msm::front::state_machine_def<RoleMachineDefinition>
{
    struct Draining : public msm::front::state<>
    {
    };
    struct Sending : public msm::front::state<>
    {
    };
    struct Confirming : public msm::front::state<>
    {
    };
    struct ResponseUnknown : public msm::front::state<>
    {
    };
    struct Done : public msm::front::state<>
    {
    };
    struct Failed : public msm::front::state<>
    {
    };
    struct Unknown : public msm::front::state<>
    {
    };

    template<typename Event, typename Fsm> void no_transition(const Event &, Fsm &, int) { }

    template<typename From, typename Event, typename To> using Row = msm::front::Row<From, Event, To, msm::front::none, msm::front::none>;

    using initial_state = Draining;
    using transition_table = boost::mpl::vector<Row<Draining, Idle, Sending>,
                                                Row<Draining, DrainTimedOut, Failed>,
                                                Row<Draining, GrantExpired, Failed>,
                                                Row<Sending, GrantExpired, Failed>,
                                                Row<Sending, Accepted, Confirming>,
                                                Row<Sending, Refused, Failed>,
                                                Row<Sending, NoResponse, ResponseUnknown>,
                                                Row<Confirming, OrderInEffect, Done>,
                                                Row<Confirming, OrderNotReceived, Failed>,
                                                Row<Confirming, ConfirmTimedOut, Unknown>,
                                                Row<ResponseUnknown, OrderInEffect, Done>,
                                                Row<ResponseUnknown, OrderNotReceived, Failed>,
                                                Row<ResponseUnknown, ConfirmTimedOut, Unknown>,
                                                Row<Done, OrderInEffect, Done>,
                                                Row<Failed, OrderInEffect, Failed>,
                                                Row<Unknown, OrderInEffect, Unknown>>;
};

// Indexed by Boost.MSM state number: the order in which the transition table first names the states.
constexpr OrderState orderStates[]
    = {OrderState::Draining, OrderState::Sending, OrderState::Confirming, OrderState::Confirming, OrderState::Done, OrderState::Failed, OrderState::Unknown};

} // namespace

struct EngineOrderMachine::Machine
{
    msm::back::state_machine<RoleMachineDefinition> fsm;
    std::string orderId;
    std::string detail;

    template<typename Event> void process(const Event &event, std::string text)
    {
        const int before = fsm.current_state()[0];
        fsm.process_event(event);
        if (fsm.current_state()[0] != before) {
            detail = std::move(text);
        }
    }
};

EngineOrderMachine::EngineOrderMachine(std::string orderId) : m_machine(std::make_unique<Machine>())
{
    m_machine->orderId = std::move(orderId);
    m_machine->fsm.start();
}

EngineOrderMachine::~EngineOrderMachine() = default;

void EngineOrderMachine::onIdle()
{
    m_machine->process(Idle{}, "");
}

void EngineOrderMachine::onDrainTimeout()
{
    m_machine->process(DrainTimedOut{}, "streams still ran at the bound of the drain");
}

void EngineOrderMachine::onGrantExpired()
{
    m_machine->process(GrantExpired{}, "the grant lapsed before the order was sent");
}

void EngineOrderMachine::onAccepted()
{
    m_machine->process(Accepted{}, "");
}

void EngineOrderMachine::onRefused(std::string detail)
{
    m_machine->process(Refused{}, std::move(detail));
}

void EngineOrderMachine::onNoResponse()
{
    m_machine->process(NoResponse{}, "");
}

void EngineOrderMachine::onEngineState(const EngineState &state, bool noCopyInFlight)
{
    if (state.changing) {
        return;
    }
    if (state.lastOrderId == m_machine->orderId) {
        m_machine->process(OrderInEffect{}, "");
    } else if (noCopyInFlight) {
        m_machine->process(OrderNotReceived{}, "the engine does not know the order: it never got it or crashed");
    }
}

void EngineOrderMachine::onConfirmTimeout()
{
    m_machine->process(ConfirmTimedOut{}, "the engine can't be asked");
}

OrderStep EngineOrderMachine::step() const noexcept
{
    switch (state()) {
    case OrderState::Draining:
        return OrderStep::Drain;
    case OrderState::Sending:
        return OrderStep::Send;
    case OrderState::Confirming:
        return OrderStep::QueryState;
    case OrderState::Done:
    case OrderState::Failed:
    case OrderState::Unknown:
        return OrderStep::Finish;
    }
    return OrderStep::Finish;
}

OrderState EngineOrderMachine::state() const noexcept
{
    return orderStates[m_machine->fsm.current_state()[0]];
}

const std::string &EngineOrderMachine::detail() const noexcept
{
    return m_machine->detail;
}

} // namespace snipehill
