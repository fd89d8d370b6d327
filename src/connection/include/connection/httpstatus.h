#pragma once

namespace snipehill
{

/** Whether HTTP has final responses with this status: 200 to 599 (RFC 9110, 15). */
constexpr bool isFinalStatus(unsigned status) noexcept
{
    return status >= 200 && status <= 599;
}

/** Whether another response follows one with this status: 100 to 199, without the switch to another protocol (101), which is never asked for here. */
constexpr bool isInterimStatus(unsigned status) noexcept
{
    return status >= 100 && status <= 199 && status != 101;
}

} // namespace snipehill
