#pragma once

#include <connection/endpoint.h>
#include <core/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace snipehill
{

/**
 * What an entry that speaks to targets itself learns from its deployment. Filled by the adapter of the platform,
 * constant for the life of the process but for what a reload may change.
 */
struct DirectSettings
{
    std::string instance;
    std::string failureDomain;
    std::string region;
    Endpoint callers; //!< listens for callers
    Endpoint readiness; //!< listens for the balancer's question whether new connections are wanted
    Endpoint store; //!< the platform's log and records
    Endpoint duties; //!< takes usage reports; port 0 where there are none
    bool reportsUsage = false; //!< the deployment wants usage reports
    std::uint16_t firstPort = 0; //!< for the system's own use, up to lastPort
    std::uint16_t lastPort = 0;
    std::uint32_t cores = 1;
    double cpuShare = 1; //!< of one core
    milliseconds heartbeat{1200}; //!< targets renew their entry this often
    milliseconds drainTimeout{2000}; //!< a leaving target gets no new work later than this
    milliseconds configTimeout{2000}; //!< a new version is in force everywhere after this
    milliseconds grace{8000}; //!< from the request to stop to the kill
    milliseconds leaseTimeout{3000}; //!< duties don't change hands back and forth within this
    milliseconds usageWindow{5000};
    milliseconds usageReportDelay{10000}; //!< a report is due this long after the end of its window
    double retryRatio = 0.2; //!< repeats that one request earns, of the deployment
    double retrySlack = 50; //!< repeats allowed beyond these in one retryWindow, of the deployment
    milliseconds retryWindow{10000};
};

} // namespace snipehill
