#include "fakes/random.h"

#include <connection/httpserver.h>
#include <connection/src/httphead.h>

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace snipehill;
using snipehill::fakes::Random;

namespace
{

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

const std::string hiddenRequest = "POST /hidden HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\namount=99";

/** A request that the handler of the server got. */
struct Handled
{
    std::string target;
    std::string body;
    bool hasTrailer = false;
};

/** Server whose handler records each request and responds with 200. */
class RecordingServer
{
public:
    RecordingServer()
        : m_server(m_context.get_executor(), limits(), [this](HttpExchange &exchange) -> asio::awaitable<void> {
            {
                const std::lock_guard lock(m_lock);
                m_handled.push_back({std::string(exchange.request().target()), exchange.request().body(), exchange.request().count("X-Trailer") > 0});
            }
            HeaderList headers;
            co_await exchange.respond(200, std::move(headers), "");
        })
    {
        Reason reason;
        REQUIRE(m_server.start({"127.0.0.1", 0}, reason));
        m_thread = std::thread([this] {
            m_context.run();
        });
    }
    ~RecordingServer()
    {
        m_context.stop();
        m_thread.join();
    }
    RecordingServer(const RecordingServer &) = delete;
    RecordingServer &operator=(const RecordingServer &) = delete;

    /** Sends the bytes on a new connection, reads until the server closes it, and returns what was handled since the last call. */
    std::vector<Handled> handledFrom(const std::string &bytes, std::string &response)
    {
        asio::io_context context;
        Tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), m_server.port()});
        boost::system::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        socket.shutdown(Tcp::socket::shutdown_send, error);
        response.clear();
        asio::read(socket, asio::dynamic_buffer(response), error);
        const std::lock_guard lock(m_lock);
        return std::exchange(m_handled, {});
    }

private:
    static HttpServerLimits limits()
    {
        HttpServerLimits limits;
        limits.idleTimeout = milliseconds(500);
        limits.requestTimeout = milliseconds(500);
        return limits;
    }

    asio::io_context m_context;
    std::mutex m_lock;
    std::vector<Handled> m_handled;
    HttpServer m_server;
    std::thread m_thread;
};

/** A header field and what a strict reader of RFC 9112 makes of it. */
struct FieldForm
{
    const char *line; //!< with its line end
    enum class Effect {
        None,
        Length, //!< the body has the length of the hidden request
        Chunked,
        Invalid,
    } effect;
};

using Effect = FieldForm::Effect;

/** Length of the hidden request, in the forms of the generated fields. */
constexpr std::size_t hiddenBytes = 62;

constexpr std::size_t soundForms = 11; // at the start of the table

const std::vector<FieldForm> &fieldForms()
{
    static const std::vector<FieldForm> forms{
        {"Content-Length: 62\r\n", Effect::Length},
        {"content-length:62 \t\r\n", Effect::Length},
        {"Transfer-Encoding: chunked\r\n", Effect::Chunked},
        {"transfer-encoding:\tChunked \r\n", Effect::Chunked},
        {"X-Other: 1\r\n", Effect::None},
        {"Accept: a, b\r\n", Effect::None},
        {"Connection: Transfer-Encoding\r\n", Effect::None},
        {"Connection: Content-Length, Host\r\n", Effect::None},
        {"Upgrade: h2c\r\n", Effect::None},
        {"TE: trailers\r\n", Effect::None},
        {"X-Empty:\r\n", Effect::None},
        {"Content-Length: +62\r\n", Effect::Invalid},
        {"Content-Length: 62, 62\r\n", Effect::Invalid},
        {"Content-Length: 0x3e\r\n", Effect::Invalid},
        {"Content-Length: 62 0\r\n", Effect::Invalid},
        {"Content-Length:\r\n", Effect::Invalid},
        {"Content-Length: 99999999999999999999999\r\n", Effect::Invalid},
        {"Transfer-Encoding: gzip\r\n", Effect::Invalid},
        {"Transfer-Encoding: xchunked\r\n", Effect::Invalid},
        {"Transfer-Encoding: chunkedx\r\n", Effect::Invalid},
        {"Transfer-Encoding: chunked, identity\r\n", Effect::Invalid},
        {"Transfer-Encoding: identity\r\n", Effect::Invalid},
        {"Transfer-Encoding: identity, chunked\r\n", Effect::Invalid},
        {"Transfer-Encoding: gzip, chunked\r\n", Effect::Invalid},
        {"Transfer-Encoding: chunked, chunked\r\n", Effect::Invalid},
        {"Transfer-Encoding: ,chunked\r\n", Effect::Invalid},
        {"Transfer-Encoding: chunked;q=1\r\n", Effect::Invalid},
        {"Transfer-Encoding: \"chunked\"\r\n", Effect::Invalid},
        {"Transfer-Encoding: chun\x0bked\r\n", Effect::Invalid},
        {"Transfer-Encoding:\r\n", Effect::Invalid},
        {"Transfer-Encoding : chunked\r\n", Effect::Invalid},
        {"Transfer-Encoding\r\n", Effect::Invalid},
        {" Transfer-Encoding: chunked\r\n", Effect::Invalid},
        {"X: 1\r\n Transfer-Encoding: chunked\r\n", Effect::Invalid},
        {"X: 1\nTransfer-Encoding: chunked\r\n", Effect::Invalid},
        {"X: 1\rTransfer-Encoding: chunked\r\n", Effect::Invalid},
        {"Host: b\r\n", Effect::Invalid}, // a second one
        {": 1\r\n", Effect::Invalid},
    };
    return forms;
}

