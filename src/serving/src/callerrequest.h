#pragma once

#include <connection/httpserver.h>
#include <core/refusal.h>
#include <process/freshness.h>
#include <request/estimate.h>
#include <version/configversion.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <variant>

namespace snipehill
{

/** A caller's request after authentication. Lives until its response has ended. */
struct CallerRequest
{
    std::string id; //!< X-Request-Id of the response
    std::string traceparent; //!< trace context sent by the caller, may be empty
    ConfigPointer config; //!< configuration version used for the whole request
    Route route;
    Workspace workspace; //!< name is empty on routes without authentication
    std::string method;
    std::string path;
    HeaderList headers; //!< headers to forward, without credentials and hop-by-hop fields
    std::string body;
    std::string idempotencyKey; //!< "key:" and the caller's key, or the request id if the caller sent none
    TimePoint received{};
    TimePoint deadline{};
    CostEstimate cost;
    TargetKind kind = TargetKind::Service; //!< of the route's target group
    std::uint64_t fingerprint = 0;
};

/** State of the entry that requests are validated against. */
struct RequestValidationContext
{
    ConfigPointer config;
    Freshness freshness = Freshness::Fresh;
    std::uint32_t jsonDepth = 64; //!< deepest allowed nesting of a JSON body for an engine
};

/** Finds the route and workspace of a request and parses it, or returns the refusal. API keys are not stored in the result. */
std::variant<CallerRequest, Refusal> parseCallerRequest(const boost::beast::http::request<boost::beast::http::string_body> &request,
                                                        const RequestValidationContext &validation,
                                                        std::string requestId,
                                                        TimePoint now);

/** Returns whether a JSON text is nested at most `maxDepth` levels deep. Brackets within strings don't count. */
bool isNestingWithin(std::string_view json, std::uint32_t maxDepth) noexcept;

/** Returns the application/problem+json body of a refusal. */
std::string problemBody(const Refusal &refusal, const std::string &requestId);

/** Returns the header fields of a refusal. */
HeaderList problemHeaders(const Refusal &refusal, const std::string &requestId);

} // namespace snipehill
