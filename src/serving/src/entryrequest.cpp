#include "entryrequest.h"

#include "callerrequest.h"
#include "callerresponse.h"
#include "entryattempt.h"

#include <process/log.h>
#include <process/metrics.h>
#include <process/tracing.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr int maxAttempts = 6; //!< for a request whose response has not started
constexpr milliseconds targetRetryDelay{200}; //!< between searches for a target that can resume a started stream
constexpr unsigned overloadStatus = 429;
constexpr unsigned blockedStatus = 422;

const char *nameOf(AttemptEnd end) noexcept
{
    static constexpr std::array names{"complete", "refused", "lost_contact", "expired", "caller_gone"};
    return names[static_cast<std::size_t>(end)];
}

/** Updates the request metrics once the response has ended. */
void recordRequest(const std::string &workspace, const std::string &route, const CallerResponse &response, TimePoint received)
{
    Metrics &metrics = processMetrics();
    metrics.count(Counter::Requests, {workspace, route, response.outcome()});
    metrics.observe(Timing::Request, {route}, Clock::now() - received);
    if (response.isStreaming() && response.firstData()) {
        metrics.observe(Timing::FirstToken, {workspace}, *response.firstData() - received);
    }
}

/** State of the coroutine that serves one request. */
class RequestHandler
{
public:
    RequestHandler(EntryContext &context, CallerRequest request, CallerResponse &response)
        : m_context(context), m_request(std::move(request)), m_response(response)
    {
    }

    ~RequestHandler()
    {
        if (m_admitted) {
            releaseAdmission();
        }
    }
    RequestHandler(const RequestHandler &) = delete;
    RequestHandler &operator=(const RequestHandler &) = delete;

    asio::awaitable<void> run()
    {
        if (auto refusal = admitRequest()) {
            co_await m_response.refuse(std::move(*refusal));
            co_return;
        }
        m_admitted = true;
        auto refusal = co_await runAttempts();
        if (refusal) {
            co_await m_response.refuse(std::move(*refusal));
        }
    }

private:
    void recordSent(const std::string &instance)
    {
        const std::lock_guard lock(m_context.duplicates.lock);
        recordDuplicateSent(m_context.duplicates.requests, m_request.fingerprint, instance);
    }

    void recordEnded(const std::string &instance, bool answered)
    {
        const std::lock_guard lock(m_context.duplicates.lock);
        recordDuplicateEnded(m_context.duplicates.requests, m_request.fingerprint, instance, answered);
    }

    std::string colocateWith() const
    {
        const std::lock_guard lock(m_context.duplicates.lock);
        return colocatedInstance(m_context.duplicates.requests, m_request.fingerprint);
    }

    PlacementRequest placement() const
    {
        return {.promptTokens = m_request.cost.promptTokens,
                .outputTokens = m_request.cost.outputTokens,
                .isolated = m_isolated,
                .colocateWith = colocateWith(),
                .fingerprint = m_request.fingerprint,
                .kind = m_request.kind};
    }

    std::vector<TargetView> views() const
    {
        return m_context.targets.views(m_request.route.targetGroup, m_request.cost.prefixHashes, Clock::now());
    }

    std::optional<Refusal> admitRequest()
    {
        const TimePoint now = Clock::now();
        AdmissionRequest request;
        request.promptTokens = m_request.cost.promptTokens;
        request.outputTokens = m_request.cost.outputTokens;
        request.remaining = m_request.deadline - now;
        Reason reason;
        m_admissionChoice = chooseTarget(views(), placement(), m_triedInstances, randomId(), ChoiceSettings(), reason);
        request.forecast = m_admissionChoice ? std::optional(m_admissionChoice->cost) : std::nullopt;
        auto &shard = m_context.admission.of(m_request.workspace.name);
        const std::lock_guard lock(shard.lock);
        return admit(shard.admission, m_request.workspace, request, m_context.targets.liveEntries(), AdmissionSettings(), now);
    }

    void releaseAdmission()
    {
        const auto used = static_cast<std::int64_t>(m_response.usage().prompt_tokens() + m_response.usage().output_tokens());
        const auto estimated = static_cast<std::int64_t>(m_request.cost.promptTokens + m_request.cost.outputTokens);
        auto &shard = m_context.admission.of(m_request.workspace.name);
        const std::lock_guard lock(shard.lock);
        release(shard.admission, m_request.workspace.name, used - estimated);
    }

