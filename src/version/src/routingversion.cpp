#include <version/routingversion.h>

#include <algorithm>
#include <cctype>

namespace snipehill
{

namespace
{

std::string normalizeHost(std::string_view host)
{
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']') == std::string_view::npos) {
        host = host.substr(0, colon);
    }
    std::string name(host);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return name;
}

} // namespace

const char *toString(RequestKind kind) noexcept
{
    switch (kind) {
    case RequestKind::Idempotent:
        return "idempotent";
    case RequestKind::NonIdempotent:
        return "non_idempotent";
    case RequestKind::Streaming:
        return "streaming";
    }
    return "";
}

void indexRoutes(RoutingVersion &version)
{
    version.byHost.clear();
    for (std::size_t i = 0; i < version.routes.size(); ++i) {
        version.byHost[normalizeHost(version.routes[i].host)].push_back(i);
    }
    for (auto &[host, positions] : version.byHost) {
        std::stable_sort(positions.begin(), positions.end(), [&version](std::size_t left, std::size_t right) {
            return version.routes[left].prefix.size() > version.routes[right].prefix.size();
        });
    }
}

const RouteRule *findRoute(const RoutingVersion &version, std::string_view host, std::string_view path)
{
    const auto routes = version.byHost.find(normalizeHost(host));
    if (routes == version.byHost.end()) {
        return nullptr;
    }
    const auto found = std::find_if(routes->second.begin(), routes->second.end(), [&](std::size_t position) {
        return path.starts_with(version.routes[position].prefix);
    });
    return found == routes->second.end() ? nullptr : &version.routes[*found];
}

const WorkspaceRule *findWorkspace(const RoutingVersion &version, const std::string &key)
{
    const auto found = version.keys.find(key);
    return found == version.keys.end() ? nullptr : &version.workspaces[found->second];
}

const std::string &drawGroup(const RouteRule &route, double draw)
{
    double total = 0;
    for (const WeightedGroup &weightedGroup : route.groups) {
        total += weightedGroup.weight;
    }
    double remainingWeight = draw * total;
    for (const WeightedGroup &weightedGroup : route.groups) {
        if (remainingWeight < weightedGroup.weight) {
            return weightedGroup.group;
        }
        remainingWeight -= weightedGroup.weight;
    }
    return route.groups.back().group;
}

bool mayRepeat(const RouteRule &route) noexcept
{
    return route.kind == RequestKind::Idempotent || (route.kind == RequestKind::Streaming && route.resumable);
}

} // namespace snipehill
