#include <core/reason.h>

#include <array>

namespace snipehill
{

const char *toString(Step step) noexcept
{
    static constexpr std::array names{"settings",
                                      "parse",
                                      "config",
                                      "authenticate",
                                      "admit",
                                      "choose-target",
                                      "dispatch",
                                      "queue",
                                      "record-intent",
                                      "run-on-target",
                                      "resolve",
                                      "answer",
                                      "log-append",
                                      "log-read",
                                      "lease",
                                      "grant",
                                      "order",
                                      "usage",
                                      "shutdown"};
    return names[static_cast<std::size_t>(step)];
}

std::string toString(const Reason &reason)
{
    std::string text = toString(reason.step);
    if (!reason.peer.empty()) {
        text += " at " + reason.peer;
    }
    return text + ": " + reason.detail;
}

} // namespace snipehill
