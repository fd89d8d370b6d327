#include "support/rawserver.h"
#include "support/wait.h"

#include <connection/httpclient.h>
#include <connection/src/httphead.h>

#include <catch2/catch.hpp>
#include <platform/storeclient.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_future.hpp>

#include <string>
#include <vector>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr milliseconds timeLimit{5000};

/** What a client made of an answer. */
struct Received
{
    bool whole = false; //!< it took the answer for a whole response
    unsigned status = 0;
    std::string body;
    Duration took{};
    Reason reason;
};

/** Sends a request over a persistent connection and reads the response. */
asio::awaitable<void> exchange(HttpConnection &connection, const HttpRequest &request, Received &received)
{
    bool more = co_await connection.send(request, timeLimit, received.reason) && co_await connection.readHead(timeLimit, received.reason);
    if (more) {
        received.status = connection.head().result_int();
    }
    while (more) {
        const auto piece = co_await connection.readSome(timeLimit, received.reason);
        received.whole = piece && piece->empty();
        received.body += piece.value_or("");
        more = piece && !piece->empty();
    }
    CHECK((received.whole || !connection.isReusable()));
}

asio::awaitable<Received> receiveOverConnection(Endpoint server, std::string body)
{
    Received received;
    HttpConnection connection(co_await asio::this_coro::executor);
    HttpRequest request(http::verb::post, "/", 11);
    request.body() = std::move(body);
    request.prepare_payload();
    const TimePoint began = Clock::now();
    if (co_await connection.connect(std::move(server), timeLimit, received.reason)) {
        co_await exchange(connection, request, received);
    }
    received.took = Clock::now() - began;
    connection.abort();
    co_return received;
}

asio::awaitable<Received> receiveInCall(Endpoint server, std::string body)
{
    Received received;
    HttpCall call{.peer = std::move(server), .method = http::verb::post, .body = std::move(body), .timeout = timeLimit};
    const TimePoint began = Clock::now();
    const auto response = co_await httpCall(std::move(call), received.reason);
    received.took = Clock::now() - began;
    received.whole = response.has_value();
    if (response) {
        received.status = response->result_int();
        received.body = response->body();
    }
    co_return received;
}

/** The two functions that read all responses of this system. */
struct Reader
{
    const char *name;
    asio::awaitable<Received> (*receive)(Endpoint server, std::string body);
};

constexpr Reader readers[]{{"on a persistent connection", receiveOverConnection}, {"in a single call", receiveInCall}};

template<typename Result> Result run(asio::awaitable<Result> work)
{
    asio::io_context context;
    auto result = asio::co_spawn(context, std::move(work), asio::use_future);
    context.run();
    return result.get();
}

/** Lets the reader receive these bytes, in parts with a pause between them, after which the server waits for the reader to close the connection. */
Received receiveBytes(const Reader &reader, const std::vector<std::string> &parts)
{
    RawServer server(1, [&parts](RawServer::Socket &socket) {
        readRequestHead(socket);
        for (const std::string &part : parts) {
            sendBytes(socket, part);
            sleepFor(milliseconds(parts.size() > 1 ? 5 : 0));
        }
        readRequestHead(socket); // returns at the end of the connection
    });
    return run(reader.receive(server.endpoint(), "a"));
}

} // namespace

// Guards against a status that HTTP doesn't have being passed on to a caller, and against waiting for what never follows such a response.
TEST_CASE("A response with a status that no final response has is given up at once", "[connection][broken-response]")
{
    struct Case
    {
        std::string status;
        bool taken;
    };
    const std::vector<Case> cases{{"000", false},
                                  {"001", false},
                                  {"020", false},
                                  {"099", false},
                                  {"101", false},
                                  {"600", false},
                                  {"799", false},
                                  {"999", false},
                                  {"200", true},
                                  {"299", true},
                                  {"404", true},
                                  {"503", true},
                                  {"599", true}};
    const std::string untilEnd = "\r\nbody"; // the server doesn't end the connection
    const std::vector<std::string> framings{"Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", untilEnd};
    const std::vector<std::string> preludes{"", "HTTP/1.1 100 Continue\r\n\r\n"};
    for (const Case &c : cases) {
        for (const std::string &framing : framings) {
            for (const std::string &prelude : preludes) {
                for (const Reader &reader : readers) {
                    if (c.taken && framing == untilEnd) {
                        continue;
                    }
                    const std::string bytes = prelude + "HTTP/1.1 " + c.status + " Text\r\n" + framing;
                    const Received received = receiveBytes(reader, {bytes});
                    INFO(bytes << "\n" << reader.name << ": status " << received.status << ", " << received.reason.detail);
                    CHECK(received.whole == c.taken);
                    CHECK(received.took < timeLimit);
                    CHECK((c.taken || received.reason.detail.find("bad status") != std::string::npos));
                }
            }
        }
    }
}

