#pragma once

#include "soakcheck.h"
#include "soakplan.h"

#include "support/directcluster.h"

namespace snipehill::soak
{

/** Targets of a soak run. */
const std::vector<support::DirectTarget> &soakTargets();

/** Target that a fault is about. */
const support::DirectTarget &targetOf(const Fault &fault);

/** Interval from the start, on the journal's clock, until a fault injected by now is noticed. */
CheckInterval noticedFrom(const std::string &subject, double start);

/** Starts a fault of a target or of a stand-in. Adds those that may break off streams to the list, by id of the target. */
void startTargetFault(support::DirectCluster &host, const Fault &fault, std::vector<CheckInterval> &brokenTargets);
void endTargetFault(support::DirectCluster &host, const Fault &fault);

} // namespace snipehill::soak
