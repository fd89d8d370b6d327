#include <request/duplicaterequests.h>

#include <algorithm>

namespace snipehill
{

void recordDuplicateSent(DuplicateRequests &duplicates, std::uint64_t fingerprint, std::string_view instance)
{
    duplicates.inFlight[fingerprint].emplace_back(instance);
}

void recordDuplicateEnded(DuplicateRequests &duplicates, std::uint64_t fingerprint, std::string_view instance, bool answered)
{
    const auto found = duplicates.inFlight.find(fingerprint);
    if (found != duplicates.inFlight.end()) {
        std::vector<std::string> &instances = found->second;
        const auto duplicate = std::find(instances.begin(), instances.end(), instance);
        if (duplicate != instances.end()) {
            instances.erase(duplicate);
        }
        if (instances.empty()) {
            duplicates.inFlight.erase(found);
        }
    }
    if (!answered || !duplicates.answered.insert(fingerprint).second) {
        return;
    }
    duplicates.answeredOrder.push_back(fingerprint);
    if (duplicates.answeredOrder.size() > duplicates.maxAnswered) {
        duplicates.answered.erase(duplicates.answeredOrder.front());
        duplicates.answeredOrder.pop_front();
    }
}

std::string colocatedInstance(const DuplicateRequests &duplicates, std::uint64_t fingerprint)
{
    const auto found = duplicates.inFlight.find(fingerprint);
    if (found == duplicates.inFlight.end() || duplicates.answered.contains(fingerprint)) {
        return {};
    }
    return found->second.front();
}

} // namespace snipehill
