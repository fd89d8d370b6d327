#pragma once

#include <json/value.h>

#include <functional>
#include <string>
#include <vector>

// This header and rpccodec.cpp are compiled as C++14, because the headers of libjsonrpccpp 0.7 use exception
// specifications that C++17 removed. Neither file may use features of a later standard.

namespace snipehill
{
namespace rpccodec
{

/** Result of a call, or its error message if ok is false. */
struct CallResult
{
    bool ok;
    Json::Value value;
    std::string error;
};

/** Returns the text of a JSON-RPC 2.0 request. */
std::string buildRequest(const std::string &method, const Json::Value &params);

/** Parses the response to a request made by buildRequest() with the same arguments. */
CallResult parseResponse(const std::string &method, const Json::Value &params, const std::string &response);

/** Calls the named method; a result without ok is sent as a JSON-RPC error with its message. */
using MethodCallback = std::function<CallResult(const std::string &method, const Json::Value &params)>;

/** Parses the request, calls the method and returns the text of the response. */
std::string handleRequest(const std::vector<std::string> &methods, const MethodCallback &invoke, const std::string &request);

} // namespace rpccodec
} // namespace snipehill
