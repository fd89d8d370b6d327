#include "limitsharing.h"

#include <request/targetchoice.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <json/value.h>

#include <map>
#include <vector>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr const char *shareMethod = "limits.share";
constexpr milliseconds reportInterval{1000};
constexpr milliseconds shareValidity{3000}; //!< an entry that has not reported for this long gets no share
constexpr milliseconds callTimeout{500};

/** Workspaces with limits, by the index of the sidecar that allocates them. */
std::map<std::size_t, std::vector<std::string>> workspacesByAllocator(const ConfigVersion &config, const std::vector<TargetMember> &sidecars)
{
    std::map<std::size_t, std::vector<std::string>> workspaces;
    for (const auto &[name, workspace] : config.workspaces) {
        const bool limited = workspace.value.requestsPerSecond > 0 || workspace.value.tokensPerSecond > 0 || workspace.value.concurrentRequests > 0;
        if (const auto allocator = limited ? rendezvousOwner(name, sidecars) : std::nullopt) {
            workspaces[*allocator].push_back(name);
        }
    }
    return workspaces;
}

double takeDemandOf(EntryContext &context, const std::string &workspace)
{
    auto &shard = context.admission.of(workspace);
    const std::lock_guard lock(shard.lock);
    return takeDemand(shard.admission, workspace);
}

asio::awaitable<void> requestSharesFrom(EntryContext *context, PeerCall call, Endpoint allocator, std::vector<std::string> workspaces)
{
    Json::Value params;
    params["entry"] = context->settings.instance;
    for (const std::string &workspace : workspaces) {
        const double demand = takeDemandOf(*context, workspace);
        if (demand > 0) {
            params["demand"][workspace] = demand;
        }
    }
    if (!params.isMember("demand")) {
        co_return;
    }
    Reason reason;
    const auto response = co_await call(std::move(allocator), shareMethod, std::move(params), callTimeout, reason);
    if (!response || !response->isObject()) {
        co_return;
    }
    const TimePoint until = Clock::now() + shareValidity;
    for (const std::string &workspace : response->getMemberNames()) {
        auto &shard = context->admission.of(workspace);
        const std::lock_guard lock(shard.lock);
        applyShareGrant(shard.admission, workspace, (*response)[workspace].asDouble(), until);
    }
}

asio::awaitable<void> requestShares(EntryContext *context, PeerCall call)
{
    const MemberList members = context->members.snapshot();
    std::vector<TargetMember> sidecars;
    std::vector<Endpoint> links;
    for (const Member &member : *members) {
        if (member.role == "sidecar" && !member.leaving) {
            sidecars.push_back({member.instance, member.failureDomain});
            links.push_back(member.link);
        }
    }
    const ConfigPointer config = context->config.current();
    for (auto &[allocator, workspaces] : workspacesByAllocator(*config, sidecars)) {
        co_await requestSharesFrom(context, call, links[allocator], std::move(workspaces));
    }
}

} // namespace

void LimitAllocatorService::registerMethods(RpcMethods &methods)
{
    methods[shareMethod] = [this](const Json::Value &params, Reason &reason) -> std::optional<Json::Value> {
        if (!params["entry"].isString() || !params["demand"].isObject()) {
            reason = {Step::Parse, {}, "limits.share needs \"entry\" and \"demand\""};
            return std::nullopt;
        }
        Json::Value shares(Json::objectValue);
        const TimePoint now = Clock::now();
        const std::lock_guard lock(m_lock);
        for (const std::string &workspace : params["demand"].getMemberNames()) {
            const Json::Value &demand = params["demand"][workspace];
            if (demand.isNumeric()) {
                shares[workspace] = allocateShare(m_allocator, workspace, params["entry"].asString(), demand.asDouble(), shareValidity, now);
            }
        }
        return shares;
    };
}

asio::awaitable<void> runLimitSharing(EntryContext *context, PeerCall call, const std::atomic<bool> *stopped)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!*stopped) {
        co_await requestShares(context, call);
        timer.expires_after(reportInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace snipehill
