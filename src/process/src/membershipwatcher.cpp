#include <process/membershipwatcher.h>

#include <connection/httpclient.h>
#include <core/jsontext.h>
#include <process/log.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <mutex>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds listTimeout{1000};

std::optional<Member> parseMember(const Json::Value &value, Reason &reason)
{
    for (const char *field : {"instance", "role", "link", "admin", "region", "failureDomain", "state"}) {
        if (!value.isObject() || !value[field].isString()) {
            reason = {Step::Parse, {}, std::string("instance list: field \"") + field + "\" is missing or no string"};
            return std::nullopt;
        }
    }
    const auto link = parseEndpoint(value["link"].asString(), reason);
    const auto admin = parseEndpoint(value["admin"].asString(), reason);
    if (!link || !admin) {
        return std::nullopt;
    }
    Member member;
    member.instance = value["instance"].asString();
    member.role = value["role"].asString();
    member.link = *link;
    member.admin = *admin;
    member.region = value["region"].asString();
    member.failureDomain = value["failureDomain"].asString();
    if (member.role == "sidecar" && !value["targetGroup"].isString()) {
        reason = {Step::Parse, {}, "instance list: a sidecar without \"targetGroup\""};
        return std::nullopt;
    }
    member.targetGroup = value["targetGroup"].isString() ? value["targetGroup"].asString() : std::string();
    member.leaving = value["state"].asString() == "leaving";
    return member;
}

} // namespace

std::optional<std::vector<Member>> parseInstanceList(std::string_view text, Reason &reason)
{
    const auto value = parseJsonParts(text);
    if (!value || !value->isObject() || !(*value)["instances"].isArray()) {
        reason = {Step::Parse, {}, "instance list: no object with an array \"instances\""};
        return std::nullopt;
    }
    std::vector<Member> members;
    for (const Json::Value &entry : (*value)["instances"]) {
        auto member = parseMember(entry, reason);
        if (!member) {
            logEvent(LogComponent::Members, LogLevel::Warning, "instance left out", reason);
            continue;
        }
        members.push_back(std::move(*member));
    }
    return members;
}

struct MembershipWatcher::State
{
    State(Endpoint listEndpoint, milliseconds pollInterval, asio::any_io_executor executor)
        : list(std::move(listEndpoint)), poll(pollInterval), strand(asio::make_strand(executor))
    {
    }
    Endpoint list;
    milliseconds poll;
    asio::strand<asio::any_io_executor> strand;
    std::function<void(const MemberList &)> observer;
    std::atomic<bool> stopped{false};
    std::string lastAnswer; //!< on the strand
    mutable std::mutex lock;
    MemberList members = std::make_shared<std::vector<Member>>();
};

MembershipWatcher::MembershipWatcher(Endpoint list, milliseconds poll, asio::any_io_executor executor)
    : m_state(std::make_shared<State>(std::move(list), poll, std::move(executor)))
{
}

MembershipWatcher::~MembershipWatcher() = default;

void MembershipWatcher::onChange(std::function<void(const MemberList &)> observer)
{
    m_state->observer = std::move(observer);
}

void MembershipWatcher::start()
{
    const auto follow = [](std::shared_ptr<State> state) -> asio::awaitable<void> {
        asio::steady_timer timer(state->strand);
        while (!state->stopped) {
            Reason reason;
            HttpCall call{.peer = state->list, .target = "/instances", .timeout = listTimeout, .step = Step::Config};
            const auto response = co_await httpCall(std::move(call), reason);
            if (response && response->result_int() == 200 && response->body() != state->lastAnswer) {
                state->lastAnswer = response->body();
                auto members = parseInstanceList(state->lastAnswer, reason);
                if (!members) {
                    logEvent(LogComponent::Members, LogLevel::Warning, "instance list can't be read, the last one stays in use", reason);
                } else {
                    MemberList list = std::make_shared<const std::vector<Member>>(std::move(*members));
                    {
                        const std::lock_guard lock(state->lock);
                        state->members = list;
                    }
                    if (state->observer) {
                        state->observer(list);
                    }
                }
            }
            timer.expires_after(state->poll);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    };
    asio::co_spawn(m_state->strand, follow(m_state), asio::detached);
}

void MembershipWatcher::stop()
{
    m_state->stopped = true;
}

MemberList MembershipWatcher::snapshot() const
{
    const std::lock_guard lock(m_state->lock);
    return m_state->members;
}

} // namespace snipehill
