#pragma once

#include <connection/rpc.h>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace snipehill
{

/** One of several concurrent control calls. */
struct PeerRequest
{
    Endpoint peer;
    std::string method;
    Json::Value params;
};

/** Makes the calls concurrently. Returns the responses in the order of the requests; a response is empty if the call failed. */
boost::asio::awaitable<std::vector<std::optional<Json::Value>>> callPeers(PeerCall call, std::vector<PeerRequest> requests, milliseconds timeout);

} // namespace snipehill
