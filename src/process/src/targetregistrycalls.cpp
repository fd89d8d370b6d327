#include "targetregistryshard.h"

#include <algorithm>
#include <cmath>

namespace snipehill
{

namespace
{

Duration scaled(Duration time, double factor)
{
    return std::chrono::duration_cast<Duration>(time * factor);
}

/**
 * Requests that all entries run on a target. What is known of those of other entries is older than short calls take, so their mean
 * over some updates is used for them; otherwise all entries leave and come back to a target together.
 */
template<typename Target> std::uint32_t expectedRequests(Target &target, Duration usual, const TargetRegistrySettings &settings, TimePoint now)
{
    const std::uint32_t running = runningOn(target, settings, now);
    if (usual == Duration::zero() || usual > settings.calls.shortCall) {
        return running;
    }
    const double share = std::exp2(-std::chrono::duration<double>(now - target.meanOthersAt) / std::chrono::duration<double>(settings.calls.loadHalfLife));
    target.meanOthers = share * target.meanOthers + (1 - share) * (running - target.running);
    target.meanOthersAt = now;
    return target.running + static_cast<std::uint32_t>(std::lround(target.meanOthers));
}

/** Prediction for a call on one target. */
struct CallForecast
{
    Duration predicted{}; //!< zero: not known
    std::uint32_t requests = 1; //!< on the target with the call
    bool beyondUsable = false; //!< the target would run more than its usable concurrency
};

template<typename Shard, typename Target>
CallForecast
forecastCall(const Shard &shard, const Target &target, Duration usual, std::uint32_t running, const TargetRegistrySettings &settings, TimePoint now)
{
    CallForecast forecast{.requests = running + 1};
    if (usual > Duration::zero()) {
        const double speed = callSpeed(target.callPace, now, settings.pace) * paceFactor(target.pace, now, settings.pace);
        forecast.predicted
            = scaled(usual, speed * concurrencyFactor(target.callPace.shape, shard.callShape, forecast.requests, target.entry.slots, settings.calls));
        forecast.beyondUsable = forecast.requests > usableConcurrency(target.callPace.shape, shard.callShape, target.entry.slots, settings.calls);
    }
    return forecast;
}

/** Fills the predictions by which targets are compared; small differences in speed are left out. */
template<typename Shard, typename Target>
void setPrediction(TargetView &view,
                   const Shard &shard,
                   const Target &target,
                   Duration usual,
                   const CallForecast &forecast,
                   const TargetRegistrySettings &settings,
                   TimePoint now)
{
    const double speed = comparedSpeed(callSpeed(target.callPace, now, settings.pace) * paceFactor(target.pace, now, settings.pace), settings.calls);
    const auto factorFor = [&](std::uint32_t requests) {
        return concurrencyFactor(target.callPace.shape, shard.callShape, requests, target.entry.slots, settings.calls);
    };
    const double with = factorFor(forecast.requests);
    const double without = factorFor(std::max(1U, forecast.requests - 1));
    view.predicted = scaled(usual, speed * with);
    view.othersDelay = scaled(usual, speed * (with - without) * (forecast.requests - 1));
}

} // namespace

std::optional<PlacedCall>
TargetRegistry::placeCall(const std::string &group, std::span<const std::string> tried, std::uint64_t draw, TimePoint now, Reason &reason)
{
    return placeCall(group, CallDemand{}, tried, draw, now, reason);
}

std::optional<PlacedCall> TargetRegistry::placeCall(const std::string &group,
                                                    const CallDemand &demand,
                                                    std::span<const std::string> tried,
                                                    std::uint64_t draw,
                                                    TimePoint now,
                                                    Reason &reason)
{
    const auto shard = shardOf(group);
    if (!shard) {
        reason = {Step::ChooseTarget, group, "the target group has no target"};
        return std::nullopt;
    }
    const std::lock_guard lock(shard->lock);
    const auto time = shard->callTimes.find(demand.kind);
    const bool known = demand.kind != 0 && time != shard->callTimes.end() && time->second.samples >= m_settings.calls.minSamples;
    const auto usual = known ? time->second.usual : Duration::zero();
    std::vector<TargetView> views;
    views.reserve(shard->targets.size());
    std::map<std::string_view, CallForecast> forecasts;
    bool tooLate = known;
    Duration shortest = Duration::max();
    for (auto &[id, target] : shard->targets) {
        if (isPaused(target, now)) {
            continue;
        }
        const std::uint32_t running = expectedRequests(target, usual, m_settings, now);
        TargetView view;
        view.instance = id;
        view.failureDomain = target.entry.failureDomain;
        view.reported = true;
        view.report.slots = target.entry.slots;
        view.report.running = running - target.running;
        view.outstanding.requests = target.running;
        view.leaving = !isUsable(target, now);
        view.suspect = now < target.suspectUntil;
        view.pace = paceFactor(target.pace, now, m_settings.pace);
        view.distance = target.entry.failureDomain == m_settings.failureDomain ? Duration::zero() : Duration(m_settings.crossDomainPenalty);
        const CallForecast forecast = forecasts[id] = forecastCall(*shard, target, usual, running, m_settings, now);
        if (usual > Duration::zero()) {
            setPrediction(view, *shard, target, usual, forecast, m_settings, now);
        }
        if (isEligible(view) && std::find(tried.begin(), tried.end(), id) == tried.end()) {
            tooLate = tooLate && forecast.beyondUsable && forecast.predicted > demand.remaining;
            shortest = std::min(shortest, forecast.predicted);
        }
        views.push_back(std::move(view));
    }
    const ChoiceSettings choice{.choices = static_cast<std::uint32_t>(views.size())};
    const auto chosen = chooseTarget(views, {.kind = TargetKind::Service}, tried, draw, choice, reason);
    if (!chosen) {
        return std::nullopt;
    }
    Target &target = shard->targets.find(chosen->instance)->second;
    const CallForecast &forecast = forecasts.at(chosen->instance);
    if (tooLate) {
        return PlacedCall{.run = {makeTargetRef(target), 0}, .predicted = shortest, .reserved = false};
    }
    ++target.running;
    const std::uint64_t reservationId = shard->nextReservationId++;
    if (demand.kind != 0) {
        target.pendingCalls[reservationId] = {.kind = demand.kind,
                                              .placedAt = now,
                                              .predicted = forecast.predicted,
                                              .requests = forecast.requests,
                                              .statedPace = statedFactor(target.pace, now, m_settings.pace),
                                              .usedPace = paceFactor(target.pace, now, m_settings.pace)};
    }
    return PlacedCall{.run = {makeTargetRef(target), reservationId}, .predicted = forecast.predicted};
}

void TargetRegistry::finishCall(const WorkReservation &reservation, TimePoint now)
{
    const auto shard = shardOf(reservation.target.group);
    if (!shard) {
        return;
    }
    const std::lock_guard lock(shard->lock);
    const auto found = shard->targets.find(reservation.target.id);
    if (found == shard->targets.end()) {
        return;
    }
    Target &target = found->second;
    const auto pending = target.pendingCalls.extract(reservation.id);
    if (!pending) {
        return;
    }
    const PendingCall &call = pending.mapped();
    if (!shard->callTimes.contains(call.kind) && shard->callTimes.size() >= m_settings.calls.maxKinds) {
        return;
    }
    const Duration took = now - call.placedAt;
    if (call.predicted > Duration::zero()) {
        const auto usual = std::chrono::duration<double>(call.predicted) / call.usedPace;
        recordPaceEvidence(target.pace, call.statedPace, std::chrono::duration<double>(took) / usual, now, m_settings.pace);
    }
    const MeasuredCall measured{.took = call.predicted > Duration::zero() ? took : scaled(took, 1 / call.usedPace),
                                .predicted = call.predicted,
                                .requests = call.requests,
                                .slots = std::max(1U, target.entry.slots)};
    recordCall(shard->callTimes[call.kind], target.callPace, shard->callShape, measured, now, m_settings.pace, m_settings.calls);
}

} // namespace snipehill
