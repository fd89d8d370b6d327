#include <serving/entry.h>

#include "entrycontext.h"
#include "entryrequest.h"
#include "fleetplanner.h"
#include "limitsharing.h"
#include "processparts.h"
#include "wireconvert.h"

#include <connection/httpserver.h>
#include <process/adminserver.h>
#include <process/controlplane.h>
#include <process/log.h>
#include <process/metrics.h>

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

constexpr milliseconds drainPoll{50};
constexpr milliseconds snapshotInterval{5000};
constexpr milliseconds snapshotTimeout{2000}; //!< for one append

HttpServerLimits callerLimits(const CallersSettings &settings)
{
    HttpServerLimits limits;
    limits.headerBytes = settings.headerBytes;
    limits.bodyBytes = settings.bodyBytes;
    limits.headerCount = settings.headerCount;
    limits.idleTimeout = settings.idleTimeout;
    limits.requestTimeout = settings.requestTimeout;
    return limits;
}

} // namespace

struct Entry::Parts
{
    Parts(asio::io_context &io, const Settings &settings)
        : executor(io.get_executor())
        , identity{{settings.instance, randomId()}, "entry", settings.link.heartbeat}
        , targets(settings.instance)
        , members(settings.platform.instances, settings.timings.instancesPoll, executor)
        , links(executor, identity, linkHandlers())
        , config(followerOptions(settings), executor, links.peerCall())
        , planner(targets, config)
        , control(executor, controlSettings(settings, identity.self), controlHooks(), links.peerCall())
        , context{.settings = settings, .config = config, .members = members, .links = links, .targets = targets, .router = router}
        , callers(executor,
                  callerLimits(settings.callers),
                  [this](HttpExchange &exchange) {
                      return serveCaller(context, exchange);
                  })
        , admin(executor, settings, processMetrics())
    {
    }

    ControlHooks controlHooks()
    {
        ControlHooks hooks;
        hooks.members = [this] {
            return members.snapshot();
        };
        hooks.roleGroups = [this] {
            return planner.roleGroups();
        };
        hooks.planRoles = [this](const std::string &group, const std::set<std::string> &busy, TimePoint now) {
            return planner.planRoles(group, busy, now);
        };
        hooks.onRoleOrderIssued = [this](const std::string &group, const PlannedEngineOrder &order, TimePoint now) {
            planner.recordRoleOrder(group, order, now);
        };
        hooks.planTargets = [this](const std::string &failureDomain, TimePoint now) {
            return planner.planTargets(failureDomain, now);
        };
        return hooks;
    }

    /** Counts a second copy of the usage that the sidecar counted. Responses without a window were counted before and are skipped. */
    void recordUsage(const std::string &workspace, const Incarnation &sidecar, const wire::Usage &usage)
    {
        if (usage.window() != 0) {
            control.entryUsage().count({sidecar, usage.window()}, workspace, {1, usage.prompt_tokens(), usage.output_tokens()});
        }
    }

    LinkHandlers linkHandlers()
    {
        LinkHandlers handlers;
        handlers.message = [this](const LinkPointer &link, const wire::LinkMessage &message) {
            receive(link, message);
        };
        handlers.closed = [this](const LinkPointer &link) {
            router.linkClosed(link.get());
        };
        return handlers;
    }

    void receive(const LinkPointer &link, const wire::LinkMessage &message)
    {
        if (message.has_frame()) {
            if (message.frame().has_load()) {
                applyLoad(message.frame().load());
            }
            AttemptMessage delivered;
            delivered.frame = message.frame();
            if (!router.deliver(message.frame().attempt_id(), link.get(), std::move(delivered))) {
                processMetrics().count(Counter::FramesDropped, {"no_attempt"});
            }
        } else if (message.has_resolved()) {
            AttemptMessage delivered;
            delivered.resolved = message.resolved();
            router.deliver(message.resolved().attempt_id(), link.get(), std::move(delivered));
        } else if (message.has_load()) {
            applyLoad(message.load());
        }
    }

    void applyLoad(const wire::Load &load)
    {
        const TimePoint now = Clock::now();
        targets.recordLoad(readLoad(load), now);
        if (load.suspects_size() > 0) {
            const std::lock_guard lock(context.suspects.lock);
            mergeSuspectUpdates(context.suspects.suspects, readSuspects(load.suspects()), context.suspects.settings, now);
        }
    }

    /** Appends configuration snapshots, so that live records are not lost to log retention. Only the entry with the lease does it. */
    static asio::awaitable<void> appendSnapshots(Parts *parts)
    {
        asio::steady_timer timer(parts->executor);
        while (!parts->draining) {
            timer.expires_after(snapshotInterval);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            Reason reason;
            if (!parts->control.leases().mayCall(scopes::snapshot, snapshotTimeout)) {
                continue;
            }
            const bool done = co_await parts->config.appendSnapshotIfDue(reason);
            if (!done) {
                logEvent(LogComponent::Config, LogLevel::Warning, "failed to append a configuration snapshot", reason);
            }
        }
    }

