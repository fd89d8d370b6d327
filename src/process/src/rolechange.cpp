#include <process/rolechange.h>

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
struct DrainBound
{
};
struct GrantLapsed
{
};
struct Accepted
{
};
struct Refused
{
};
struct Unanswered
{
};
struct InForce
{
};
struct NotTaken
{
};
struct ConfirmBound
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
    struct Unsure : public msm::front::state<>
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
                                                Row<Draining, DrainBound, Failed>,
                                                Row<Draining, GrantLapsed, Failed>,
                                                Row<Sending, GrantLapsed, Failed>,
                                                Row<Sending, Accepted, Confirming>,
                                                Row<Sending, Refused, Failed>,
                                                Row<Sending, Unanswered, Unsure>,
                                                Row<Confirming, InForce, Done>,
                                                Row<Confirming, NotTaken, Failed>,
                                                Row<Confirming, ConfirmBound, Unknown>,
                                                Row<Unsure, InForce, Done>,
                                                Row<Unsure, NotTaken, Failed>,
                                                Row<Unsure, ConfirmBound, Unknown>,
                                                Row<Done, InForce, Done>,
                                                Row<Failed, InForce, Failed>,
                                                Row<Unknown, InForce, Unknown>>;
};

// In the order in which the transition table first names the states.
constexpr OrderState orderStates[]
    = {OrderState::Draining, OrderState::Sending, OrderState::Confirming, OrderState::Confirming, OrderState::Done, OrderState::Failed, OrderState::Unknown};

} // namespace

struct RoleChangeMachine::Machine
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

RoleChangeMachine::RoleChangeMachine(std::string orderId) : m_machine(std::make_unique<Machine>())
{
    m_machine->orderId = std::move(orderId);
    m_machine->fsm.start();
}

RoleChangeMachine::~RoleChangeMachine() = default;

void RoleChangeMachine::onIdle()
{
    m_machine->process(Idle{}, "");
}

void RoleChangeMachine::onDrainBound()
{
    m_machine->process(DrainBound{}, "streams still ran at the bound of the drain");
}

void RoleChangeMachine::onGrantLapsed()
{
    m_machine->process(GrantLapsed{}, "the grant lapsed before the order was sent");
}

void RoleChangeMachine::onAccepted()
{
    m_machine->process(Accepted{}, "");
}

void RoleChangeMachine::onRefused(std::string detail)
{
    m_machine->process(Refused{}, std::move(detail));
}

void RoleChangeMachine::onUnanswered()
{
    m_machine->process(Unanswered{}, "");
}

void RoleChangeMachine::onEngineState(const EngineState &state, bool settled)
{
    if (state.changing) {
        return;
    }
    if (state.lastOrderId == m_machine->orderId) {
        m_machine->process(InForce{}, "");
    } else if (settled) {
        m_machine->process(NotTaken{}, "the engine does not know the order: it never got it or crashed");
    }
}

void RoleChangeMachine::onConfirmBound()
{
    m_machine->process(ConfirmBound{}, "the engine can't be asked");
}

OrderStep RoleChangeMachine::step() const noexcept
{
    switch (state()) {
    case OrderState::Draining:
        return OrderStep::Drain;
    case OrderState::Sending:
        return OrderStep::Send;
    case OrderState::Confirming:
        return OrderStep::AskState;
    case OrderState::Done:
    case OrderState::Failed:
    case OrderState::Unknown:
        return OrderStep::Finish;
    }
    return OrderStep::Finish;
}

OrderState RoleChangeMachine::state() const noexcept
{
    return orderStates[m_machine->fsm.current_state()[0]];
}

const std::string &RoleChangeMachine::detail() const noexcept
{
    return m_machine->detail;
}

} // namespace snipehill
