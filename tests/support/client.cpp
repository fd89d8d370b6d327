#include "client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <cctype>

namespace snipehill::support
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr std::uint64_t bodyLimit = 256U << 20U; // bytes

using Parser = http::response_parser<http::string_body>;

http::request<http::string_body> toRequest(const Call &call, const Endpoint &server)
{
    http::request<http::string_body> request;
    request.method_string(call.method);
    request.target(call.target);
    request.version(11);
    request.set(http::field::host, toString(server));
    for (const auto &[name, value] : call.headers) {
        request.set(name, value);
    }
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

std::string lower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char letter) {
        return std::tolower(letter);
    });
    return result;
}

void readHead(const Parser &parser, Response &response)
{
    response.status = parser.get().result_int();
    for (const auto &field : parser.get()) {
        response.headers[lower(field.name_string())] = std::string(field.value());
    }
}

} // namespace

struct Client::State
{
    explicit State(Endpoint peer) : server(std::move(peer)), stream(context) { }

    /** Starts an asynchronous operation and runs it to completion; the timer of the stream limits its time. */
    template<typename Start> boost::system::error_code run(Start start)
    {
        boost::system::error_code result = asio::error::would_block;
        start([&result](const boost::system::error_code &error, auto &&...) {
            result = error;
        });
        context.restart();
        context.run();
        return result;
    }

    boost::system::error_code connect(TimePoint end)
    {
        ++connections;
        buffer.clear();
        stream.expires_at(end);
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(server.address), server.port);
        const auto error = run([&](auto handler) {
            stream.async_connect(endpoint, handler);
        });
        connected = !error;
        return error;
    }

    boost::system::error_code readResponse(const Call &call, Parser &parser, Response &response)
    {
        boost::system::error_code error;
        while (!error && !parser.is_done()) {
            error = run([&](auto handler) {
                http::async_read_some(stream, buffer, parser, handler);
            });
            if (parser.is_header_done() && response.status == 0) {
                readHead(parser, response);
            }
            const std::string &body = parser.get().body();
            if (body.size() > response.body.size()) {
                const std::size_t before = response.body.size();
                response.body = body;
                if (call.onData) {
                    call.onData(std::string_view(response.body).substr(before));
                }
            }
        }
        return error;
    }

    Endpoint server;
    asio::io_context context;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    bool connected = false;
    int connections = 0;
};

Client::Client(Endpoint server) : m_state(std::make_unique<State>(std::move(server))) { }

Client::~Client() = default;
Client::Client(Client &&) noexcept = default;

Response Client::call(const Call &call)
{
    Response response;
    response.sent = Clock::now();
    const TimePoint end = response.sent + call.timeout;
    boost::system::error_code error;
    if (!m_state->connected) {
        error = m_state->connect(end);
    }
    response.connected = !error;
    Parser parser;
    parser.body_limit(bodyLimit);
    if (!error) {
        m_state->stream.expires_at(end);
        const auto request = toRequest(call, m_state->server);
        error = m_state->run([&](auto handler) {
            http::async_write(m_state->stream, request, handler);
        });
    }
    if (!error) {
        error = m_state->readResponse(call, parser, response);
    }
    response.ended = Clock::now();
    response.complete = !error && parser.is_done();
    response.error = error ? error.message() : std::string();
    if (!response.complete || !parser.get().keep_alive()) {
        close();
    }
    return response;
}

void Client::close()
{
    m_state->stream.close();
    m_state->connected = false;
}

int Client::connections() const noexcept
{
    return m_state->connections;
}

Response callOnce(const Endpoint &server, const Call &call)
{
    return Client(server).call(call);
}

Call postJson(std::string target, const Json::Value &body)
{
    Call call;
    call.method = "POST";
    call.target = std::move(target);
    call.headers["Content-Type"] = "application/json";
    call.body = writeJson(body);
    return call;
}

std::optional<Json::Value> parseJson(const std::string &text)
{
    Json::Value value;
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
        return std::nullopt;
    }
    return value;
}

std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

std::vector<std::string> sseEvents(const std::string &body)
{
    const std::string prefix = "data: ";
    std::vector<std::string> events;
    std::size_t start = 0;
    for (std::size_t end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", start)) {
        const std::string event = body.substr(start, end - start);
        if (event.starts_with(prefix)) {
            events.push_back(event.substr(prefix.size()));
        }
        start = end + 2;
    }
    return events;
}

namespace
{

void appendChunk(const Json::Value &chunk, const char *member, Completion &completion)
{
    const Json::Value &choice = chunk["choices"][0];
    completion.text += choice[member]["content"].asString();
    completion.ended = completion.ended || choice["finish_reason"].isString();
    if (chunk["usage"].isObject()) {
        completion.promptTokens = chunk["usage"]["prompt_tokens"].asUInt64();
        completion.outputTokens = chunk["usage"]["completion_tokens"].asUInt64();
    }
}

} // namespace

Completion completionOf(const Response &response)
{
    Completion completion;
    const auto found = response.headers.find("content-type");
    if (found == response.headers.end() || !found->second.starts_with("text/event-stream")) {
        if (const auto value = parseJson(response.body); value && value->isObject()) {
            appendChunk(*value, "message", completion);
        }
        return completion;
    }
    const std::vector<std::string> events = sseEvents(response.body);
    for (const std::string &event : events) {
        if (const auto chunk = parseJson(event); chunk && chunk->isObject()) {
            appendChunk(*chunk, "delta", completion);
        }
    }
    completion.ended = completion.ended && !events.empty() && events.back() == "[DONE]";
    return completion;
}

} // namespace snipehill::support
