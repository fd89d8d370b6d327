#include "grantsimulation.h"

#include <algorithm>
#include <set>

namespace snipehill::test
{

namespace
{

void checkArrival(const GrantRunHistory &history, const EngineArrival &arrival, std::vector<std::string> &violations)
{
    const auto grant = std::find_if(history.grants.begin(), history.grants.end(), [&arrival](const IssuedGrant &issued) {
        return issued.id == arrival.grant;
    });
    if (grant == history.grants.end()) {
        violations.push_back("order " + arrival.orderId + " without a grant");
        return;
    }
    if (!arrival.orderId.starts_with("entry-" + std::to_string(grant->holder) + "/")) {
        violations.push_back("order " + arrival.orderId + " under the grant of another holder");
    }
    if (arrival.at > grant->expiredAt + simulatedOrderTimeout) {
        violations.push_back("order " + arrival.orderId + " arrived long after its grant expired");
    }
    for (const IssuedGrant &other : history.grants) {
        if (other.holder != grant->holder && other.issuedAt > grant->issuedAt && other.issuedAt <= arrival.at) {
            violations.push_back("order " + arrival.orderId + " after another holder's grant began");
        }
    }
}

} // namespace

std::vector<std::string> checkGrants(const GrantRunHistory &history)
{
    std::vector<std::string> violations;
    std::set<std::string> seen;
    Offset highest = noOffset;
    for (const EngineArrival &arrival : history.arrivals) {
        checkArrival(history, arrival, violations);
        if (arrival.whileChanging) {
            violations.push_back("order " + arrival.orderId + " during the change of another order");
        }
        if (arrival.fencingToken < highest) {
            violations.push_back("order " + arrival.orderId + " with an outdated fencing token");
        }
        if (!seen.insert(arrival.orderId).second) {
            violations.push_back("order " + arrival.orderId + " arrived twice");
        }
        highest = std::max(highest, arrival.fencingToken);
    }
    for (std::size_t i = 1; i < history.grants.size(); ++i) {
        if (history.grants[i].fencingToken < history.grants[i - 1].fencingToken) {
            violations.push_back("grant with a lower fencing token than an earlier grant");
        }
    }
    return violations;
}

} // namespace snipehill::test
