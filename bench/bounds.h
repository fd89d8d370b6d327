#pragma once

/**
 * Acceptance limits for benches and tests. They follow from the stated size and service target of the system, not from
 * results of a run.
 */
namespace snipehill::bounds
{

// Service target: first token within 1.5 s and 80 ms between tokens, for 95 in 100 requests.
constexpr double firstTokenSeconds = 1.5;
constexpr double tokenGapSeconds = 0.080;
constexpr double goodFraction = 0.95;

// A request that crashes targets takes down at most two, and no other request is lost (invariant of the service).
constexpr int targetsLostPerCrashingRequest = 2;
constexpr int bystandersLost = 0;

// Peak load of an entry: 33 requests and 10,000 tokens per second.
constexpr double entryRequestsPerSecond = 33;
constexpr double entryTokensPerSecond = 10000;

// Control work of a process: at most 1% of a core, 128 MB and 2 KB/s.
constexpr double controlCpuShare = 0.01;
constexpr double controlBytes = 128.0 * 1024 * 1024;

// Number of workspaces and models in the largest deployment.
constexpr int workspaces = 540;
constexpr int models = 5;

// Role changes: one engine of a pool at a time, none while reports are missing (invariants of the service).
constexpr int enginesChangingAtOnce = 1;
constexpr int changesWithoutReports = 0;

// After the loss of one failure domain, the remaining targets serve the whole load (requirement on scaling).
constexpr double servedAfterDomainLoss = 1.0;

} // namespace snipehill::bounds
