#include "connection/responsereader.h"
#include "support/rawserver.h"
#include "support/wait.h"

#include <connection/src/httphead.h>

#include <catch2/catch.hpp>
#include <platform/storeclient.h>

#include <string>
#include <vector>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

namespace http = boost::beast::http;

/** Lets the reader receive these bytes, in parts with a pause between them, after which the server waits for the reader to close the connection. */
Received receiveBytes(const ResponseReader &reader, const std::vector<std::string> &parts)
{
    RawServer server(1, [&parts](RawServer::Socket &socket) {
        readRequestHead(socket);
        for (const std::string &part : parts) {
            sendBytes(socket, part);
            sleepFor(milliseconds(parts.size() > 1 ? 5 : 0));
        }
        readRequestHead(socket); // returns at the end of the connection
    });
    return runToEnd(reader.receive(server.endpoint(), "a"));
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
                for (const ResponseReader &reader : responseReaders) {
                    if (c.taken && framing == untilEnd) {
                        continue;
                    }
                    const std::string bytes = std::string(prelude).append("HTTP/1.1 ").append(c.status).append(" Text\r\n").append(framing);
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
        for (const ResponseReader &reader : responseReaders) {
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

// Guards against lines that only some recipients can read being passed on, or hiding where the body ends.
TEST_CASE("A response with a malformed line in its head is given up at once", "[connection][broken-response]")
{
    const std::vector<std::string> names{"X Odd",
                                         "X\tOdd",
                                         "Odd ",
                                         "Odd\t",
                                         " Odd",
                                         "X\x01Odd",
                                         "X\x1fOdd",
                                         "X\x7fOdd",
                                         "X\x80Odd",
                                         "X\xffOdd",
                                         "X\rOdd",
                                         "X\nOdd",
                                         "X(Odd",
                                         "X\"Odd",
                                         "X/Odd",
                                         "X@Odd",
                                         "",
                                         "Content-Length ",
                                         "Content Length",
                                         "Content-Length\x0b",
                                         "Transfer-Encoding\t",
                                         "Server Seal"};
    std::vector<std::string> lines{"no colon", "X-Odd: a\rb", "X-Odd: a\nb", "X-Odd: \x01", "X-Odd: a\x7f"};
    lines.push_back(std::string("X\0Odd: 1", 8));
    lines.push_back(std::string("X-Odd: a\0b", 10));
    for (const std::string &name : names) {
        lines.push_back(name + ": 4");
    }
    const std::string length = "Content-Length: 4\r\n";
    for (const std::string &line : lines) {
        const std::string odd = line + "\r\n";
        for (const std::string &fields : {odd + length, length + odd}) {
            for (const ResponseReader &reader : responseReaders) {
                const Received received = receiveBytes(reader, {std::string("HTTP/1.1 200 OK\r\n").append(fields).append("\r\nbody")});
                INFO(fields << reader.name << ": " << received.reason.detail);
                CHECK(!received.whole);
                CHECK(received.body.empty());
                CHECK(received.took < timeLimit);
            }
        }
    }
}

// Guards against what is no response of HTTP/1.0 or HTTP/1.1 being taken for one.
TEST_CASE("A response with a malformed status line is given up at once", "[connection][broken-response]")
{
    const std::vector<std::string> lines{"HTTP/1.2 200 OK",
                                         "HTTP/0.9 200 OK",
                                         "HTTP/2 200 OK",
                                         "http/1.1 200 OK",
                                         "HTTP/1.1  200 OK",
                                         "HTTP/1.1 20 OK",
                                         "HTTP/1.1 2000 OK",
                                         "HTTP/1.1 2x0 OK",
                                         "HTTP/1.1 -20 OK",
                                         "HTTP/1.1 200\tOK",
                                         "HTTP/1.1 200 a\x01",
                                         " HTTP/1.1 200 OK",
                                         "ICY 200 OK"};
    for (const std::string &line : lines) {
        for (const ResponseReader &reader : responseReaders) {
            const Received received = receiveBytes(reader, {line + "\r\nContent-Length: 4\r\n\r\nbody"});
            INFO(line << " " << reader.name << ": " << received.reason.detail);
            CHECK(!received.whole);
            CHECK(received.took < timeLimit);
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
    const std::vector<platform::StoreRecord> records{{noOffset, "", "value"}};
    const auto appended = runToEnd(store.append("own", records, timeLimit, reason));
    CHECK(!appended);
    CHECK(reason.step == Step::LogAppend);
    CHECK(!runToEnd(store.readNewest("keyed.own", timeLimit, reason)));
    CHECK(reason.step == Step::LogRead);
    CHECK(store.era() == 0);
}
