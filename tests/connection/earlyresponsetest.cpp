#include "connection/responsereader.h"
#include "support/rawserver.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr std::size_t kilobyte = 1024;

const std::string partOfBody = "part of the body";

/** A success whose body has no length, or has no end. */
struct EarlyResponse
{
    const char *what;
    std::string bytes;
};

const std::vector<EarlyResponse> earlyResponses{
    {"without a length", "HTTP/1.1 200 OK\r\n\r\n" + partOfBody},
    {"event stream", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: " + partOfBody + "\n\n"},
    {"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n" + partOfBody},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + partOfBody + "\r\n"},
};

const std::vector<ResponseReader> uploads{{"on a new connection", receiveOverConnection},
                                          {"on a used connection", receiveOverUsedConnection},
                                          {"in a single call", receiveInCall}};

/** Answers the request without a body that comes first on a used connection. */
void answerFirstRequest(const ResponseReader &upload, RawServer::Socket &socket)
{
    if (upload.receive == receiveOverUsedConnection) {
        readRequestHead(socket);
        sendBytes(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
}

} // namespace

// Guards against the read after a failed write, which may find an orderly end: the kernel reports a reset only once.
TEST_CASE("A response to an upload that ends with a reset is not whole", "[connection][broken-response]")
{
    for (const EarlyResponse &early : earlyResponses) {
        for (const ResponseReader &upload : uploads) {
            // Smaller and larger than the buffers of the sockets at both ends.
            for (const std::size_t bodyBytes : {std::size_t(1), 60 * kilobyte, 300 * kilobyte, 1000 * kilobyte, 4000 * kilobyte, 16000 * kilobyte}) {
                for (const milliseconds pause : {milliseconds(0), milliseconds(2), milliseconds(30)}) {
                    RawServer server(1, [&](RawServer::Socket &socket) {
                        answerFirstRequest(upload, socket);
                        readRequestHead(socket);
                        sendBytes(socket, early.bytes);
                        sleepFor(pause);
                        resetConnection(socket);
                    });
                    const Received received = runToEnd(upload.receive(server.endpoint(), std::string(bodyBytes, 'a')));
                    INFO(early.what << " " << upload.name << ", upload of " << bodyBytes << " bytes, reset after " << pause.count()
                                    << " ms: " << received.reason.detail);
                    CHECK(!received.whole);
                    CHECK(received.took < timeLimit);
                }
            }
        }
    }
}

// Guards against the end of a connection being taken for the end of a body although the peer broke off within the request.
TEST_CASE("A response to an upload that ends with the connection is whole only if the upload arrived", "[connection][broken-response]")
{
    struct Case
    {
        const char *what;
        bool uploadRead; //!< the server reads the upload before it responds
        std::string head;
        bool whole;
    };
    const std::vector<Case> cases{
        {"cut upload", false, "HTTP/1.1 200 OK\r\n\r\n", false},
        {"cut upload, error", false, "HTTP/1.1 500 Internal Server Error\r\n\r\n", false},
        {"cut upload, HTTP/1.0", false, "HTTP/1.0 200 OK\r\n\r\n", false},
        {"whole upload", true, "HTTP/1.1 200 OK\r\n\r\n", true},
        {"whole upload, HTTP/1.0", true, "HTTP/1.0 200 OK\r\n\r\n", true},
    };
    constexpr int receiveBuffer = 8192;
    for (const Case &c : cases) {
        for (const ResponseReader &upload : uploads) {
            for (const std::size_t bodyBytes : {100 * kilobyte, 300 * kilobyte, 1000 * kilobyte}) {
                for (const milliseconds pause : {milliseconds(0), milliseconds(2), milliseconds(30)}) {
                    const auto serve = [&](RawServer::Socket &socket) {
                        answerFirstRequest(upload, socket);
                        const std::string head = readRequestHead(socket);
                        if (c.uploadRead) {
                            readBytes(socket, head.find("\r\n\r\n") + 4 + bodyBytes - head.size());
                        }
                        sendBytes(socket, c.head + partOfBody);
                        endSending(socket);
                        sleepFor(pause);
                        resetConnection(socket);
                    };
                    RawServer server(1, serve, receiveBuffer);
                    const Received received = runToEnd(upload.receive(server.endpoint(), std::string(bodyBytes, 'a')));
                    INFO(c.what << " " << upload.name << ", upload of " << bodyBytes << " bytes, reset after " << pause.count()
                                << " ms: " << received.reason.detail);
                    CHECK(received.whole == c.whole);
                    CHECK(received.took < timeLimit);
                }
            }
        }
    }
}
