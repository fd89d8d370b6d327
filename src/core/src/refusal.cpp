#include <core/refusal.h>

namespace snipehill
{

const char *toString(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not_run";
    case Outcome::OutcomeUnknown:
        return "outcome_unknown";
    case Outcome::Rejected:
        break;
    }
    return "rejected";
}

} // namespace snipehill
