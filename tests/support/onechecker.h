#pragma once

#include "checkers.h"

namespace snipehill::support
{

/**
 * Finds usage reports that break the rule of one holder, in the journal of the store stand-in ("usage" events): one window
 * reported with different counts, one fencing token used by two holders, a token lower than one seen before, holders that
 * act in the order A, B, A within the time given. A holder is one instance; an exact repeat breaks nothing.
 */
Violations usageFromOneHolder(const Journal &journal, milliseconds leaseTimeout);

/** As usageFromOneHolder(), for the orders to each target ("order" events of the target stand-ins). */
Violations ordersFromOneHolder(const Journal &journal, milliseconds leaseTimeout);

/** All violations of the rule of one holder. */
Violations oneHolder(const Journal &journal, milliseconds leaseTimeout);

} // namespace snipehill::support
