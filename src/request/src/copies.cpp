#include <request/copies.h>

#include <algorithm>

namespace snipehill
{

void noteCopySent(RequestCopies &copies, std::uint64_t fingerprint, std::string_view instance)
{
    copies.inFlight[fingerprint].emplace_back(instance);
}

void noteCopyEnded(RequestCopies &copies, std::uint64_t fingerprint, std::string_view instance, bool answered)
{
    const auto found = copies.inFlight.find(fingerprint);
    if (found != copies.inFlight.end()) {
        std::vector<std::string> &instances = found->second;
        const auto copy = std::find(instances.begin(), instances.end(), instance);
        if (copy != instances.end()) {
            instances.erase(copy);
        }
        if (instances.empty()) {
            copies.inFlight.erase(found);
        }
    }
    if (!answered || !copies.answered.insert(fingerprint).second) {
        return;
    }
    copies.answeredOrder.push_back(fingerprint);
    if (copies.answeredOrder.size() > copies.maxAnswered) {
        copies.answered.erase(copies.answeredOrder.front());
        copies.answeredOrder.pop_front();
    }
}

std::string companionOf(const RequestCopies &copies, std::uint64_t fingerprint)
{
    const auto found = copies.inFlight.find(fingerprint);
    if (found == copies.inFlight.end() || copies.answered.contains(fingerprint)) {
        return {};
    }
    return found->second.front();
}

} // namespace snipehill
