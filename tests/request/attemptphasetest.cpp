#include <request/attemptphase.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace snipehill;

TEST_CASE("An attempt changes phase only by its transitions", "[attempt]")
{
    struct Case
    {
        std::vector<AttemptEvent> before;
        AttemptEvent event;
        bool transitions;
        AttemptPhase phase;
    };
    using enum AttemptEvent;
    const std::vector<Case> cases{
        {{}, Claim, true, AttemptPhase::Claiming},
        {{}, Start, true, AttemptPhase::Running},
        {{}, Finish, true, AttemptPhase::Finished},
        {{}, Cancel, true, AttemptPhase::Cancelled},
        {{Cancel}, Start, false, AttemptPhase::Cancelled},
        {{Cancel}, Claim, false, AttemptPhase::Cancelled},
        {{Claim}, Cancel, false, AttemptPhase::Claiming},
        {{Claim}, Start, true, AttemptPhase::Running},
        {{Claim}, Finish, true, AttemptPhase::Finished},
        {{Claim, Start}, Cancel, false, AttemptPhase::Running},
        {{Claim, Start}, Finish, true, AttemptPhase::Finished},
        {{Finish}, Start, false, AttemptPhase::Finished},
        {{Start}, Start, false, AttemptPhase::Running},
    };
    for (const Case &c : cases) {
        AttemptPhaseMachine machine;
        for (const AttemptEvent event : c.before) {
            machine.advance(event);
        }
        INFO(toString(machine.phase()) << " then event " << static_cast<int>(c.event));
        REQUIRE(machine.advance(c.event) == c.transitions);
        REQUIRE(machine.phase() == c.phase);
    }
}
