#include <process/configtree.h>

#include <algorithm>
#include <tuple>

namespace snipehill
{

namespace
{

/** Members of one region in heap order: the first ones read the log, each further one is a child of an earlier one. */
std::vector<TreeMember> regionOrder(std::vector<TreeMember> members, const std::string &region)
{
    std::erase_if(members, [&](const TreeMember &member) {
        return member.region != region;
    });
    std::sort(members.begin(), members.end(), [](const TreeMember &a, const TreeMember &b) {
        return std::tuple(!a.keyed, a.instance) < std::tuple(!b.keyed, b.instance);
    });
    return members;
}

std::size_t parentIndex(std::size_t index, const TreeLimits &limits)
{
    return (index - limits.readersPerRegion) / limits.fanOut;
}

std::size_t depthOf(std::size_t index, const TreeLimits &limits)
{
    std::size_t depth = 0;
    while (index >= limits.readersPerRegion) {
        index = parentIndex(index, limits);
        ++depth;
    }
    return depth;
}

/** The parent, then neighbours of the parent at the same depth, which receive changes at about the same time. */
std::vector<std::string> parentNames(const std::vector<TreeMember> &order, std::size_t index, const TreeLimits &limits)
{
    const std::size_t parent = parentIndex(index, limits);
    std::vector<std::string> names{order[parent].instance};
    for (std::size_t step = 1; step < index && names.size() <= limits.fallbackParents; ++step) {
        const std::size_t other = (parent + step) % index;
        if (depthOf(other, limits) == depthOf(parent, limits)) {
            names.push_back(order[other].instance);
        }
    }
    return names;
}

std::vector<std::string> childNames(const std::vector<TreeMember> &order, std::size_t index, const TreeLimits &limits)
{
    std::vector<std::string> names;
    const std::size_t first = limits.readersPerRegion + index * limits.fanOut;
    for (std::size_t child = first; child < first + limits.fanOut && child < order.size(); ++child) {
        names.push_back(order[child].instance);
    }
    return names;
}

} // namespace

TreePosition computeTreePosition(std::vector<TreeMember> members, const std::string &instance, const TreeLimits &limits)
{
    const auto self = std::find_if(members.begin(), members.end(), [&](const TreeMember &member) {
        return member.instance == instance;
    });
    if (self == members.end() || members.size() <= limits.maxDirectFleet) {
        return {.readsLog = true};
    }
    const std::string region = self->region;
    const std::vector<TreeMember> order = regionOrder(std::move(members), region);
    const auto found = std::find_if(order.begin(), order.end(), [&](const TreeMember &member) {
        return member.instance == instance;
    });
    const auto index = static_cast<std::size_t>(found - order.begin());
    TreePosition position;
    position.children = childNames(order, index, limits);
    position.depth = depthOf(index, limits);
    position.readsLog = index < limits.readersPerRegion;
    if (!position.readsLog) {
        position.parents = parentNames(order, index, limits);
    }
    return position;
}

} // namespace snipehill
