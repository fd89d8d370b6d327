#include "blocking.h"
#include "command.h"

#include <connection/httpclient.h>
#include <version/jsonfields.h>

#include <cstdio>

namespace snipehill
{

namespace
{

constexpr const char *blocksUsage = "blocks needs IP:PORT of an entry's metrics, and optionally release CAUSE";
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;

std::string tableRow(const Json::Value &blocked)
{
    std::string causes;
    for (const Json::Value &cause : blocked["causes"]) {
        causes += (causes.empty() ? "" : ",") + cause.asString();
    }
    return causes + "  crashes " + blocked["crashes"].asString() + "  lost runs " + blocked["lostRuns"].asString() + "  "
        + (blocked["certain"].asBool() ? "until released" : "on probation") + "  last crash " + blocked["secondsSinceCrash"].asString() + " s ago\n";
}

} // namespace

int runBlocks(const CommandOptions &options)
{
    const std::vector<std::string> &arguments = options.arguments;
    const bool release = arguments.size() == 3 && arguments[1] == "release";
    Reason reason;
    const auto entry = arguments.empty() ? std::nullopt : parseEndpoint(arguments[0], reason);
    if (!entry || (arguments.size() != 1 && !release)) {
        return failCommand(ExitUsage, blocksUsage);
    }
    HttpCall call{.peer = *entry, .target = "/blocked"};
    if (release) {
        call.method = boost::beast::http::verb::post;
        call.target += "/" + arguments[2] + "/release";
    }
    const auto response = runBlocking(httpCall(std::move(call), reason));
    if (!response) {
        return failCommand(ExitUnreachable, toString(reason));
    }
    if (release && response->result_int() == statusNotFound) {
        return failCommand(ExitFindings, "no crash is held against " + arguments[2]);
    }
    const auto list = parseJson(response->body(), reason);
    if (response->result_int() != statusOk || !list || !list->isArray()) {
        return failCommand(ExitUnreachable, "unexpected response with status " + std::to_string(response->result_int()));
    }
    std::string text;
    for (const Json::Value &blocked : *list) {
        text += tableRow(blocked);
    }
    printReport(options, *list, text.empty() ? "nothing is blocked\n" : text);
    return ExitSuccess;
}

} // namespace snipehill
