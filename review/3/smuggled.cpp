#include "../harness.h"

#include <algorithm>
#include <array>
#include <memory>
#include <mutex>

// The body of a request holds the text of another request. The client names a transfer coding that is not chunked.

using namespace review;

namespace
{

constexpr std::array<const char *, 3> codings{"gzip", "xchunked", "chunked, identity"};

/** A request that a server ran. */
struct Run
{
    std::string id;
    std::string path;
    std::string body;
};

struct Runs
{
    std::mutex lock;
    std::vector<Run> all;
};

std::string successFor(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone";
}

std::string describeRun(const std::string &id, const std::string &path, std::size_t bodyBytes)
{
    return "server: ran " + id + " (" + path + ") with " + std::to_string(bodyBytes) + " bytes of body";
}

std::string describeAnswer(const std::string &id, const std::string &framing, std::size_t bodyBytes, int status)
{
    return "client: sent " + id + " with \"" + framing + "\", body of " + std::to_string(bodyBytes) + " bytes; got status " + std::to_string(status);
}

void serve(Connection &connection, Runs &runs, Record &record)
{
    while (const auto request = readRequest(connection)) {
        const std::string id = headerOf(request->head, "Attempt-Id");
        const std::string path = request->head.substr(0, request->head.find(" HTTP"));
        record.line(describeRun(id, path, request->body.size()));
        {
            const std::lock_guard lock(runs.lock);
            runs.all.push_back({id, path, request->body});
        }
        connection.send(successFor(id));
    }
}

std::string posting(const std::string &path, const std::string &id, const std::string &framing, const std::string &body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 3000\r\nX-Api-Key: key-1\r\n" + framing + "\r\n\r\n" + body;
}

} // namespace

int main(int, char **argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    const bool trouble = hasTrouble();
    Runs runs;
    Store store;
    Listener server([&](Connection &connection) {
        serve(connection, runs, record);
    });
    store.put("keyed.op", "config", configuration());
    store.put("keyed.servers", "i-app", serverEntry("app", server.address()));
    TemporaryFolder folder;
    Entry entry({"entry-1", ownAddress(1), store.address()}, folder.path());
    entry.start();
    if (!entry.waitUntilReady(milliseconds(15000))) {
        record.line("the entry did not become ready");
        return 2;
    }
    std::map<std::string, std::string> sent; // body by id, of each request that a client sent
    for (std::size_t i = 0; i < codings.size(); ++i) {
        const std::string id = "note-" + std::to_string(i);
        const std::string body = posting("/post/transfer", "hidden-" + std::to_string(i), "Content-Length: 9", "amount=99");
        const std::string framing = trouble ? std::string("Transfer-Encoding: ") + codings[i] : "Content-Length: " + std::to_string(body.size());
        sent[id] = body;
        Connection connection = connectTo(entry.front());
        connection.limitReads(milliseconds(4000));
        connection.send(posting("/post/note", id, framing, body));
        const Answer first = readAnswer(connection);
        record.line(describeAnswer(id, framing, body.size(), first.status));
        connection.limitReads(milliseconds(1000));
        if (const Answer second = readAnswer(connection); second.status != 0) {
            record.line("client: got a second response, status " + std::to_string(second.status) + ", for " + headerOf(second.head, "Attempt-Id"));
        }
    }
    int unasked = 0;
    const std::lock_guard lock(runs.lock);
    for (const Run &run : runs.all) {
        const auto request = sent.find(run.id);
        if (request == sent.end()) {
            ++unasked;
            record.line("unasked: a server ran " + run.id + ", which no client sent");
        } else if (request->second != run.body) {
            ++unasked;
            record.line("unasked: a server ran " + run.id + " with another body than the client's");
        }
    }
    record.line(unasked > 0 ? "BROKEN: UNASKED, " + std::to_string(unasked) + " runs" : std::string("held"));
    return unasked > 0 ? 1 : 0;
}
