#pragma once

#include <connection/endpoint.h>
#include <core/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace snipehill
{

/**
 * Settings of an entry that sends requests to targets directly, without sidecars. Filled by the platform adapter;
 * constant while the process runs, except for what a reload may change.
 */
struct DirectSettings
{
    std::string instance;
    std::string failureDomain;
    std::string region;
    Endpoint callers; //!< listen address for callers
    Endpoint readiness; //!< listen address for the load balancer's readiness checks
    Endpoint store; //!< the platform's store of logs and records
    Endpoint duties; //!< service that receives usage reports; port 0 if there is none
    bool reportsUsage = false; //!< whether the deployment asks for usage reports
    std::uint16_t firstPort = 0; //!< first port of the range reserved for the system's own use; lastPort is the last
    std::uint16_t lastPort = 0;
    std::uint32_t cores = 1;
    double cpuShare = 1; //!< usable fraction of one core
    std::size_t memoryBytes = 128U << 20U; //!< memory of the instance, beyond which the process is killed
    milliseconds heartbeat{1200}; //!< interval at which targets renew their record in the store
    milliseconds drainTimeout{2000}; //!< a draining target gets no new requests after this time
    milliseconds configTimeout{2000}; //!< time after which a new configuration version must be in force in all processes
    milliseconds grace{8000}; //!< time from the stop request to the kill
    milliseconds leaseTimeout{3000}; //!< the holder of the deployment's duties does not change back and forth within this time
    milliseconds usageWindow{5000};
    milliseconds usageReportDelay{10000}; //!< longest delay of a usage report after the end of its window
    double retryRatio = 0.2; //!< retries that each request adds to the budget of the whole deployment
    double retrySlack = 50; //!< further retries that the whole deployment may make within one retryWindow
    milliseconds retryWindow{10000};
};

} // namespace snipehill