    /** Runs attempts until the response is complete. Returns the refusal to send, or empty if the response was sent or the caller is gone. */
    asio::awaitable<std::optional<Refusal>> runAttempts()
    {
        {
            const std::lock_guard lock(m_context.retries.lock);
            recordFirstAttempt(m_context.retries.budgets[m_request.route.targetGroup]);
        }
        for (int attempts = 0; attempts < maxAttempts || m_response.isStreaming(); ++attempts) {
            if (auto blocked = checkRunPermission()) {
                co_return blocked;
            }
            Reason reason;
            const auto target = chooseAttemptTarget(reason);
            if (!target && !m_response.isStreaming()) {
                co_return noTargetRefusal(std::move(reason));
            }
            if (!target) {
                const bool waited = co_await waitForTarget();
                if (!waited) {
                    co_return Refusal{Outcome::OutcomeUnknown, 504, std::move(reason), std::nullopt};
                }
                continue;
            }
            recordSent(target->instance);
            const AttemptResult result = co_await runAttempt(m_context, m_request, *target, m_response);
            recordEnded(target->instance, result.end == AttemptEnd::Complete);
            processMetrics().count(Counter::Attempts, {nameOf(result.end)});
            if (result.end == AttemptEnd::Complete || result.end == AttemptEnd::CallerGone) {
                co_return std::nullopt;
            }
            if (auto final = handleFailedAttempt(result, *target)) {
                co_return final;
            }
        }
        co_return finalRefusal(*m_lastRefusal);
    }

    /** Decides whether the request must run isolated; returns a refusal if it must not run at all. */
    std::optional<Refusal> checkRunPermission()
    {
        const std::lock_guard lock(m_context.suspects.lock);
        const RunPermission permission = runPermissionFor(m_context.suspects.suspects, m_request.fingerprint, m_context.suspects.settings, Clock::now());
        m_isolated = permission != RunPermission::Clear;
        if (permission != RunPermission::Blocked) {
            return std::nullopt;
        }
        return Refusal{Outcome::Rejected, blockedStatus, {Step::ChooseTarget, {}, "this request crashed the targets that ran it"}, std::nullopt};
    }

    std::optional<AttemptTarget> chooseAttemptTarget(Reason &reason)
    {
        if (m_owner) {
            return ownerTarget(reason);
        }
        const std::vector<TargetView> targets = views();
        std::string instance;
        if (m_request.route.idempotent) {
            // The first attempt goes to the target that admission based its forecast on.
            const auto choice = m_admissionChoice ? std::exchange(m_admissionChoice, std::nullopt)
                                                  : chooseTarget(targets, placement(), m_triedInstances, randomId(), ChoiceSettings(), reason);
            instance = choice ? choice->instance : std::string();
        } else {
            instance = keyedTarget(targets, reason);
        }
        const auto link = m_context.targets.linkOf(m_request.route.targetGroup, instance);
        if (instance.empty() || !link) {
            return std::nullopt;
        }
        return AttemptTarget{instance, *link, m_isolated};
    }

    /** Returns the eligible target that the key hashes to, so that repeats with the same key reach it too. */
    std::string keyedTarget(const std::vector<TargetView> &targets, Reason &reason) const
    {
        std::vector<TargetMember> members;
        for (const TargetView &target : targets) {
            const bool tried = std::find(m_triedInstances.begin(), m_triedInstances.end(), target.instance) != m_triedInstances.end();
            if (!tried && isEligible(target)) {
                members.push_back({target.instance, target.failureDomain});
            }
        }
        const auto owner = rendezvousOwner(m_request.idempotencyKey, members);
        if (!owner) {
            reason = {Step::ChooseTarget, m_request.route.targetGroup, "no target accepts work"};
            return {};
        }
        return members[*owner].instance;
    }

    std::optional<AttemptTarget> ownerTarget(Reason &reason) const
    {
        for (const Member &member : *m_context.members.snapshot()) {
            if (member.instance == m_owner->instance) {
                return AttemptTarget{member.instance, member.link, false};
            }
        }
        reason = {Step::RecordIntent, m_owner->instance, "the instance that ran the request under this key is gone"};
        return std::nullopt;
    }

    Refusal noTargetRefusal(Reason reason) const
    {
        if (m_owner) {
            return {Outcome::OutcomeUnknown, 504, std::move(reason), std::nullopt};
        }
        if (m_lastRefusal && (m_mayHaveRun || m_lastRefusal->outcome == Outcome::NotRun)) {
            return finalRefusal(*m_lastRefusal);
        }
        return {Outcome::NotRun, 503, std::move(reason), seconds(1)};
    }

    asio::awaitable<bool> waitForTarget()
    {
        m_triedInstances.clear();
        asio::steady_timer timer(co_await asio::this_coro::executor, targetRetryDelay);
        co_await timer.async_wait(asio::use_awaitable);
        co_return Clock::now() < m_request.deadline;
    }

