#pragma once

#include <connection/endpoint.h>
#include <core/reason.h>
#include <core/time.h>

#include <boost/asio/awaitable.hpp>
#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace snipehill
{

/**
 * A control method that peers may call. Takes the JSON-RPC params object and returns the result, or empty with
 * a reason, which is sent to the caller as a JSON-RPC error. Runs on an I/O thread, so it must not block.
 */
using RpcMethod = std::function<std::optional<Json::Value>(const Json::Value &params, Reason &reason)>;

/** Methods by name, for example "config.read". Filled before the process accepts connections. */
using RpcMethods = std::map<std::string, RpcMethod>;

/** Calls a control method of the process whose link server listens on the endpoint; empty with a reason on failure. */
using PeerCall = std::function<
    boost::asio::awaitable<std::optional<Json::Value>>(Endpoint peer, std::string method, Json::Value params, milliseconds timeout, Reason &reason)>;

/**
 * Handles JSON-RPC 2.0 requests by calling the methods of a table, using libjsonrpccpp.
 * The table is copied; thread-safe once constructed.
 */
class RpcDispatcher
{
public:
    explicit RpcDispatcher(RpcMethods methods);
    ~RpcDispatcher();
    /** Returns the response text to a request text; empty for a notification. */
    std::string handle(const std::string &request) const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace snipehill
