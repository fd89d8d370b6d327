#include "../harness.h"

#include <array>
#include <atomic>
#include <csignal>
#include <memory>
#include <set>
#include <thread>

// One of three servers answers with a chunk header that never ends. The platform's stand-in kills an entry that exceeds its
// memory, as DEPLOY.md says, and starts it again.

using namespace review;

namespace
{

constexpr long memoryLimit = 260L * 1024; // kilobytes: memory_mb of the sheet's edge machines
constexpr int endsThatCount = 3; // rule Fault: three times in the day
constexpr std::size_t linkBytesPerSecond = 100000000; // below the 1,000 Mbit/s of a machine's link
constexpr milliseconds runTime{45000};
constexpr milliseconds restartDelay{300};
constexpr milliseconds pauseBetweenRequests{100};
constexpr int clientsPerEntry = 4;

/** What the stand-ins and clients have seen. */
struct Seen
{
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<int> otherAnswers{0};
    std::atomic<int> closedWithoutAnswer{0};
    std::atomic<int> endless{0};
    std::atomic<bool> over{false};
};

/** Sends the head of a success and a chunk header without end, until the caller closes. */
void answerWithoutEnd(Connection &connection, const std::string &id)
{
    connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n5;a=");
    const std::string bytes(1U << 20U, 'x');
    const auto began = Clock::now();
    std::size_t sent = 0;
    while (connection.send(bytes)) {
        sent += bytes.size();
        std::this_thread::sleep_until(began + std::chrono::microseconds(sent * 1000000 / linkBytesPerSecond));
    }
}

void serve(Connection &connection, bool trouble, Seen &seen)
{
    while (const auto request = readRequest(connection)) {
        const std::string id = headerOf(request->head, "Attempt-Id");
        if (trouble) {
            ++seen.endless;
            answerWithoutEnd(connection, id);
            return;
        }
        std::this_thread::sleep_for(milliseconds(60));
        connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone");
    }
}

/** Sends one request after the other over a kept channel, with a new one after each failure. */
void runClient(const std::string &front, const std::string &name, Seen &seen, Record &record)
{
    auto connection = std::make_unique<Connection>(connectTo(front));
    for (int number = 0; !seen.over; ++number) {
        std::this_thread::sleep_for(pauseBetweenRequests);
        if (!connection->isOpen() || connection->isClosedByPeer()) {
            connection = std::make_unique<Connection>(connectTo(front));
            continue;
        }
        const std::string id = name + "-" + std::to_string(number);
        ++seen.sent;
        connection->limitReads(milliseconds(5000));
        const bool sent = connection->send("POST /post/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                                           + "\r\nDeadline-Ms: 3000\r\nX-Api-Key: key-1\r\nContent-Length: 3\r\n\r\nfee");
        const Answer answer = sent ? readAnswer(*connection) : Answer{};
        if (answer.complete) {
            ++(answer.status == 200 ? seen.served : seen.otherAnswers);
            if (headerOf(answer.head, "Connection") == "close") {
                connection = std::make_unique<Connection>(connectTo(front));
            }
            continue;
        }
        ++seen.closedWithoutAnswer;
        record.line("client: " + id + " was sent and its channel ended without an answer");
        connection = std::make_unique<Connection>(connectTo(front));
    }
}

/** An entry with the memory that it had and the times it was ended for too much of it. */
struct WatchedEntry
{
    std::unique_ptr<Entry> entry;
    std::string name;
    int ends = 0;
    long peak = 0;
};

void watch(WatchedEntry &watched, Record &record)
{
    const long memory = watched.entry->memory();
    watched.peak = std::max(watched.peak, memory);
    const bool ended = watched.entry->hasEnded();
    if (!ended && memory <= memoryLimit) {
        return;
    }
    if (!ended) {
        watched.entry->signal(SIGKILL);
        watched.entry->reap();
    }
    ++watched.ends;
    record.line("platform: " + watched.name + " held " + std::to_string(memory / 1024) + " MB, more than its 260 MB, and was ended ("
                + std::to_string(watched.ends) + ")");
    std::this_thread::sleep_for(restartDelay);
    watched.entry->start();
}

} // namespace

int main(int, char **argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    const bool trouble = hasTrouble();
    Seen seen;
    Store store;
    std::array<std::unique_ptr<Listener>, 3> servers;
    store.put("keyed.op", "config", configuration());
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const bool inTrouble = trouble && i == 0;
        servers[i] = std::make_unique<Listener>([inTrouble, &seen](Connection &connection) {
            serve(connection, inTrouble, seen);
        });
        store.put("keyed.servers", "i-app" + std::to_string(i), serverEntry("app", servers[i]->address()));
    }
    TemporaryFolder folder;
    std::array<WatchedEntry, 2> entries;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        entries[i].name = "entry-" + std::to_string(i + 1);
        entries[i].entry = std::make_unique<Entry>(EntrySettings{entries[i].name, ownAddress(static_cast<int>(i) + 1), store.address()}, folder.path());
        entries[i].entry->start();
    }
    for (const WatchedEntry &watched : entries) {
        if (!watched.entry->waitUntilReady(milliseconds(15000))) {
            record.line("an entry did not become ready");
            return 2;
        }
    }
    record.line(trouble ? "server i-app0 answers with a chunk header without end" : "all servers are sound");
    std::vector<std::thread> clients;
    for (const WatchedEntry &watched : entries) {
        for (int i = 0; i < clientsPerEntry; ++i) {
            clients.emplace_back(runClient, watched.entry->front(), watched.name + "-c" + std::to_string(i), std::ref(seen), std::ref(record));
        }
    }
    const auto until = Clock::now() + runTime;
    const auto isBroken = [&entries] {
        return std::all_of(entries.begin(), entries.end(), [](const WatchedEntry &watched) {
            return watched.ends >= endsThatCount;
        });
    };
    while (Clock::now() < until && !isBroken()) {
        for (WatchedEntry &watched : entries) {
            watch(watched, record);
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
    seen.over = true;
    for (std::thread &client : clients) {
        client.join();
    }
    for (const WatchedEntry &watched : entries) {
        record.line(watched.name + ": peak of memory " + std::to_string(watched.peak / 1024) + " MB, ended for it " + std::to_string(watched.ends) + " times");
    }
    record.line("requests sent " + std::to_string(seen.sent) + ", served " + std::to_string(seen.served) + ", other answers "
                + std::to_string(seen.otherAnswers) + ", channels that ended without an answer " + std::to_string(seen.closedWithoutAnswer)
                + ", answers without end " + std::to_string(seen.endless));
    record.line(isBroken() ? "BROKEN: Fault" : "held");
    return isBroken() ? 1 : 0;
}
