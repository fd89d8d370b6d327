#pragma once

#include <json/value.h>

#include <functional>
#include <string>
#include <vector>

// Compiled as C++14, because the headers of libjsonrpccpp 0.7 use exception specifications that C++17 removed.
// Nothing here may need a later standard.

namespace snipehill
{
namespace rpccodec
{

/** Result of one call, or what went wrong. */
struct CallResult
{
    bool ok;
    Json::Value value;
    std::string error;
};

/** JSON-RPC 2.0 request text. */
std::string buildRequest(const std::string &method, const Json::Value &params);

/** Reads the answer to a request that buildRequest() made. */
CallResult parseResponse(const std::string &method, const Json::Value &params, const std::string &response);

/** Runs the named method; a false ok becomes a JSON-RPC error with the text. */
using MethodCallback = std::function<CallResult(const std::string &method, const Json::Value &params)>;

/** Parses the request, calls the method and writes the answer text. */
std::string handleRequest(const std::vector<std::string> &methods, const MethodCallback &invoke, const std::string &request);

} // namespace rpccodec
} // namespace snipehill
