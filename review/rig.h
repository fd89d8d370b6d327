#pragma once

#include <sys/types.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/** Stand-ins of store, servers and clients for review cases, in one thread and on loopback addresses, and the entries as separate processes. */
namespace rig
{

/** Seconds since the program started. */
double now();

/** Runs callbacks when sockets are ready and when timers expire. */
class Loop
{
public:
    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    void after(double seconds, std::function<void()> callback);
    void watch(int socket, std::uint32_t events, std::function<void(std::uint32_t)> callback);
    void change(int socket, std::uint32_t events) const;
    void forget(int socket);
    /** Runs until the time is up or stop() is called. */
    void run(double seconds);
    void stop();

private:
    int m_epoll;
    bool m_stopped = false;
    std::map<int, std::function<void(std::uint32_t)>> m_sockets;
    std::multimap<double, std::function<void()>> m_timers;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

/** An HTTP request or response. */
struct Message
{
    std::string method;
    std::string target;
    int status = 0;
    Fields fields;
    std::string body;

    std::string field(std::string_view name) const;
    std::string path() const;
    std::string query(std::string_view name) const;
};

/** A TCP connection. Callbacks may close it. */
class Channel : public std::enable_shared_from_this<Channel>
{
public:
    Channel(Loop &loop, int socket, bool connected);
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    void start();
    void write(std::string_view bytes);
    void close(bool reset = false);
    /** From now on reads at most so many bytes at each call of readSome() only. */
    void readSlowly();
    void readSome(std::size_t bytes);
    bool isOpen() const;

    std::string input;
    std::function<void()> onInput;
    std::function<void()> onClosed;

private:
    void handle(std::uint32_t events);
    void flush();
    void receive(std::size_t limit);
    std::uint32_t events() const;

    Loop &m_loop;
    int m_socket;
    bool m_connected;
    bool m_slow = false;
    std::string m_output;
    std::size_t m_sent = 0; //!< of the output
};

using ChannelPointer = std::shared_ptr<Channel>;

/** Takes a complete request with a length from the input of a channel. */
bool takeRequest(std::string &input, Message &request);
std::string formatResponse(int status, const Fields &fields, std::string_view body);

/** Listens on a port of 127.0.0.1 and calls back with each request. */
class Listener
{
public:
    using Handler = std::function<void(const ChannelPointer &, Message)>;

    Listener(Loop &loop, Handler handler);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /** Listens; on the same port as before when it is started again. */
    void start();
    /** Stops listening and resets all connections, like a process that crashes. */
    void crash();
    std::uint16_t port() const;

private:
    void accept();

    Loop &m_loop;
    Handler m_handler;
    int m_socket = -1;
    std::uint16_t m_port = 0;
    std::vector<std::weak_ptr<Channel>> m_channels;
};

/** The platform's store, and its interface for usage reports on the same port. */
class Store
{
public:
    explicit Store(Loop &loop);

    void put(const std::string &topic, const std::string &key, const std::string &value);
    std::uint16_t port() const;

private:
    struct Waiting
    {
        ChannelPointer channel;
        std::string topic;
        std::size_t from = 0;
        bool done = false;
    };

    void handle(const ChannelPointer &channel, const Message &request);
    void append(const std::string &topic, std::string_view records);
    void respondRead(const ChannelPointer &channel, const std::string &topic, std::size_t from);
    std::string newest(const std::string &topic);

    Loop &m_loop;
    std::map<std::string, std::vector<std::string>> m_topics;
    std::vector<std::shared_ptr<Waiting>> m_waiting;
    Listener m_listener;
};

/** A server of a service. Registers itself in the store and repeats that as long as it is up. */
class Server
{
public:
    /** Runs a request; the fields are those of every response. */
    using Run = std::function<void(Server &, const ChannelPointer &, const Message &, Fields)>;

    Server(Loop &loop, Store &store, std::string id, std::string service, std::string stage, int slots, Run run);

    void start();
    /** Ends like a process that crashes, and starts again after a time. */
    void crash(double restartAfter);

    const std::string id; // NOLINT(readability-identifier-naming)
    int running = 0;
    bool isUp = false;

private:
    void handle(const ChannelPointer &channel, const Message &request);
    void registerSelf();
    void beat();

    Loop &m_loop;
    Store &m_store;
    std::string m_service;
    std::string m_stage;
    int m_slots;
    Run m_run;
    std::int64_t m_born = 0;
    int m_sequence = 0;
    int m_handles = 0;
    double m_lastBeat = 0;
    bool m_listed = false;
    Listener m_listener;
};

/** An event stream that a server writes. */
struct EventPlan
{
    int events = 5;
    double gap = 0.05; //!< seconds between two events
    double first = 0.05; //!< seconds from the head to the first one
    std::function<std::size_t(int)> padding; //!< bytes of an event beyond its number; may be empty
};

/** Writes the events after the last one that the request names. Calls back at the end, also when the channel was closed. */
void writeEvents(Loop &loop, const ChannelPointer &channel, const Message &request, const Fields &fields, const EventPlan &plan, std::function<void()> done);

/** What a client saw of one request. */
struct Answer
{
    std::string id;
    double sent = 0;
    double ended = 0;
    int status = 0;
    bool complete = false;
    bool closed = false; //!< the channel ended before the answer was complete
    std::string body;
};

/** A client with one channel that it keeps. */
class Client
{
public:
    using Done = std::function<void(const Answer &)>;

    Client(Loop &loop, std::string address, std::uint16_t port);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /** Sends a request, on the channel of the one before where that is open. Gives up after the time limit. */
    void send(const std::string &method, const std::string &path, const Fields &fields, const std::string &body, double limit, Done done);
    /** Reads further answers at a rate in bytes per second. */
    void readSlowly(double rate);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/** Fields that every client sends. */
Fields clientFields(const std::string &id, int deadlineMs);

/** Figures of a small deployment. */
struct Bounds
{
    int contactMs = 3000;
    int drainMs = 2000;
    int configMs = 2000;
    int memoryMb = 260;
};

/** An entry, the program of the project, as a process. */
class Entry
{
public:
    Entry(std::string folder, int number, std::uint16_t store, const Bounds &bounds);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    void start();
    void kill();
    bool isRunning();
    /** Memory of its own in use, without mapped files, in MB; 0 if the process has ended. */
    int memoryMb() const;
    /** Whether the readiness check is answered with 200. */
    bool isReady() const;
    std::string address() const;
    std::uint16_t port() const;
    double startedAt() const;

private:
    std::string m_folder;
    int m_number;
    std::string m_address;
    std::uint16_t m_port = 0;
    std::uint16_t m_readyPort = 0;
    pid_t m_process = -1;
    double m_startedAt = 0;
};

/** Waits until all entries are ready; false if they are not within 20 s. */
bool waitUntilReady(Loop &loop, const std::vector<std::unique_ptr<Entry>> &entries);

/** A folder that is removed with its files. */
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;
    const std::string &path() const;

private:
    std::string m_path;
};

/** Lines of record.txt in the folder of the case. */
class Record
{
public:
    explicit Record(const std::string &file);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void line(const std::string &text);
    /** Also prints the line. */
    void note(const std::string &text);

private:
    std::FILE *m_file;
};

/** False if the environment says TROUBLE=0. */
bool hasTrouble();

std::string seconds(double time);

} // namespace rig