/** A generated request, and the body with which it may run; empty if it must not run. */
struct Generated
{
    std::string bytes;
    std::optional<std::string> body;
};

Generated generate(Random &random)
{
    const bool oldVersion = random.between(0, 5) == 0;
    std::string head = oldVersion ? "POST /outer HTTP/1.0\r\nHost: a\r\n" : "POST /outer HTTP/1.1\r\nHost: a\r\n";
    int framing = 0;
    bool valid = true;
    Effect end = Effect::None;
    for (std::uint64_t fields = random.between(0, 3); fields > 0; --fields) {
        // Every second field is a sound one, so that many heads are valid as a whole.
        const FieldForm &form = fieldForms()[random.between(0, (random.between(0, 1) == 0 ? soundForms : fieldForms().size()) - 1)];
        head += form.line;
        valid = valid && form.effect != Effect::Invalid && (form.effect != Effect::Chunked || !oldVersion);
        if (form.effect == Effect::Length || form.effect == Effect::Chunked) {
            ++framing;
            end = form.effect;
        }
    }
    valid = valid && framing <= 1;
    Generated generated;
    generated.bytes = head;
    generated.bytes += "\r\n";
    if (end == Effect::Chunked) {
        generated.bytes += "3e\r\n" + hiddenRequest + "\r\n0\r\n";
        generated.bytes += random.between(0, 1) == 0 ? "X-Trailer: 1\r\n\r\n" : "\r\n";
    } else if (end == Effect::Length || !valid) {
        generated.bytes += hiddenRequest;
    }
    if (valid) {
        generated.body = end == Effect::None ? "" : hiddenRequest;
    }
    return generated;
}

} // namespace

// Guards against requests hidden in the body of another one, which run because two readers see different ends of the body.
TEST_CASE("Only what a strict reader makes of a request reaches the handler", "[http][smuggling]")
{
    constexpr int requests = 1500;
    constexpr std::uint64_t seed = 43;
    REQUIRE(hiddenRequest.size() == hiddenBytes);
    Random random{seed};
    RecordingServer server;
    int ran = 0;
    for (int i = 0; i < requests; ++i) {
        const Generated generated = generate(random);
        std::string response;
        const std::vector<Handled> handled = server.handledFrom(generated.bytes, response);
        INFO("seed " << seed << ", request " << i << ":\n" << generated.bytes << "\nresponse:\n" << response);
        REQUIRE(handled.size() == (generated.body ? 1 : 0));
        if (generated.body) {
            ++ran;
            REQUIRE(handled[0].target == "/outer");
            REQUIRE(handled[0].body == *generated.body);
            REQUIRE(!handled[0].hasTrailer);
            REQUIRE(response.starts_with("HTTP/1."));
        } else {
            REQUIRE((response.starts_with("HTTP/1.1 400") || response.starts_with("HTTP/1.1 501")));
            REQUIRE(response.find("Connection: close") != std::string::npos);
        }
    }
    CHECK(ran > requests / 5);
    CHECK(ran < requests * 4 / 5);
}

