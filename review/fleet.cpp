#include "fleet.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include <unistd.h>

namespace stage
{

namespace
{

constexpr std::int64_t startTimeoutMs = 10000;
constexpr std::size_t keptBytes = 4096;

/** What has been read of an answer, as far as it shows whether the answer is complete. */
struct Progress
{
    std::string head;
    std::string tail; //!< last bytes of a chunked body
    bool headDone = false;
    bool chunked = false;
    std::size_t length = 0;
    bool hasLength = false;
    std::size_t bodyBytes = 0;
    int status = 0;

    bool isComplete() const
    {
        return headDone && ((hasLength && bodyBytes >= length) || (chunked && tail.ends_with("0\r\n\r\n")));
    }
};

std::string fieldOf(const std::string &head, const std::string &name)
{
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

void addBytes(Progress &progress, std::string piece)
{
    if (!progress.headDone) {
        progress.head += piece;
        const auto end = progress.head.find("\r\n\r\n");
        if (end == std::string::npos) {
            return;
        }
        piece = progress.head.substr(end + 4);
        progress.head.erase(end + 2);
        progress.headDone = true;
        progress.status = std::atoi(progress.head.c_str() + progress.head.find(' '));
        progress.chunked = fieldOf(progress.head, "Transfer-Encoding") == "chunked";
        progress.hasLength = !fieldOf(progress.head, "Content-Length").empty();
        progress.length = std::strtoul(fieldOf(progress.head, "Content-Length").c_str(), nullptr, 10);
    }
    progress.bodyBytes += piece.size();
    progress.tail = (progress.tail + piece);
    if (progress.tail.size() > 8) {
        progress.tail.erase(0, progress.tail.size() - 8);
    }
}

} // namespace

Fleet::Fleet(int argc, char **argv) : m_folder(makeFolder()), m_record(argc > 1 ? argv[1] : "record.txt"), m_processes(std::in_place)
{
    std::signal(SIGPIPE, SIG_IGN);
    const char *trouble = std::getenv("TROUBLE");
    m_trouble = !trouble || std::string(trouble) != "0";
    m_record.line(std::string("run with TROUBLE=") + (m_trouble ? "1" : "0"));
    m_storePort = freePort("127.0.0.1");
    const std::uint16_t control = freePort("127.0.0.1");
    const char *standins = std::getenv("STANDINS");
    m_processes->start({standins ? standins : "target/review-3/tests/snipehill_standins",
                        "--kind",
                        "platform-store",
                        "--name",
                        "store",
                        "--listen",
                        "127.0.0.1:" + std::to_string(m_storePort),
                        "--control",
                        "127.0.0.1:" + std::to_string(control)},
                       {},
                       m_folder + "/store.log");
    const std::int64_t until = nowMs() + startTimeoutMs;
    while (!Channel::connectTo("127.0.0.1", m_storePort, 200).isOpen()) {
        if (nowMs() > until) {
            finish(2, "the stand-in of the store did not start");
        }
        sleepMs(50);
    }
}

bool Fleet::trouble() const
{
    return m_trouble;
}

std::uint16_t Fleet::storePort() const
{
    return m_storePort;
}

const std::string &Fleet::folder() const
{
    return m_folder;
}

Record &Fleet::record()
{
    return m_record;
}

std::size_t Fleet::addEntry(const std::string &name, long memoryMb)
{
    Entry entry;
    entry.options.name = name;
    // The metrics have a fixed port, so each entry needs an address of its own.
    entry.options.address = "127.0.1." + std::to_string(1 + m_entries.size());
    entry.options.front = freePort(entry.options.address);
    entry.options.ready = freePort(entry.options.address);
    entry.options.peers = freePort(entry.options.address);
    entry.options.store = m_storePort;
    entry.options.memoryMb = memoryMb;
    entry.settings = writeSettings(m_folder, entry.options);
    m_entries.push_back(entry);
    launch(m_entries.size() - 1);
    return m_entries.size() - 1;
}

void Fleet::restart(std::size_t entry)
{
    launch(entry);
}

void Fleet::launch(std::size_t entry)
{
    const char *program = std::getenv("ENTRY");
    m_entries[entry].process = m_processes->start({program ? program : "target/src/snipehilld", "--platform-entry"},
                                                  {"SNIPEHILL_SETTINGS=" + m_entries[entry].settings},
                                                  m_folder + "/" + m_entries[entry].options.name + ".log");
    m_record.line("started " + m_entries[entry].options.name + " as process " + std::to_string(m_entries[entry].process));
}

const EntryOptions &Fleet::options(std::size_t entry) const
{
    return m_entries[entry].options;
}

pid_t Fleet::process(std::size_t entry) const
{
    return m_entries[entry].process;
}

Processes &Fleet::processes()
{
    return *m_processes;
}

void Fleet::publishConfig(const std::string &json)
{
    if (!putRecord(m_storePort, "keyed.op", "config", json)) {
        finish(2, "the store did not accept the configuration");
    }
}

void Fleet::publishServer(const std::string &id, const std::string &json)
{
    if (!putRecord(m_storePort, "keyed.servers", id, json)) {
        finish(2, "the store did not accept the entry of a server");
    }
}

bool Fleet::waitAllReady(std::int64_t timeoutMs)
{
    for (const Entry &entry : m_entries) {
        if (!waitReady(entry.options, timeoutMs)) {
            return false;
        }
    }
    return true;
}

void Fleet::finish(int result, const std::string &why)
{
    const std::string verdict = result == 1 ? "BROKEN: " : result == 0 ? "held: " : "could not run: ";
    m_record.line(verdict + why);
    std::cout << verdict << why << std::endl;
    m_processes.reset();
    if (!std::getenv("KEEP_LOGS")) {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
    ::_exit(result);
}

std::string serverJson(const std::string &service, std::uint16_t port, const std::string &stage, std::int64_t born)
{
    return R"({"service":")" + service + R"(","address":"127.0.0.1:)" + std::to_string(port)
        + R"(","zone":"z","version":1,"slots":64,"state":"ready","cold_ms":0,"sequence":1,"born":)" + std::to_string(born)
        + (stage.empty() ? "" : R"(,"stage":")" + stage + "\"") + "}";
}

