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

/** A caller's request. */
struct Call
{
    std::string method = "GET";
    std::string target = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    milliseconds timeout{20000}; //!< for the whole answer
    /** Called with each piece of the body as it arrives; may be empty. */
    std::function<void(std::string_view)> onData;
};

/** What a caller saw. */
struct Response
{
    bool complete = false; //!< headers and the whole body arrived
    unsigned status = 0; //!< 0: no headers arrived
    std::map<std::string, std::string> headers; //!< by lower-case name
    std::string body; //!< what arrived of it
    std::string error; //!< why it is not whole
    TimePoint sent;
    TimePoint ended;
};

/**
 * Blocking HTTP client with one connection, which is kept between calls while the server keeps it.
 * Used by one thread at a time.
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
    /** Drops the connection; the next call opens another. */
    void close();
    /** Connections opened so far. */
    int connections() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/** One call on a connection of its own. */
Response callOnce(const Endpoint &server, const Call &call);

/** "POST" of a JSON value. */
Call postJson(std::string target, const Json::Value &body);

std::optional<Json::Value> parseJson(const std::string &text);
std::string writeJson(const Json::Value &value);

/** Data of each whole event of a text/event-stream. */
std::vector<std::string> sseEvents(const std::string &body);

/** Output text of a chat completion, streamed or not, and whether it came with its end. */
struct Completion
{
    std::string text;
    bool ended = false; //!< finish_reason, and for a stream [DONE] as its last event
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; //!< from the usage
};
Completion completionOf(const Response &response);

} // namespace snipehill::support
