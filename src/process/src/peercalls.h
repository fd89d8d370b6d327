#pragma once

#include <connection/rpc.h>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace snipehill
{

/** One control call among several. */
struct PeerRequest
{
    Endpoint peer;
    std::string method;
    Json::Value params;
};

/** Makes the calls side by side; the answers stand in the order of the requests, empty where none came. */
boost::asio::awaitable<std::vector<std::optional<Json::Value>>> callPeers(PeerCall call, std::vector<PeerRequest> requests, milliseconds timeout);

} // namespace snipehill