// Guards against heads that the parser reads in its own way, and says which response each of them gets.
TEST_CASE("Heads of requests are accepted in one form only", "[http][smuggling]")
{
    struct Case
    {
        const char *what;
        std::string head;
        HeadVerdict verdict;
    };
    const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";
    const std::vector<Case> cases{
        {"no fields", "GET / HTTP/1.1\r\n\r\n", HeadVerdict::Accepted},
        {"length", post + "Content-Length: 3\r\n\r\n", HeadVerdict::Accepted},
        {"chunked", post + "Transfer-Encoding: chunked\r\n\r\n", HeadVerdict::Accepted},
        {"absolute target", "GET http://a/b?c=%20 HTTP/1.1\r\nHost: a\r\n\r\n", HeadVerdict::Accepted},
        {"HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", HeadVerdict::Accepted},
        {"method of an extension", "PURGE / HTTP/1.1\r\nHost: a\r\n\r\n", HeadVerdict::Accepted},
        {"text beyond ASCII in a value", post + "X: \xc3\xa9\r\n\r\n", HeadVerdict::Accepted},
        {"coding that is not chunked", post + "Transfer-Encoding: gzip\r\n\r\n", HeadVerdict::UnknownCoding},
        {"coding beside chunked", post + "Transfer-Encoding: gzip, chunked\r\n\r\n", HeadVerdict::UnknownCoding},
        {"chunked in HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", HeadVerdict::Malformed},
        {"two codings", post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", HeadVerdict::Malformed},
        {"length and coding", post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", HeadVerdict::Malformed},
        {"equal lengths", post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", HeadVerdict::Malformed},
        {"tunnel", "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", HeadVerdict::UnknownMethod},
        {"no version", "GET /\r\n\r\n", HeadVerdict::Malformed},
        {"version in lower case", "GET / http/1.1\r\n\r\n", HeadVerdict::Malformed},
        {"two spaces", "GET  / HTTP/1.1\r\n\r\n", HeadVerdict::Malformed},
        {"tab for a space", "GET\t/ HTTP/1.1\r\n\r\n", HeadVerdict::Malformed},
        {"space in the target", "GET /a b HTTP/1.1\r\n\r\n", HeadVerdict::Malformed},
        {"space after the version", "GET / HTTP/1.1 \r\n\r\n", HeadVerdict::Malformed},
        {"separator in the method", "GE(T / HTTP/1.1\r\n\r\n", HeadVerdict::Malformed},
        {"empty line first", "\r\n\r\n", HeadVerdict::Malformed},
        {"NUL in a value", post + std::string("X: a\0b\r\n\r\n", 10), HeadVerdict::Malformed},
        {"no empty line", post, HeadVerdict::Malformed},
        {"bytes behind the empty line", post + "\r\nrest", HeadVerdict::Malformed},
        {"nothing", "", HeadVerdict::Malformed},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        CHECK(checkRequestHead(c.head) == c.verdict);
        CHECK(std::string(toString(c.verdict)).empty() == (c.verdict == HeadVerdict::Accepted));
    }
}

// Guards against a response that is passed on still coded, or with part of another response, because its end was misread.
TEST_CASE("Responses whose end is not known for sure are not taken", "[connection][smuggling]")
{
    struct Case
    {
        const char *what;
        std::vector<std::pair<std::string, std::string>> fields;
        unsigned version;
        bool known;
    };
    const std::string coding = "Transfer-Encoding";
    const std::string length = "Content-Length";
    const std::vector<Case> cases{
        {"ends with the connection", {}, 11, true},
        {"length", {{length, "3"}}, 11, true},
        {"chunked", {{coding, "chunked"}}, 11, true},
        {"chunked in capitals", {{coding, " CHUNKED\t"}}, 11, true},
        {"two lengths", {{length, "3"}, {length, "4"}}, 11, false},
        {"length and coding", {{length, "3"}, {coding, "chunked"}}, 11, false},
        {"other coding", {{coding, "gzip"}}, 11, false},
        {"other coding first", {{coding, "gzip, chunked"}}, 11, false},
        {"other coding last", {{coding, "chunked, gzip"}}, 11, false},
        {"identity", {{coding, "identity"}}, 11, false},
        {"repeated coding", {{coding, "chunked"}, {coding, "chunked"}}, 11, false},
        {"chunked in HTTP/1.0", {{coding, "chunked"}}, 10, false},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        boost::beast::http::fields fields;
        for (const auto &[name, value] : c.fields) {
            fields.insert(name, value);
        }
        CHECK(hasKnownFraming(fields, c.version) == c.known);
    }
}
