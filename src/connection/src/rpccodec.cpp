#include "rpccodec.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <memory>

namespace snipehill
{
namespace rpccodec
{

namespace
{

constexpr int applicationErrorCode = -32000;

/** Supplies a given response to the library's blocking client, which is used only to build requests and parse responses. */
class RecordedConnector : public jsonrpc::IClientConnector
{
public:
    explicit RecordedConnector(const std::string *response) : m_response(response) { }

    void SendRPCMessage(const std::string &message, std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        m_request = message;
        if (!m_response) {
            throw jsonrpc::JsonRpcException(applicationErrorCode, "no answer recorded");
        }
        result = *m_response;
    }

    const std::string &request() const
    {
        return m_request;
    }

private:
    const std::string *m_response;
    std::string m_request;
};

class Invoker : public jsonrpc::IProcedureInvokationHandler
{
public:
    explicit Invoker(const MethodCallback &invoke) : m_invoke(invoke) { }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input, Json::Value &output) override
    {
        const CallResult result = m_invoke(procedure.GetProcedureName(), input);
        if (!result.ok) {
            throw jsonrpc::JsonRpcException(applicationErrorCode, result.error);
        }
        output = result.value;
    }

    void HandleNotificationCall(jsonrpc::Procedure &procedure, const Json::Value &input) override
    {
        m_invoke(procedure.GetProcedureName(), input);
    }

private:
    const MethodCallback &m_invoke;
};

} // namespace

std::string buildRequest(const std::string &method, const Json::Value &params)
{
    RecordedConnector connector(nullptr);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        client.CallMethod(method, params);
    } catch (const jsonrpc::JsonRpcException &) {
        // Expected: the connector has no response; only the request text is needed.
    }
    return connector.request();
}

CallResult parseResponse(const std::string &method, const Json::Value &params, const std::string &response)
{
    RecordedConnector connector(&response);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    CallResult result{false, Json::Value(), std::string()};
    try {
        result.value = client.CallMethod(method, params);
        result.ok = true;
    } catch (const std::exception &error) {
        result.error = error.what();
    }
    return result;
}

std::string handleRequest(const std::vector<std::string> &methods, const MethodCallback &invoke, const std::string &request)
{
    Invoker invoker(invoke);
    const std::unique_ptr<jsonrpc::IProtocolHandler> handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, invoker));
    for (const std::string &method : methods) {
        handler->AddProcedure(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
    }
    std::string response;
    handler->HandleRequest(request, response);
    return response;
}

} // namespace rpccodec
} // namespace snipehill
