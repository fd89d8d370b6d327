#pragma once

#include <string>

namespace snipehill
{

/** Part of a request's or an order's way at which an error arose. */
enum class Step {
    Settings,
    Parse,
    Config,
    Authenticate,
    Admit,
    ChooseTarget,
    Dispatch,
    Queue,
    RecordIntent,
    RunOnTarget,
    Resolve,
    Response,
    LogAppend,
    LogRead,
    Lease,
    Grant,
    Order,
    Usage,
    Shutdown,
};

/** Name of a step as it stands in refusals and logs, for example "choose-target". */
const char *toString(Step step) noexcept;

/**
 * Why a function returned an empty optional.
 *
 * Functions that can fail return std::optional and fill the Reason that the caller passes in.
 * Plain value, owned by the caller, no thread rules.
 */
struct Reason
{
    Step step = Step::Parse; //!< where the error arose
    std::string peer; //!< address or instance at which it arose, empty for this process
    std::string detail; //!< one sentence for people
};

/** "step at peer: detail", for logs. */
std::string toString(const Reason &reason);

} // namespace snipehill
