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
constexpr milliseconds shareValidity{3000}; //!< an entry not heard of for this long gets no part
constexpr milliseconds callTimeout{500};

/** Workspaces with limits, by the sidecar that keeps them. */
std::map<std::size_t, std::vector<std::string>> workspacesByKeeper(const ConfigVersion &config, const std::vector<TargetMember> &sidecars)
{
    std::map<std::size_t, std::vector<std::string>> workspaces;
    for (const auto &[name, workspace] : config.workspaces) {
        const bool limited = workspace.value.requestsPerSecond > 0 || workspace.value.tokensPerSecond > 0 || workspace.value.concurrentRequests > 0;
        if (const auto keeper = limited ? rendezvousOwner(name, sidecars) : std::nullopt) {
            workspaces[*keeper].push_back(name);
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

asio::awaitable<void> askKeeper(EntryContext *context, PeerCall call, Endpoint keeper, std::vector<std::string> workspaces)
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
    const auto answer = co_await call(std::move(keeper), shareMethod, std::move(params), callTimeout, reason);
    if (!answer || !answer->isObject()) {
        co_return;
    }
    const TimePoint until = Clock::now() + shareValidity;
    for (const std::string &workspace : answer->getMemberNames()) {
        auto &shard = context->admission.of(workspace);
        const std::lock_guard lock(shard.lock);
        applyShareGrant(shard.admission, workspace, (*answer)[workspace].asDouble(), until);
    }
}

asio::awaitable<void> askKeepers(EntryContext *context, PeerCall call)
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
    for (auto &[keeper, workspaces] : workspacesByKeeper(*config, sidecars)) {
        co_await askKeeper(context, call, links[keeper], std::move(workspaces));
    }
}

} // namespace

void LimitKeeperService::offerMethods(RpcMethods &methods)
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
                shares[workspace] = allocateShare(m_keeper, workspace, params["entry"].asString(), demand.asDouble(), shareValidity, now);
            }
        }
        return shares;
    };
}

asio::awaitable<void> shareLimits(EntryContext *context, PeerCall call, const std::atomic<bool> *stopped)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!*stopped) {
        co_await askKeepers(context, call);
        timer.expires_after(reportInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace snipehill
