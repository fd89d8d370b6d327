#include <core/ids.h>

#include <iomanip>
#include <random>
#include <sstream>

namespace snipehill
{

std::uint64_t randomId()
{
    thread_local std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string randomRequestId()
{
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(16) << randomId() << std::setw(16) << randomId();
    return text.str();
}

} // namespace snipehill
