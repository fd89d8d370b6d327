#include <connection/rpc.h>

#include "rpccodec.h"

#include <utility>
#include <vector>

namespace snipehill
{

struct RpcDispatcher::Implementation
{
    RpcMethods methods;
    std::vector<std::string> names;
};

RpcDispatcher::RpcDispatcher(RpcMethods methods) : m_implementation(std::make_unique<Implementation>())
{
    for (const auto &[name, method] : methods) {
        m_implementation->names.push_back(name);
    }
    m_implementation->methods = std::move(methods);
}

RpcDispatcher::~RpcDispatcher() = default;

std::string RpcDispatcher::handle(const std::string &request) const
{
    const rpccodec::MethodCallback invoke = [this](const std::string &method, const Json::Value &params) {
        Reason reason{Step::Parse, {}, "no reason given"};
        std::optional<Json::Value> result;
        try {
            result = m_implementation->methods.at(method)(params, reason);
        } catch (const std::exception &error) {
            reason.detail = error.what(); // usually a parameter of the wrong JSON type
        }
        return rpccodec::CallResult{result.has_value(), std::move(result).value_or(Json::Value()), toString(reason)};
    };
    return rpccodec::handleRequest(m_implementation->names, invoke, request);
}

} // namespace snipehill
