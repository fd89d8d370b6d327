#include <serving/sidecar.h>

#include "limitsharing.h"
#include "processparts.h"
#include "sidecarcontext.h"
#include "wireconvert.h"

#include <process/adminserver.h>
#include <process/log.h>
#include <process/metrics.h>
#include <serving/linktable.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds sweepInterval{50};
constexpr int queueSweepsPerAttemptSweep = 20; //!< orphaned attempts are looked for once a second
constexpr milliseconds drainPoll{50};
constexpr int queueSweepsPerReport = 100; //!< load is broadcast every 5 seconds, for entries that got no responses in that time

} // namespace

struct Sidecar::Parts
{
    Parts(asio::io_context &io, const Settings &settings)
        : executor(io.get_executor())
        , self{settings.instance, randomId()}
        , identity{self, "sidecar", settings.link.heartbeat}
        , members(settings.platform.instances, settings.timings.instancesPoll, executor)
        , peers(executor, identity, LinkHandlers())
        , config(followerOptions(settings), executor, peers.peerCall())
        , context{.settings = settings,
                  .self = self,
                  .executor = executor,
                  .attempts = {},
                  .queue{executor, settings.target.slots},
                  .keyed = {},
                  .health{executor,
                          settings.target.address,
                          [this] {
                              targetChanged();
                          }},
                  .intents{intentOptions(settings, self), executor}}
        , authority(executor,
                    authoritySettings(settings, self),
                    drainHooks(),
                    peers.peerCall(),
                    [this] {
                        return entryLinks();
                    })
        , admin(executor, settings, processMetrics())
    {
    }

    static IntentWriterOptions intentOptions(const Settings &settings, const Incarnation &self)
    {
        IntentWriterOptions options;
        options.log = settings.platform.log;
        options.self = self;
        return options;
    }

    DrainHooks drainHooks()
    {
        DrainHooks hooks;
        hooks.stopAccepting = [this] {
            setOrderInProgress(true);
        };
        hooks.running = [this] {
            return context.queue.attemptCount();
        };
        hooks.resumeAccepting = [this] {
            setOrderInProgress(false);
        };
        hooks.onEngineRole = [this](EngineRole role) {
            recordRole(role);
        };
        return hooks;
    }

    void setOrderInProgress(bool inProgress)
    {
        context.orderInProgress = inProgress;
        broadcastLoad();
    }

    void recordRole(EngineRole role)
    {
        if (context.role.exchange(role) != role) {
            broadcastLoad();
        }
    }

    std::vector<Endpoint> entryLinks() const
    {
        std::vector<Endpoint> links;
        for (const Member &member : *members.snapshot()) {
            if (member.role == "entry") {
                links.push_back(member.link);
            }
        }
        return links;
    }

    LinkHandlers serverHandlers()
    {
        LinkHandlers handlers;
        handlers.message = [this](const LinkPointer &link, const wire::LinkMessage &message) {
            receive(link, message);
        };
        handlers.opened = [this](const LinkPointer &link) {
            wire::LinkMessage message;
            *message.mutable_load() = context.load();
            link->send(message);
        };
        return handlers;
    }

    void receive(const LinkPointer &link, const wire::LinkMessage &message)
    {
        if (message.has_run()) {
            acceptRun(context, message.run(), link);
        } else if (message.has_ack()) {
            if (const auto attempt = context.attempts.find(message.ack().attempt_id())) {
                attempt->acknowledge(message.ack().sequence());
            }
        } else if (message.has_cancel()) {
            if (const auto attempt = context.attempts.find(message.cancel().attempt_id())) {
                cancelAttempt(context, attempt);
            }
        } else if (message.has_resolve()) {
            resolve(link, message.resolve());
        }
    }

    void resolve(const LinkPointer &link, const wire::Resolve &query)
    {
        if (const auto attempt = context.attempts.findOrTombstone(query.attempt_id(), Clock::now())) {
            attempt->rebind(link, query.last_sequence());
            return;
        }
        wire::LinkMessage response;
        response.mutable_resolved()->set_attempt_id(query.attempt_id());
        response.mutable_resolved()->set_state(wire::Resolved::NEVER_SEEN);
        link->send(response);
    }

    /** Sends the load to all connected entries at once, because they route by it. */
    void broadcastLoad()
    {
        if (!server) {
            return;
        }
        wire::LinkMessage message;
        *message.mutable_load() = context.load();
        for (const LinkPointer &link : server->links()) {
            link->send(message);
        }
    }

    void targetChanged()
    {
        logEvent(LogComponent::Sidecar, LogLevel::Warning, context.health.isUp() ? "target is up again" : "target is down");
        if (!context.health.isUp()) {
            refuseQueued("the target is down");
        }
        broadcastLoad();
    }

    void refuseQueued(const char *detail)
    {
        for (const AttemptPointer &attempt : context.queue.takeAll()) {
            refuseWaiting(context, attempt, {Outcome::NotRun, 503, {Step::Queue, context.settings.instance, detail}, seconds(1)});
        }
    }

    void sweepQueue()
    {
        for (const AttemptPointer &attempt : context.queue.takeExpired(Clock::now())) {
            refuseWaiting(context, attempt, {Outcome::NotRun, 504, {Step::Queue, context.settings.instance, "the deadline passed in the queue"}, std::nullopt});
        }
    }

    void sweepAttempts()
    {
        const TimePoint now = Clock::now();
        for (const AttemptPointer &attempt : context.attempts.all()) {
            if (!attempt->isSettled() && attempt->isOrphaned(now)) {
                cancelAttempt(context, attempt);
            }
        }
        context.attempts.sweep(now);
        const std::lock_guard lock(context.suspects.lock);
        removeExpired(context.suspects.suspects, context.suspects.settings, now);
    }

