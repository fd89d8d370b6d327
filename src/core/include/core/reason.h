#pragma once

#include <string>

namespace snipehill
{

/** Processing step of a request or an order in which an error occurred. */
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

/** Name of a step as written in refusals and logs, for example "choose-target". */
const char *toString(Step step) noexcept;

/**
 * Why a function returned an empty optional.
 *
 * Functions that can fail return std::optional and fill the Reason that the caller passes in.
 * A plain value owned by the caller; not synchronized.
 */
struct Reason
{
    Step step = Step::Parse; //!< in which the error occurred
    std::string peer; //!< address or instance at which the error occurred, empty for this process
    std::string detail; //!< one human-readable sentence
};

/** "step at peer: detail", for logs. */
std::string toString(const Reason &reason);

} // namespace snipehill
