#include "soaktraffic.h"

#include "support/directcluster.h"
#include "support/wait.h"

#include <random>

namespace snipehill::soak
{

using namespace support;

namespace
{

constexpr milliseconds thinkTime{20}; // pause of a caller between two requests, so that entries are busy but not overloaded

} // namespace

ClosedLoopCallers::PlannedCall planCall(std::uint64_t seed, const Endpoint &entry, int caller, int round)
{
    sleepFor(thinkTime);
    static const std::vector<std::string> paths{"/read/x", "/post/x", "/ask/x", "/review/x"};
    std::mt19937_64 random(seed * 1000003 + static_cast<std::uint64_t>(caller) * 10007 + static_cast<std::uint64_t>(round));
    const std::string id = "c" + std::to_string(caller) + "r" + std::to_string(round);
    const std::string &path = paths[random() % paths.size()];
    const bool stream = path[1] == 'a' || path == "/review/x";
    const std::uint64_t tokens = random() % 2 == 0 ? 200 : 9000;
    ClosedLoopCallers::PlannedCall planned{entry, "", {}};
    planned.call = stream ? promptCall(path, id, tokens) : directCall(path == "/post/x" ? "POST" : "GET", path, id, path == "/post/x" ? "fee" : "");
    planned.call.headers["X-Api-Key"] = random() % 4 == 0 ? "key-2" : "key-1";
    return planned;
}

} // namespace snipehill::soak
