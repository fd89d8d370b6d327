#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/**
 * Stand-ins and tools for the scripts of the review: a store, a listener for servers, a client connection, and the project's
 * entry as a process. They use blocking sockets and threads, no library beside the C++ one.
 */
namespace review
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** Writes lines with the time since the start to the record file and to the standard output. Thread-safe. */
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex m_lock;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

/** One TCP connection; closes its socket when destroyed. */
class Connection
{
public:
    explicit Connection(int socket) : m_socket(socket) { }
    ~Connection();
    Connection(Connection &&other) noexcept;
    Connection &operator=(Connection &&) = delete;
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool isOpen() const
    {
        return m_socket >= 0;
    }
    bool send(std::string_view bytes) const;
    /** Reads more into the buffer; false at the end, after an error and after the timeout of limitReads(). */
    bool receive();
    void limitReads(milliseconds timeout) const;
    /** Whether the peer closed or reset the connection; reads nothing. */
    bool isClosedByPeer() const;

    std::string buffer; //!< received and not consumed yet

private:
    int m_socket;
};

/** Connects to IP:PORT; not open on failure. */
Connection connectTo(const std::string &address);

/** Head of a message with its body. */
struct Message
{
    std::string head; //!< first line and headers
    std::string body;
};

/** Value of a header; empty if there is none. */
std::string headerOf(const std::string &head, std::string_view name);
/** Reads a request with a length, or with no body. */
std::optional<Message> readRequest(Connection &connection);

/** What a client has got. */
struct Answer
{
    std::string head;
    std::string body;
    bool complete = false;
    int status = 0; //!< 0 if no head came
};

/** Reads a response with a length or in chunks. */
Answer readAnswer(Connection &connection);

/** Accepts connections on a free port of 127.0.0.1 and runs the handler in a thread for each. Lives until the process ends. */
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;
    explicit Listener(Handler handler);
    const std::string &address() const
    {
        return m_address;
    }

private:
    std::string m_address;
};

/** The platform's store: topics with one partition, appends, reads with a wait, and the newest record of each key. */
class Store
{
public:
    Store();
    const std::string &address() const
    {
        return m_listener.address();
    }
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /** Number of requests that were no valid HTTP, each answered with 400. */
    int malformedRequests() const
    {
        return m_malformedRequests;
    }

private:
    void handle(Connection &connection);
    std::string answer(const Message &request);
    std::string readRecords(const std::string &topic, std::uint64_t from, milliseconds wait);
    std::string readNewest(const std::string &topic, const std::string &after);

    std::mutex m_lock;
    std::map<std::string, std::vector<std::string>> m_topics; //!< records without their length
    std::atomic<int> m_malformedRequests{0};
    Listener m_listener;
};

/** Settings of one entry. */
struct EntrySettings
{
    std::string name;
    std::string ip; //!< a loopback address of its own, as the metrics port is fixed
    std::string store;
};

/** The project's entry, started with the command of the deploy file. Killed when destroyed. */
class Entry
{
public:
    Entry(EntrySettings settings, std::string folder);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    void start();
    void signal(int number) const;
    /** Waits for the end of the process. */
    void reap();
    /** Whether the process has ended. */
    bool hasEnded();
    /** Answer of the readiness question; 0 if there was none. */
    int readiness() const;
    bool waitUntilReady(milliseconds timeout) const;
    /** Memory in use, in kilobytes; 0 if there is no process. */
    long memory() const;
    std::string front() const;

private:
    EntrySettings m_settings;
    std::string m_folder;
    pid_t m_process = -1;
};

/** Folder for settings and logs of the entries; removed when destroyed. */
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;
    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

/** Loopback address that other runs are unlikely to use. */
std::string ownAddress(int number);
/** Whether the environment asks for the disruption. */
bool hasTrouble();
/** Configuration with the routes of the scripts: /post/ (non_idempotent), /read/ (idempotent) and /review/ (streaming). */
std::string configuration();
/** Registration record of a server. */
std::string serverEntry(const std::string &service, const std::string &address, const std::string &stage = {});

} // namespace review