// Guards against an interim response that hides a broken final one, and the other way round.
TEST_CASE("Only heads with a status and framing of HTTP are accepted", "[connection][broken-response]")
{
    struct Case
    {
        unsigned status;
        std::vector<std::pair<std::string, std::string>> fields;
        boost::system::error_code error;
    };
    const std::vector<Case> cases{
        {100, {}, {}},
        {103, {{"Link", "a"}}, {}},
        {199, {}, {}},
        {200, {{"Content-Length", "3"}}, {}},
        {599, {}, {}},
        {0, {}, http::error::bad_status},
        {99, {}, http::error::bad_status},
        {101, {}, http::error::bad_status},
        {600, {}, http::error::bad_status},
        {200, {{"Transfer-Encoding", "gzip"}}, http::error::bad_transfer_encoding},
        {200, {{"Content-Length", "3"}, {"Content-Length", "3"}}, http::error::bad_content_length},
    };
    for (const Case &c : cases) {
        INFO(c.status);
        http::response_header<> head;
        head.version(11);
        head.result(c.status);
        for (const auto &[name, value] : c.fields) {
            head.insert(name, value);
        }
        CHECK(checkResponseHead(head) == c.error);
    }
}

// Guards against a line that begins with a blank being passed on as part of the field before it, with a body whose end is then misread.
TEST_CASE("A response with a folded line in its head is given up at once", "[connection][broken-response]")
{
    struct Case
    {
        const char *what;
        std::string fields;
        std::string body;
        bool taken;
    };
    const std::string length = "Content-Length: 4\r\n";
    const std::vector<Case> cases{
        {"blank", "X-A: 1\r\n X-B: 2\r\n" + length, "body", false},
        {"tab", "X-A: 1\r\n\tX-B: 2\r\n" + length, "body", false},
        {"empty continuation", "X-A: 1\r\n \r\n" + length, "body", false},
        {"after an empty value", "X-A:\r\n 1\r\n" + length, "body", false},
        {"hidden length", "X-A: 1\r\n " + length, "body", false},
        {"hidden coding", "X-A: 1\r\n Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", false},
        {"blanks around a value", "X-A: \t1 \t\r\n" + length, "body", true},
        {"blank line in the body", length, "\r\n b", true},
        {"no fields before the body", "Content-Length:6\r\n", "\r\n\r\n b", true},
    };
    for (const Case &c : cases) {
        for (const Reader &reader : readers) {
            const std::string bytes = "HTTP/1.1 200 OK\r\n" + c.fields + "\r\n" + c.body;
            for (std::size_t split : {std::size_t(0), bytes.find("\r\n", 20) + 1, bytes.find("\r\n", 20) + 2}) {
                const Received received = receiveBytes(reader, {bytes.substr(0, split), bytes.substr(split)});
                INFO(c.what << " " << reader.name << ", in parts at " << split << ": " << received.reason.detail);
                CHECK(received.whole == c.taken);
                CHECK(received.took < timeLimit);
                CHECK((!c.taken || received.body == c.body));
            }
        }
    }
}

// Guards against what is only an answer in part being believed: an era of the store that never was would end the use of all records.
TEST_CASE("A broken response of the store acknowledges nothing and moves no era", "[platform][broken-response]")
{
    RawServer server(2, [](RawServer::Socket &socket) {
        readRequestHead(socket);
        const std::string body = R"({"offset": 5, "end_offset": 5, "items": []})";
        sendBytes(socket, "HTTP/1.1 000 Unknown\r\nStore-Era: 7\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    platform::StoreClient store(server.endpoint());
    Reason reason;
    std::vector<platform::StoreRecord> records;
    records.push_back({noOffset, "", "value"});
    CHECK(!run(store.append("own", std::move(records), timeLimit, reason)));
    CHECK(reason.step == Step::LogAppend);
    CHECK(!run(store.readNewest("keyed.own", timeLimit, reason)));
    CHECK(reason.step == Step::LogRead);
    CHECK(store.era() == 0);
}
