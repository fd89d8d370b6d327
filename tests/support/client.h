#pragma once

#include <connection/endpoint.h>
#include <core/time.h>

#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipehill::support
{

/** HTTP request of a caller. */
struct Call
{
    std::string method = "GET";
    std::string target = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    milliseconds timeout{20000}; //!< for the complete response
    /** Called with each chunk of the body as it arrives; may be empty. */
    std::function<void(std::string_view)> onData;
};

/** Response as received by the caller. */
struct Response
{
    bool connected = false; //!< the connection was open, at least for the client, when the request was sent
    bool complete = false; //!< headers and the complete body arrived
    unsigned status = 0; //!< 0: no headers arrived
    std::map<std::string, std::string> headers; //!< by lower-case name
    std::string body; //!< as much as arrived
    std::string error; //!< why it is incomplete
    TimePoint sent;
    TimePoint ended;
};

/**
 * Blocking HTTP client with one persistent connection, reopened when the server closes it. Not thread-safe.
 */
class Client
{
public:
    explicit Client(Endpoint server);
    ~Client();
    Client(Client &&) noexcept;
    Client &operator=(Client &&) = delete;
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    Response call(const Call &call);
    /** Closes the connection; the next call opens a new one. */
    void close();
    /** Connections opened so far. */
    int connections() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/** Sends one call on a new connection. */
Response callOnce(const Endpoint &server, const Call &call);

/** POST request with a JSON body. */
Call postJson(std::string target, const Json::Value &body);

std::optional<Json::Value> parseJson(const std::string &text);
std::string writeJson(const Json::Value &value);

/** Data of each complete event of a text/event-stream body. */
std::vector<std::string> sseEvents(const std::string &body);

/** Content of a chat completion response, streamed or not. */
struct Completion
{
    std::string text;
    bool ended = false; //!< has a finish_reason and, if streamed, [DONE] as the last event
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; //!< as stated in the usage field
};
Completion completionOf(const Response &response);

} // namespace snipehill::support
