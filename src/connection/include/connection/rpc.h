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
 * A control method that peers may call: takes the JSON-RPC params object, returns the result, or empty with
 * a reason, which travels back as a JSON-RPC error. Runs on an I/O thread, so it must not block.
 */
using RpcMethod = std::function<std::optional<Json::Value>(const Json::Value &params, Reason &reason)>;

/** Methods by name, for example "config.read". Filled before the process serves. */
using RpcMethods = std::map<std::string, RpcMethod>;

/** Calls a method of the process whose link server listens on the endpoint; empty with a reason on failure. */
using PeerCall = std::function<
    boost::asio::awaitable<std::optional<Json::Value>>(Endpoint peer, std::string method, Json::Value params, milliseconds timeout, Reason &reason)>;

/**
 * Answers JSON-RPC 2.0 texts from a table of methods, by libjsonrpccpp.
 * Thread-safe once constructed; the table is copied.
 */
class RpcDispatcher
{
public:
    explicit RpcDispatcher(RpcMethods methods);
    ~RpcDispatcher();
    /** Answer to a request text, empty for a notification. */
    std::string handle(const std::string &request) const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace snipehill
