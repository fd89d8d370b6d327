#include "grantsimulation.h"

#include <algorithm>
#include <set>

namespace snipehill::test
{

namespace
{

void checkArrival(const GrantJournal &journal, const EngineArrival &arrival, std::vector<std::string> &violations)
{
    const auto grant = std::find_if(journal.grants.begin(), journal.grants.end(), [&arrival](const GivenGrant &given) {
        return given.id == arrival.grant;
    });
    if (grant == journal.grants.end()) {
        violations.push_back("order " + arrival.orderId + " without a grant");
        return;
    }
    if (!arrival.orderId.starts_with("entry-" + std::to_string(grant->holder) + "/")) {
        violations.push_back("order " + arrival.orderId + " under another's grant");
    }
    if (arrival.at > grant->lapsed + simulatedOrderBound) {
        violations.push_back("order " + arrival.orderId + " long after its grant lapsed");
    }
    for (const GivenGrant &other : journal.grants) {
        if (other.holder != grant->holder && other.given > grant->given && other.given <= arrival.at) {
            violations.push_back("order " + arrival.orderId + " after another holder's grant began");
        }
    }
}

} // namespace

std::vector<std::string> checkGrants(const GrantJournal &journal)
{
    std::vector<std::string> violations;
    std::set<std::string> seen;
    Offset highest = noOffset;
    for (const EngineArrival &arrival : journal.arrivals) {
        checkArrival(journal, arrival, violations);
        if (arrival.whileChanging) {
            violations.push_back("order " + arrival.orderId + " during another's change");
        }
        if (arrival.fence < highest) {
            violations.push_back("order " + arrival.orderId + " with an old fencing number");
        }
        if (!seen.insert(arrival.orderId).second) {
            violations.push_back("order " + arrival.orderId + " arrived twice");
        }
        highest = std::max(highest, arrival.fence);
    }
    for (std::size_t i = 1; i < journal.grants.size(); ++i) {
        if (journal.grants[i].fence < journal.grants[i - 1].fence) {
            violations.push_back("grant with a lower fencing number than one before");
        }
    }
    return violations;
}

} // namespace snipehill::test
