#pragma once

#include <core/time.h>
#include <process/targetregistry.h>

namespace snipehill
{

/** Interval of logSpeeds(). */
constexpr seconds speedLogInterval{10};

/**
 * Logs why targets get more or less work than others: one line for each group with learned rates, and one for each of the slowest
 * targets whose predictions have a factor or whose own statement is ignored. The number of lines is bounded.
 */
void logSpeeds(const TargetRegistry &targets, TimePoint now);

} // namespace snipehill