    void setGauges(Metrics &metrics)
    {
        setConfigGauges(metrics, config);
        metrics.set(Gauge::Draining, {}, draining ? 1 : 0);
        metrics.set(Gauge::RunningRequests, {}, static_cast<double>(callers.activeExchanges()));
        for (const LeaseStatus &lease : control.leases().status()) {
            metrics.set(Gauge::LeaseState, {lease.scope}, lease.valid ? 2 : (lease.holder.empty() ? 0 : 1));
            metrics.set(Gauge::LeaseEpoch, {lease.scope}, static_cast<double>(lease.epoch));
        }
    }

    bool startAdmin(Reason &reason)
    {
        admin.addReadiness([this] {
            return draining ? std::optional<std::string>("draining") : std::nullopt;
        });
        admin.addReadiness([this] {
            return config.ready() ? std::nullopt : std::optional<std::string>("no configuration yet");
        });
        admin.addReadiness([this] {
            return members.snapshot()->empty() ? std::optional<std::string>("no instance list yet") : std::nullopt;
        });
        admin.addStatusSection("config", [this] {
            return config.status(Clock::now());
        });
        admin.addStatusSection("leases", [this] {
            return leasesStatus(control.leases().status());
        });
        admin.addStatusSection("targets", [this] {
            return targetsStatus(targets.allViews(Clock::now()));
        });
        processMetrics().onScrape([this](Metrics &metrics) {
            setGauges(metrics);
        });
        return admin.start(reason);
    }

    asio::any_io_executor executor;
    LinkIdentity identity;
    AttemptRouter router;
    TargetTable targets;
    MembershipWatcher members;
    LinkTable links;
    ConfigFollower config;
    FleetPlanner planner;
    ControlPlane control;
    EntryContext context;
    HttpServer callers;
    AdminServer admin;
    std::unique_ptr<LinkServer> linkServer;
    std::atomic<bool> draining{false};
};

Entry::Entry(asio::io_context &context, const Settings &settings) : m_parts(std::make_unique<Parts>(context, settings)) { }

Entry::~Entry() = default;

bool Entry::start(Reason &reason)
{
    Parts &parts = *m_parts;
    const Settings &settings = parts.context.settings;
    RpcMethods methods;
    parts.config.registerMethods(methods);
    parts.config.onApply(reportRejectedRecord);
    methods.merge(parts.control.methods());
    parts.context.recordUsage = [&parts](const std::string &workspace, const Incarnation &sidecar, const wire::Usage &usage) {
        parts.recordUsage(workspace, sidecar, usage);
    };
    LinkHandlers serverHandlers = parts.linkHandlers();
    serverHandlers.rpc = std::make_shared<RpcDispatcher>(std::move(methods));
    parts.linkServer = std::make_unique<LinkServer>(parts.executor, parts.identity, std::move(serverHandlers));
    parts.members.onChange([&parts, self = settings.instance](const MemberList &members) {
        parts.targets.setMembers(*members);
        parts.links.setPersistentPeers(parts.targets.subsetLinks());
        parts.config.setPeers(configPeers(*members, self));
    });
    if (!parts.linkServer->start(settings.link.listen, reason) || !parts.startAdmin(reason)) {
        return false;
    }
    parts.links.start();
    parts.members.start();
    parts.config.start();
    parts.control.start();
    asio::co_spawn(asio::make_strand(parts.executor), runLimitSharing(&parts.context, parts.links.peerCall(), &parts.draining), asio::detached);
    asio::co_spawn(asio::make_strand(parts.executor), Parts::appendSnapshots(&parts), asio::detached);
    return parts.callers.start(settings.callers.listen, reason);
}

std::size_t Entry::active() const
{
    return m_parts->callers.activeExchanges();
}

void Entry::drain(std::function<void()> done)
{
    // State is passed as parameters, because the coroutine outlives the lambda and its captures.
    const auto run = [](Parts *parts, std::function<void()> finished) -> asio::awaitable<void> {
        const DrainSettings &drain = parts->context.settings.drain;
        parts->draining = true;
        parts->callers.closeAfterResponses();
        asio::steady_timer timer(parts->executor, drain.balancerDelay);
        co_await timer.async_wait(asio::use_awaitable);
        parts->callers.stopAccepting();
        const TimePoint drainDeadline = Clock::now() + drain.timeout;
        while (parts->callers.activeExchanges() > 0 && Clock::now() < drainDeadline) {
            timer.expires_after(drainPoll);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (parts->callers.activeExchanges() > 0) {
            logEvent(LogComponent::Entry, LogLevel::Warning, "drain timeout passed with responses in flight", {{"cut", parts->callers.activeExchanges()}});
        }
        co_await parts->control.stop();
        finished();
    };
    asio::co_spawn(asio::make_strand(m_parts->executor), run(m_parts.get(), std::move(done)), asio::detached);
}

} // namespace snipehill
