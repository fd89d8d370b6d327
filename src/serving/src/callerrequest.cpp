#include "callerrequest.h"

#include <boost/beast/core/string.hpp>
#include <json/value.h>
#include <json/writer.h>

#include <algorithm>
#include <array>

namespace snipehill
{

namespace http = boost::beast::http;

namespace
{

using Request = http::request<http::string_body>;

constexpr std::size_t maxIdempotencyKeyBytes = 255;
constexpr std::string_view bearer = "Bearer ";

// Credentials are not passed to targets; the other fields apply to one connection only or are set again for the target.
constexpr std::array<std::string_view, 16> excludedFields{
    "authorization",
    "proxy-authorization",
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect",
    "x-request-id",
    "x-workspace",
    "traceparent",
    "idempotency-key",
};

Refusal rejected(unsigned status, Step step, std::string detail)
{
    return {Outcome::Rejected, status, {step, {}, std::move(detail)}, std::nullopt};
}

bool isForwarded(std::string_view name)
{
    return std::none_of(excludedFields.begin(), excludedFields.end(), [name](std::string_view field) {
        return boost::beast::iequals({name.data(), name.size()}, {field.data(), field.size()});
    });
}

HeaderList forwardedHeaders(const Request &request)
{
    HeaderList headers;
    for (const auto &field : request) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (isForwarded(name)) {
            headers.emplace_back(std::string(name), std::string(field.value()));
        }
    }
    return headers;
}

/** Returns the workspace of the request's API key, or a refusal if the key is missing, unknown or can't be checked now. */
std::variant<Workspace, Refusal> authenticate(const Request &request, const Route &route, const RequestValidationContext &validation)
{
    if (route.open) {
        return Workspace();
    }
    if (!mayServeKeyed(validation.freshness)) {
        return Refusal{Outcome::NotRun, 503, {Step::Authenticate, {}, "keys can't be checked: no contact with the log"}, seconds(1)};
    }
    const auto field = request.find(http::field::authorization);
    const std::string_view value = field == request.end() ? std::string_view() : std::string_view(field->value().data(), field->value().size());
    if (!value.starts_with(bearer)) {
        return rejected(401, Step::Authenticate, "the route needs \"Authorization: Bearer KEY\"");
    }
    const Workspace *workspace = findWorkspaceBySecret(*validation.config, value.substr(bearer.size()));
    if (!workspace) {
        return rejected(401, Step::Authenticate, "the key is unknown or withdrawn");
    }
    return *workspace;
}

std::optional<Refusal> readIdempotencyKey(const Request &request, const std::string &requestId, CallerRequest &result)
{
    const auto count = request.count("Idempotency-Key");
    const std::string key = count == 0 ? std::string() : std::string(request.at("Idempotency-Key"));
    if (count > 1 || key.size() > maxIdempotencyKeyBytes) {
        return rejected(400, Step::Parse, "Idempotency-Key: one value of at most 255 bytes is allowed");
    }
    if (key.empty() && result.route.requireIdempotencyKey) {
        return rejected(400, Step::Parse, "the route needs an Idempotency-Key");
    }
    // A request without a key is identified by its id, so that two such requests never share a key. The prefix
    // "key:" keeps a caller's key from matching a request id.
    result.idempotencyKey = key.empty() ? requestId : "key:" + key;
    return std::nullopt;
}

TargetKind kindOf(const ConfigVersion &config, const Route &route)
{
    const auto group = config.targetGroups.find(route.targetGroup);
    return group == config.targetGroups.end() ? TargetKind::Service : group->second.value.kind;
}

} // namespace

bool isNestingWithin(std::string_view json, std::uint32_t maxDepth) noexcept
{
    std::uint32_t depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < json.size(); ++i) {
        const char c = json[i];
        if (inString) {
            i += c == '\\' ? 1 : 0;
            inString = c != '"';
        } else if (c == '"') {
            inString = true;
        } else if (c == '{' || c == '[') {
            if (++depth > maxDepth) {
                return false;
            }
        } else if ((c == '}' || c == ']') && depth > 0) {
            --depth;
        }
    }
    return true;
}

std::variant<CallerRequest, Refusal>
parseCallerRequest(const Request &request, const RequestValidationContext &validation, std::string requestId, TimePoint now)
{
    const std::string_view path(request.target().data(), request.target().size());
    const Route *route = findRoute(*validation.config, path);
    if (!route) {
        return rejected(404, Step::Parse, "no route for this path");
    }
    auto workspace = authenticate(request, *route, validation);
    if (auto *refusal = std::get_if<Refusal>(&workspace)) {
        return std::move(*refusal);
    }
    CallerRequest result;
    result.route = *route;
    result.workspace = std::move(std::get<Workspace>(workspace));
    if (auto refusal = readIdempotencyKey(request, requestId, result)) {
        return std::move(*refusal);
    }
    result.kind = kindOf(*validation.config, *route);
    const bool chat = result.kind == TargetKind::Engine;
    if (chat && !isNestingWithin(request.body(), validation.jsonDepth)) {
        return rejected(400, Step::Parse, "the body is nested too deeply");
    }
    result.cost = estimateChat(request.body());
    if (chat && !result.cost.parsed) {
        return rejected(400, Step::Parse, "the body is no chat-completions request");
    }
    if (!chat) {
        result.cost.prefixHashes.clear();
    }
    result.id = std::move(requestId);
    result.traceparent = std::string(request["traceparent"]);
    result.config = validation.config;
    result.method = std::string(request.method_string());
    result.path = std::string(path);
    result.headers = forwardedHeaders(request);
    result.body = request.body();
    result.received = now;
    result.deadline = now + route->deadline;
    result.fingerprint = fingerprintOf(result.body, fingerprintOf(result.path));
    return result;
}

std::string problemBody(const Refusal &refusal, const std::string &requestId)
{
    Json::Value problem;
    problem["title"] = std::string(http::obsolete_reason(http::int_to_status(refusal.status)));
    problem["status"] = refusal.status;
    problem["outcome"] = toString(refusal.outcome);
    problem["step"] = toString(refusal.reason.step);
    problem["peer"] = refusal.reason.peer;
    problem["detail"] = refusal.reason.detail;
    problem["requestId"] = requestId;
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, problem);
}

HeaderList problemHeaders(const Refusal &refusal, const std::string &requestId)
{
    HeaderList headers{{"Content-Type", "application/problem+json"}, {"X-Request-Id", requestId}};
    if (refusal.retryAfter) {
        headers.emplace_back("Retry-After", std::to_string(refusal.retryAfter->count()));
    }
    if (refusal.status == 401) {
        headers.emplace_back("WWW-Authenticate", "Bearer");
    }
    return headers;
}

} // namespace snipehill
