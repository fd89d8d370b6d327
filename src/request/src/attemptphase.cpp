#include <request/attemptphase.h>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>

namespace snipehill
{

namespace
{

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

struct ClaimEvent
{
};
struct StartEvent
{
};
struct FinishEvent
{
};
struct CancelEvent
{
};

struct Front : msm::front::state_machine_def<Front>
{
    // Same order as AttemptPhase: Boost.MSM numbers states in order of first use in the transition table, and phase() casts the number.
    struct Waiting : msm::front::state<>
    {
    };
    struct Claiming : msm::front::state<>
    {
    };
    struct Running : msm::front::state<>
    {
    };
    struct Finished : msm::front::state<>
    {
    };
    struct Cancelled : msm::front::state<>
    {
    };
    using initial_state = Waiting; // NOLINT(readability-identifier-naming) name required by Boost.MSM

    // clang-format off
    struct transition_table : mpl::vector<  // NOLINT(readability-identifier-naming)
        Row<Waiting,  ClaimEvent,  Claiming,  none, none>,
        Row<Claiming, StartEvent,  Running,   none, none>,
        Row<Running,  FinishEvent, Finished,  none, none>,
        Row<Waiting,  CancelEvent, Cancelled, none, none>,
        Row<Waiting,  StartEvent,  Running,   none, none>,
        Row<Waiting,  FinishEvent, Finished,  none, none>,
        Row<Claiming, FinishEvent, Finished,  none, none>
    > {};
    // clang-format on

    template<typename Machine, typename Event> void no_transition(const Event &, Machine &, int) { }
};

using Machine = msm::back::state_machine<Front>;

} // namespace

struct AttemptPhaseMachine::Implementation
{
    Machine machine;
};

AttemptPhaseMachine::AttemptPhaseMachine() : m_implementation(std::make_unique<Implementation>())
{
    m_implementation->machine.start();
}

AttemptPhaseMachine::~AttemptPhaseMachine() = default;

bool AttemptPhaseMachine::advance(AttemptEvent event)
{
    Machine &machine = m_implementation->machine;
    switch (event) {
    case AttemptEvent::Claim:
        return machine.process_event(ClaimEvent()) == msm::back::HANDLED_TRUE;
    case AttemptEvent::Start:
        return machine.process_event(StartEvent()) == msm::back::HANDLED_TRUE;
    case AttemptEvent::Finish:
        return machine.process_event(FinishEvent()) == msm::back::HANDLED_TRUE;
    case AttemptEvent::Cancel:
        break;
    }
    return machine.process_event(CancelEvent()) == msm::back::HANDLED_TRUE;
}

AttemptPhase AttemptPhaseMachine::phase() const noexcept
{
    return static_cast<AttemptPhase>(*m_implementation->machine.current_state());
}

const char *toString(AttemptPhase phase) noexcept
{
    static constexpr std::array names{"waiting", "claiming", "running", "finished", "cancelled"};
    return names[static_cast<std::size_t>(phase)];
}

} // namespace snipehill