    /** Returns the refusal that ends the request, or empty if another attempt may be made. */
    std::optional<Refusal> handleFailedAttempt(const AttemptResult &result, const AttemptTarget &target)
    {
        logEvent(LogComponent::Entry,
                 LogLevel::Info,
                 "attempt failed",
                 result.refusal.reason,
                 {{"request", m_request.id}, {"outcome", toString(result.refusal.outcome)}});
        m_response.discardBuffered();
        m_triedInstances.push_back(target.instance);
        recordCrashOf(result, target);
        if (result.end == AttemptEnd::Expired || result.refusal.outcome == Outcome::Rejected) {
            return finalRefusal(result.refusal);
        }
        if (!result.owner.instance.empty() && !m_owner) {
            m_owner = result.owner;
            m_lastRefusal = result.refusal;
            return std::nullopt;
        }
        if (m_owner) {
            // The owner of the key does not know the outcome, and no other instance may run a request under this key.
            return Refusal{Outcome::OutcomeUnknown, 504, result.refusal.reason, std::nullopt};
        }
        const bool maybeRan = result.refusal.outcome == Outcome::OutcomeUnknown;
        m_mayHaveRun = m_mayHaveRun || maybeRan;
        m_lastRefusal = result.refusal;
        // After lost contact a second sidecar may be tried: the claim on the key lets only one of them run the request.
        const bool repeatable = m_request.route.idempotent || !maybeRan || result.end == AttemptEnd::LostContact;
        if (!repeatable || !mayRetry(result)) {
            return finalRefusal(result.refusal);
        }
        return std::nullopt;
    }

    /** Reports "not run" only if no attempt may have run. */
    Refusal finalRefusal(Refusal refusal) const
    {
        if (m_mayHaveRun && refusal.outcome == Outcome::NotRun) {
            refusal.outcome = Outcome::OutcomeUnknown;
            refusal.status = 504;
        }
        return refusal;
    }

    void recordCrashOf(const AttemptResult &result, const AttemptTarget &target)
    {
        if (!result.targetCrashed) {
            return;
        }
        const TimePoint now = Clock::now();
        m_context.targets.recordCrash(m_request.route.targetGroup, target.instance, now);
        const std::lock_guard lock(m_context.suspects.lock);
        recordCrash(m_context.suspects.suspects, result.inFlight, target.isolated, m_context.suspects.settings, now);
    }

    /** Retries after planned changes, crashes and lost contact are unlimited; retries after overload and other failures use the retry budget. */
    bool mayRetry(const AttemptResult &result)
    {
        const bool overloaded = result.refusal.status == overloadStatus;
        const bool unplannedFailure = result.refusal.outcome == Outcome::OutcomeUnknown && !result.targetCrashed && result.end == AttemptEnd::Refused;
        processMetrics().count(Counter::Retries, {toString(result.refusal.reason.step)});
        if (m_response.isStreaming() || (!overloaded && !unplannedFailure)) {
            return true;
        }
        const std::lock_guard lock(m_context.retries.lock);
        return takeRetry(m_context.retries.budgets[m_request.route.targetGroup]);
    }

    EntryContext &m_context;
    CallerRequest m_request;
    CallerResponse &m_response;
    std::vector<std::string> m_triedInstances; //!< instances that refused or failed
    std::optional<Incarnation> m_owner; //!< holder of the idempotency key, the only instance that can respond
    std::optional<Refusal> m_lastRefusal;
    std::optional<TargetChoice> m_admissionChoice; //!< target on which admission based its forecast, until it is used
    bool m_admitted = false; //!< the request counts against the workspace's limits until it ends
    bool m_mayHaveRun = false;
    bool m_isolated = false;
};

} // namespace

asio::awaitable<void> serveCaller(EntryContext &context, HttpExchange &exchange)
{
    const std::string requestId = randomRequestId();
    const TimePoint now = Clock::now();
    const RequestValidationContext validation{context.config.current(), context.config.freshness(now), context.settings.callers.jsonDepth};
    auto request = parseCallerRequest(exchange.request(), validation, requestId, now);
    CallerResponse response(exchange, requestId);
    if (auto *refusal = std::get_if<Refusal>(&request)) {
        co_await response.refuse(std::move(*refusal));
        recordRequest({}, {}, response, now);
        co_return;
    }
    auto &accepted = std::get<CallerRequest>(request);
    Span span = startSpan(spans::request, accepted.traceparent);
    span.setTag(requestIdTag, requestId);
    span.setTag("route", accepted.route.name);
    accepted.traceparent = span.traceparent();
    const std::string workspace = accepted.workspace.name;
    const std::string route = accepted.route.name;
    response.setMetricsWorkspace(workspace);
    RequestHandler handler(context, std::move(accepted), response);
    co_await handler.run();
    span.setTag("outcome", response.outcome());
    recordRequest(workspace, route, response, now);
}

} // namespace snipehill
