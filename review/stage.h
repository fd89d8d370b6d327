#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

/** Small stand-ins of clients, servers and links for the scripts of the review. Blocking sockets, one thread for each connection. */
namespace stage
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** Milliseconds since the start of the program. */
std::int64_t nowMs();
void sleepMs(std::int64_t ms);

/** Writes lines with the time to the record.txt of the case. Thread-safe. */
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex m_lock;
    std::ofstream m_file;
};

/** Open TCP connection; -1 if it is closed. */
class Channel
{
public:
    explicit Channel(int descriptor = -1);
    ~Channel();
    Channel(Channel &&other) noexcept;
    Channel &operator=(Channel &&other) noexcept;
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    static Channel connectTo(const std::string &address, std::uint16_t port, std::int64_t timeoutMs);
    bool isOpen() const;
    bool sendAll(const std::string &bytes);
    /** Reads some bytes; empty at the end, on an error or after the timeout. */
    std::string readSome(std::int64_t timeoutMs);
    bool timedOut() const;
    int descriptor() const;
    void close();
    /** Closes with a TCP reset. */
    void reset();

    std::string buffer; //!< received and not yet used

private:
    int m_descriptor;
    bool m_timedOut = false;
};

struct Message
{
    bool valid = false;
    bool complete = false; //!< the body has its whole length
    std::string start; //!< request line or status line
    std::map<std::string, std::string> headers; //!< names in lower case
    std::string body;
    int status = 0;
    std::string method;
    std::string target;

    std::string header(const std::string &name) const;
};

/** Reads a head, and a body unless headOnly. Bodies have a length, are chunked, or end with the connection. */
Message readMessage(Channel &channel, bool isRequest, std::int64_t timeoutMs, bool headOnly = false);

/** Accepts connections on a loopback address and runs the handler for each on its own thread. */
class Listener
{
public:
    using Handler = std::function<void(Channel channel)>;

    Listener(std::string address, std::uint16_t port, Handler handler);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    std::uint16_t port() const;
    /** Closes the listening socket; open connections stay. */
    void stop();

private:
    int m_descriptor = -1;
    std::uint16_t m_port = 0;
    Handler m_handler;
    std::thread m_thread;
    std::atomic<bool> m_stopped{false};
};

/** Child processes, which are killed at the end. */
class Processes
{
public:
    ~Processes();
    pid_t start(const std::vector<std::string> &command, const std::vector<std::string> &environment, const std::string &log);
    static void signal(pid_t process, int number);
    /** Waits for the end; false if the process still runs after the time. */
    bool waitFor(pid_t process, std::int64_t timeoutMs, int *status = nullptr);

private:
    std::vector<pid_t> m_running;
};

std::uint16_t freePort(const std::string &address);
std::string makeFolder();
/** Largest memory that a process has had, in kilobytes; -1 if it is gone. */
long peakMemoryOf(pid_t process);

/** The store: appends one record with a key. */
bool putRecord(std::uint16_t storePort, const std::string &topic, const std::string &key, const std::string &value);

struct EntryOptions
{
    std::string name = "edge-1";
    std::string address = "127.0.0.1";
    std::string zone = "z";
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t peers = 0;
    std::uint16_t store = 0;
    std::string cloud; //!< IP:PORT; empty without duties
    std::string bounds; //!< further lines of the table of bounds
    long memoryMb = 260;
};

/** Writes the settings of an entry; returns their path. */
std::string writeSettings(const std::string &folder, const EntryOptions &options);
/** Waits until the entry says that it is ready. */
bool waitReady(const EntryOptions &options, std::int64_t timeoutMs);

/** Programs and folders of a run. */
struct Paths
{
    std::string entry; //!< snipehilld
    std::string standins;
    std::string caseFolder;
};

} // namespace stage