Outcome askEntry(const EntryOptions &entry, const Ask &ask)
{
    Outcome outcome;
    outcome.sentAt = nowMs();
    Channel channel = Channel::connectTo(entry.address, entry.front, 1000);
    std::string text = ask.method + " " + ask.path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + ask.id
        + "\r\nDeadline-Ms: " + std::to_string(ask.deadlineMs) + "\r\n" + (ask.key.empty() ? "" : "X-Api-Key: " + ask.key + "\r\n") + ask.headers;
    if (!ask.body.empty()) {
        text += "Content-Length: " + std::to_string(ask.body.size()) + "\r\n";
    }
    if (!channel.isOpen() || !channel.sendAll(text + "\r\n" + ask.body)) {
        outcome.endedAt = nowMs();
        return outcome;
    }
    Progress progress;
    while (nowMs() < outcome.sentAt + ask.waitMs) {
        const std::string piece = channel.readSome(outcome.sentAt + ask.waitMs - nowMs());
        if (piece.empty()) {
            outcome.endedAt = channel.timedOut() ? -1 : nowMs();
            break;
        }
        outcome.firstAt = outcome.firstAt < 0 ? nowMs() : outcome.firstAt;
        outcome.bytes += piece.size();
        if (outcome.body.size() < keptBytes) {
            outcome.body += piece.substr(0, keptBytes);
        }
        addBytes(progress, piece);
        if (progress.isComplete()) {
            outcome.complete = true;
            outcome.endedAt = nowMs();
            break;
        }
        sleepMs(ask.pauseMs);
    }
    outcome.status = progress.status;
    return outcome;
}

} // namespace stage
