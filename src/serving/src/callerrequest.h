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

/** A caller's request after authentication. Lives until its answer has ended. */
struct CallerRequest
{
    std::string id; //!< X-Request-Id of the answer
    std::string traceparent; //!< of the caller, may be empty
    ConfigPointer config; //!< version that governs the whole request
    Route route;
    Workspace workspace; //!< name is empty on routes open to all
    std::string method;
    std::string path;
    HeaderList headers; //!< to forward; without credentials and hop-by-hop fields
    std::string body;
    std::string idempotencyKey; //!< of the caller, or the request id
    TimePoint received{};
    TimePoint deadline{};
    CostEstimate cost;
    TargetKind kind = TargetKind::Service; //!< of the route's target group
    std::uint64_t fingerprint = 0;
};

/** What the entry checks requests against. */
struct RequestValidationContext
{
    ConfigPointer config;
    Freshness freshness = Freshness::Fresh;
    std::uint32_t jsonDepth = 64; //!< nesting of a JSON body for an engine
};

/** Finds route and workspace and reads the request, or says why it is refused. Keys are not kept. */
std::variant<CallerRequest, Refusal> parseCallerRequest(const boost::beast::http::request<boost::beast::http::string_body> &request,
                                                        const RequestValidationContext &validation,
                                                        std::string requestId,
                                                        TimePoint now);

/** Nesting of a JSON text stays within the bound; strings are skipped. */
bool isNestingWithin(std::string_view json, std::uint32_t bound) noexcept;

/** Body of a refusal as application/problem+json. */
std::string problemBody(const Refusal &refusal, const std::string &requestId);

/** Header fields of a refusal. */
HeaderList problemHeaders(const Refusal &refusal, const std::string &requestId);

} // namespace snipehill
