#pragma once

/**
 * Bounds that benches and tests hold the decisions to. Each comes from the stated size and service target of
 * the system, never from a measured figure.
 */
namespace snipehill::bounds
{

// Service target: first token within 1.5 s and 80 ms between tokens, for 95 in 100 requests.
constexpr double firstTokenSeconds = 1.5;
constexpr double tokenGapSeconds = 0.080;
constexpr double goodFraction = 0.95;

// Requests that crash targets: at most two targets lost to one, and no bystander (invariant of the service).
constexpr int targetsLostPerCrashingRequest = 2;
constexpr int bystandersLost = 0;

// Peak of an entry: 33 requests and 10,000 tokens a second.
constexpr double entryRequestsPerSecond = 33;
constexpr double entryTokensPerSecond = 10000;

// Control work: at most 1% of a core, 128 MB and 2 KB/s for each process.
constexpr double controlCpuShare = 0.01;
constexpr double controlBytes = 128.0 * 1024 * 1024;

// Most workspaces and models of the target size.
constexpr int workspaces = 540;
constexpr int models = 5;

// Role changes: one engine of a pool at a time, none on missing reports (invariants of the service).
constexpr int enginesChangingAtOnce = 1;
constexpr int changesWithoutReports = 0;

// Loss of one failure domain: what is left serves everything (requirement on starting and stopping targets).
constexpr double servedAfterDomainLoss = 1.0;

} // namespace snipehill::bounds
