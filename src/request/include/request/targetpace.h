#pragma once

#include <core/time.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace snipehill
{

/** Settings of what a target's statements and measured times say about its speed. */
struct PaceSettings
{
    milliseconds maxAge{600}; //!< older statements are ignored; targets change their speed at about this interval
    double minFactor = 0.5;
    double maxFactor = 4;
    double evidenceWeight = 0.3; //!< weight of the newest measurement
    double minDeviation = 0.15; //!< a statement closer to "as usual" than this can be neither confirmed nor contradicted by a measured time
    double maxEvidence = 0.7; //!< limit on the evidence of one measurement, about a factor of two
    double contradicted = -0.1; //!< a statement is ignored while the evidence is below
    double confirmed = 0.1; //!< a statement is confirmed while the evidence is above
    milliseconds evidenceHalfLife{5000}; //!< so that a target whose statement was once false is believed again later
    milliseconds slownessHalfLife{2000}; //!< of the deviation from 1 without new measurements, so that a slow engine is tried again
};

/** Last statement of a target about its pace, and whether measured times of known work confirm its statements. */
struct TargetPace
{
    std::uint32_t percent = 0; //!< 100: as usual, 0: never stated
    TimePoint statedAt{};
    double evidence = 0; //!< moving average; above 0: predictions were better with the statement than without
    TimePoint measuredAt{};
    bool announced = true; //!< the statement was sent to the other entries or came from one
};

/** Records a statement if it is younger than the known one; false otherwise and for a statement of 0. */
bool recordStatement(TargetPace &pace, std::uint32_t percent, TimePoint statedAt, bool fromPeer) noexcept;

/** Factor on the predicted time by the statement alone, within the limits; 1 if there is none or it is too old. */
double statedFactor(const TargetPace &pace, TimePoint now, const PaceSettings &settings) noexcept;

/** Whether measured times currently contradict the statements of the target. */
bool isContradicted(const TargetPace &pace, TimePoint now, const PaceSettings &settings) noexcept;

/** Whether measured times currently confirm the statements of the target. */
bool isConfirmed(const TargetPace &pace, TimePoint now, const PaceSettings &settings) noexcept;

/** Factor on the predicted time of work on the target: statedFactor(), or 1 while the statements are contradicted. */
double paceFactor(const TargetPace &pace, TimePoint now, const PaceSettings &settings) noexcept;

/**
 * Weighs the statement against the measured time of known work.
 *
 * Handles targets whose figure is false in either direction: the evidence falls if the prediction without the statement is closer.
 *
 * @param stated statedFactor() when the work was placed
 * @param ratio measured time over the time predicted without any factor of the target
 */
void recordPaceEvidence(TargetPace &pace, double stated, double ratio, TimePoint now, const PaceSettings &settings) noexcept;

/** Factor that was measured some time ago: its deviation from 1 shrinks with the half-life. */
double decayedFactor(double factor, Duration age, Duration halfLife) noexcept;

/** Settings for predicting the time of calls to plain services. */
struct CallSettings
{
    milliseconds speedHalfLife{200}; //!< of what was known of a target's speed against new measurements; the speed may change within a second
    double minSpeedWeight = 0.05; //!< limits on the weight of one measurement
    double maxSpeedWeight = 0.5;
    double shapeWeight = 0.1; //!< the same for the slowdown by concurrency, which rarely changes
    double usualWeight = 0.05; //!< the same for the usual time of a kind of call
    std::uint32_t minSamples = 4; //!< of a kind of call before its time is predicted, and of a concurrency before its slowdown is used
    double minFactor = 0.1;
    double maxFactor = 20;
    double equalSpeed = 1.25; //!< targets whose speed deviates by less are used alike, because that may be measurement noise
    milliseconds shortCall{200}; //!< shorter calls end before other entries know of them
    milliseconds loadHalfLife{300}; //!< of the mean load of other entries, two or three of their updates
    std::size_t maxKinds = 256; //!< kinds of calls whose time is learned
    std::size_t maxConcurrency = 64; //!< higher concurrency is treated alike
};

/** Usual time of one kind of call at a target of usual speed that runs nothing else. */
struct CallTime
{
    Duration usual{};
    std::uint32_t samples = 0;
};

/** Learned slowdown of calls by the number of requests on the target, the call itself included; position 0 is a concurrency of 1. */
struct ConcurrencyShape
{
    struct Point
    {
        double factor = 1;
        std::uint32_t samples = 0;
    };
    std::vector<Point> points;
};

/** What an entry has learned of the speed of one target of a plain service. */
struct CallPace
{
    double speed = 1; //!< moving average of measured over predicted time, all kinds and concurrencies
    TimePoint speedAt{}; //!< of the last measurement; the deviation from 1 shrinks like the slowness of an engine
    ConcurrencyShape shape;
};

/**
 * Factor on the usual time of a call for the number of requests on the target, the call itself included. Never falls with the
 * number; grows in proportion beyond the slots, where calls queue. Takes the shape of the group where the target's own is not known.
 */
double concurrencyFactor(const ConcurrencyShape &own, const ConcurrencyShape &group, std::uint32_t requests, std::uint32_t slots, const CallSettings &settings);

/**
 * Number of requests on the target that yields most requests per time and latency: up to it callers gain more by the additional
 * request than they lose by waiting. Handles services that slow down long before their slots are full. At least 1, at most the slots.
 */
std::uint32_t usableConcurrency(const ConcurrencyShape &own, const ConcurrencyShape &group, std::uint32_t slots, const CallSettings &settings);

/** Factor of the target's speed, by measured times. */
double callSpeed(const CallPace &pace, TimePoint now, const PaceSettings &settings) noexcept;

/** A factor of a target's speed as used to compare targets: 1 within equalSpeed, continuous beyond. */
double comparedSpeed(double factor, const CallSettings &settings) noexcept;

/** A call that has ended, with the prediction made when it was placed. */
struct MeasuredCall
{
    Duration took{};
    Duration predicted{}; //!< zero: none yet
    std::uint32_t requests = 1; //!< on the target when it was placed, the call itself included
    std::uint32_t slots = 1;
};

/** Updates the usual time of the kind of call, the speed of the target and the shapes. A call that found no free slot tells nothing. */
void recordCall(CallTime &time,
                CallPace &target,
                ConcurrencyShape &group,
                const MeasuredCall &call,
                TimePoint now,
                const PaceSettings &pace,
                const CallSettings &settings);

} // namespace snipehill