    std::size_t unsettledAttempts() const
    {
        std::size_t count = 0;
        for (const AttemptPointer &attempt : context.attempts.all()) {
            count += attempt->isSettled() || attempt->isCancelled() ? 0 : 1;
        }
        return count;
    }

    static asio::awaitable<void> sweepLoop(Parts *parts)
    {
        asio::steady_timer timer(parts->executor);
        for (int sweeps = 0; !parts->stopped; ++sweeps) {
            parts->sweepQueue();
            if (sweeps % queueSweepsPerAttemptSweep == 0) {
                parts->sweepAttempts();
            }
            if (sweeps % queueSweepsPerReport == 0) {
                parts->broadcastLoad();
            }
            timer.expires_after(sweepInterval);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    /** Refuses new work and waits until every response is acknowledged and every record appended, at most for the drain timeout. */
    static asio::awaitable<void> drainLoop(Parts *parts, std::function<void()> finished)
    {
        parts->context.draining = true;
        parts->broadcastLoad();
        asio::steady_timer timer(parts->executor);
        const TimePoint drainDeadline = Clock::now() + parts->context.settings.drain.timeout;
        while ((parts->unsettledAttempts() > 0 || !parts->context.intents.idle()) && Clock::now() < drainDeadline) {
            timer.expires_after(drainPoll);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        if (parts->unsettledAttempts() > 0 || !parts->context.intents.idle()) {
            const LogFields fields{{"unsettled", parts->unsettledAttempts()}, {"intentsAppended", parts->context.intents.idle() ? "yes" : "no"}};
            logEvent(LogComponent::Sidecar, LogLevel::Warning, "drain timeout passed with unfinished work", fields);
        }
        parts->stopped = true;
        finished();
    }

    bool startAdmin(Reason &reason)
    {
        admin.addReadiness([this] {
            return context.draining ? std::optional<std::string>("draining") : std::nullopt;
        });
        admin.addReadiness([this] {
            return config.ready() ? std::nullopt : std::optional<std::string>("no configuration yet");
        });
        admin.addReadiness([this] {
            return context.health.isUp() ? std::nullopt : std::optional<std::string>("the target is down");
        });
        admin.addStatusSection("config", [this] {
            return config.status(Clock::now());
        });
        admin.addStatusSection("target", [this] {
            return targetStatus();
        });
        processMetrics().onScrape([this](Metrics &metrics) {
            setConfigGauges(metrics, config);
            metrics.set(Gauge::Draining, {}, context.draining ? 1 : 0);
            metrics.set(Gauge::RunningRequests, {}, static_cast<double>(context.queue.attemptCount()));
            LoadReport report;
            context.queue.fillLoadReport(report);
            metrics.set(Gauge::QueuedRequests, {}, report.queued);
        });
        return admin.start(reason);
    }

    Json::Value targetStatus() const
    {
        LoadReport report;
        context.queue.fillLoadReport(report);
        Json::Value status;
        status["group"] = context.settings.target.group;
        status["up"] = context.health.isUp();
        status["accepting"] = context.accepting();
        status["role"] = toString(context.role.load());
        status["running"] = report.running;
        status["queued"] = report.queued;
        return status;
    }

    asio::any_io_executor executor;
    Incarnation self;
    LinkIdentity identity;
    MembershipWatcher members;
    LinkTable peers;
    ConfigFollower config;
    SidecarContext context;
    SidecarControl authority;
    LimitAllocatorService limits;
    AdminServer admin;
    std::unique_ptr<LinkServer> server;
    std::atomic<bool> stopped{false};
};

Sidecar::Sidecar(asio::io_context &context, const Settings &settings) : m_parts(std::make_unique<Parts>(context, settings)) { }

Sidecar::~Sidecar() = default;

bool Sidecar::start(Reason &reason)
{
    Parts &parts = *m_parts;
    const Settings &settings = parts.context.settings;
    RpcMethods methods;
    parts.config.registerMethods(methods);
    parts.config.onApply(reportRejectedRecord);
    methods.merge(parts.authority.methods());
    parts.limits.registerMethods(methods);
    parts.context.recordUsage = [&parts](const std::string &workspace, const wire::Usage &usage) {
        return parts.authority.usage().count(workspace, {1, usage.prompt_tokens(), usage.output_tokens()});
    };
    LinkHandlers handlers = parts.serverHandlers();
    handlers.rpc = std::make_shared<RpcDispatcher>(std::move(methods));
    parts.server = std::make_unique<LinkServer>(parts.executor, parts.identity, std::move(handlers));
    if (!parts.server->start(settings.link.listen, reason) || !parts.startAdmin(reason)) {
        return false;
    }
    parts.members.onChange([&parts](const MemberList &members) {
        parts.config.setPeers(configPeers(*members, parts.self.instance));
    });
    parts.peers.start();
    parts.members.start();
    parts.config.start();
    parts.context.health.start();
    parts.context.intents.start();
    parts.authority.start();
    asio::co_spawn(asio::make_strand(parts.executor), Parts::sweepLoop(&parts), asio::detached);
    return true;
}

std::size_t Sidecar::active() const
{
    return m_parts->unsettledAttempts();
}

void Sidecar::drain(std::function<void()> done)
{
    asio::co_spawn(asio::make_strand(m_parts->executor), Parts::drainLoop(m_parts.get(), std::move(done)), asio::detached);
}

} // namespace snipehill
