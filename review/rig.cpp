#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>

namespace rig
{

namespace
{

constexpr double beatInterval = 1.2;
constexpr int missedBeats = 3;
constexpr std::size_t readBytes = 65536;
constexpr std::uint64_t byteBits = 8;

[[noreturn]] void cannotRun(const std::string &what)
{
    std::fprintf(stderr, "the case can't run: %s: %s\n", what.c_str(), std::strerror(errno));
    std::exit(2); // NOLINT(concurrency-mt-unsafe)
}

sockaddr_in addressOf(const std::string &address, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

int newSocket()
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (handle < 0) {
        cannotRun("socket");
    }
    return handle;
}

std::uint16_t portOf(int socket)
{
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&bound), &size);
    return ntohs(bound.sin_port);
}

std::uint16_t freePort(const std::string &address)
{
    const int handle = newSocket();
    const sockaddr_in any = addressOf(address, 0);
    if (::bind(handle, reinterpret_cast<const sockaddr *>(&any), sizeof any) != 0) {
        cannotRun("bind " + address);
    }
    const std::uint16_t port = portOf(handle);
    ::close(handle);
    return port;
}

bool equalNames(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [](unsigned char a, unsigned char b) {
               return std::tolower(a) == std::tolower(b);
           });
}

std::string trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    return first == std::string_view::npos ? std::string() : std::string(text.substr(first, text.find_last_not_of(" \t") - first + 1));
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text += static_cast<char>(value >> (byteBits * static_cast<std::uint64_t>(i)));
    }
    return text;
}

std::size_t readBigEndian(std::string_view bytes)
{
    std::size_t value = 0;
    for (const char byte : bytes) {
        value = value << byteBits | static_cast<unsigned char>(byte);
    }
    return value;
}

std::string base64(std::string_view bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::size_t left = std::min<std::size_t>(3, bytes.size() - i);
        std::size_t value = readBigEndian(bytes.substr(i, left)) << (byteBits * (3 - left));
        std::string group(4, '=');
        for (std::size_t k = 0; k <= left; ++k) {
            group[k] = digits[value >> (6 * (3 - k)) & 63U];
        }
        text += group;
    }
    return text;
}

std::string jsonText(std::string_view text)
{
    std::string quoted = "\"";
    for (const char c : text) {
        quoted += (c == '"' || c == '\\') ? std::string("\\") + c : std::string(1, c);
    }
    return quoted + "\"";
}

/** Parses start line and fields up to the empty line; returns the size of the head, 0 if it is not complete. */
std::size_t parseHead(const std::string &input, std::string &startLine, Fields &fields)
{
    const auto end = input.find("\r\n\r\n");
    if (end == std::string::npos) {
        return 0;
    }
    std::size_t line = input.find("\r\n");
    startLine = input.substr(0, line);
    while (line < end) {
        const std::size_t begin = line + 2;
        line = input.find("\r\n", begin);
        const std::string text = input.substr(begin, line - begin);
        const auto colon = text.find(':');
        if (colon != std::string::npos) {
            fields.emplace_back(text.substr(0, colon), trimmed(std::string_view(text).substr(colon + 1)));
        }
    }
    return end + 4;
}

std::string formatFields(const Fields &fields)
{
    std::string text;
    for (const auto &[name, value] : fields) {
        text += name;
        text += ": ";
        text += value;
        text += "\r\n";
    }
    return text;
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/** Reads the whole answer to a short request on a connection of its own; empty on any error. */
std::string askBriefly(const std::string &address, std::uint16_t port, const std::string &request)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{1, 0};
    ::setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const sockaddr_in peer = addressOf(address, port);
    std::string answer;
    if (::connect(handle, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) == 0
        && ::send(handle, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size())) {
        std::array<char, 4096> bytes{};
        const ssize_t size = ::recv(handle, bytes.data(), bytes.size(), 0);
        answer.assign(bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(0, size)));
    }
    ::close(handle);
    return answer;
}

} // namespace

double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

std::string seconds(double time)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", time);
    return text.data();
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE"); // NOLINT(concurrency-mt-unsafe)
    return !value || std::string_view(value) != "0";
}

Loop::Loop() : m_epoll(::epoll_create1(EPOLL_CLOEXEC))
{
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler)
    rlimit files{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
    now();
}

Loop::~Loop()
{
    ::close(m_epoll);
}

void Loop::after(double seconds, std::function<void()> callback)
{
    m_timers.emplace(now() + seconds, std::move(callback));
}

void Loop::watch(int socket, std::uint32_t events, std::function<void(std::uint32_t)> callback)
{
    epoll_event event{};
    event.events = events;
    event.data.fd = socket;
    ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket, &event);
    m_sockets[socket] = std::move(callback);
}

void Loop::change(int socket, std::uint32_t events) const
{
    epoll_event event{};
    event.events = events;
    event.data.fd = socket;
    ::epoll_ctl(m_epoll, EPOLL_CTL_MOD, socket, &event);
}

void Loop::forget(int socket)
{
    ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket, nullptr);
    m_sockets.erase(socket);
}

void Loop::stop()
{
    m_stopped = true;
}

void Loop::run(double seconds)
{
    const double until = now() + seconds;
    m_stopped = false;
    std::array<epoll_event, 256> ready{};
    while (!m_stopped && now() < until) {
        while (!m_timers.empty() && m_timers.begin()->first <= now()) {
            const auto timer = m_timers.extract(m_timers.begin());
            timer.mapped()();
        }
        const double next = std::min(until, m_timers.empty() ? until : m_timers.begin()->first);
        const int wait = std::max(0, static_cast<int>((next - now()) * 1000) + 1);
        const int count = ::epoll_wait(m_epoll, ready.data(), static_cast<int>(ready.size()), wait);
        for (int i = 0; i < count; ++i) {
            const auto found = m_sockets.find(ready.at(static_cast<std::size_t>(i)).data.fd);
            if (found != m_sockets.end()) {
                const auto callback = found->second; // may forget the socket
                callback(ready.at(static_cast<std::size_t>(i)).events);
            }
        }
    }
}

std::string Message::field(std::string_view name) const
{
    const auto found = std::find_if(fields.begin(), fields.end(), [name](const auto &field) {
        return equalNames(field.first, name);
    });
    return found == fields.end() ? std::string() : found->second;
}

std::string Message::path() const
{
    return target.substr(0, target.find('?'));
}

std::string Message::query(std::string_view name) const
{
    const std::string all = "&" + (target.find('?') == std::string::npos ? std::string() : target.substr(target.find('?') + 1));
    const auto at = all.find("&" + std::string(name) + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 2;
    return all.substr(begin, all.find('&', begin) - begin);
}

Channel::Channel(Loop &loop, int socket, bool connected) : m_loop(loop), m_socket(socket), m_connected(connected) { }

Channel::~Channel()
{
    close();
}

void Channel::start()
{
    const std::weak_ptr<Channel> weak = weak_from_this();
    m_loop.watch(m_socket, events(), [weak](std::uint32_t ready) {
        if (const auto channel = weak.lock()) {
            channel->handle(ready);
        }
    });
}

bool Channel::isOpen() const
{
    return m_socket >= 0;
}

std::uint32_t Channel::events() const
{
    return (m_slow ? 0U : static_cast<std::uint32_t>(EPOLLIN)) | (m_connected && m_output.empty() ? 0U : static_cast<std::uint32_t>(EPOLLOUT));
}

void Channel::write(std::string_view bytes)
{
    if (!isOpen()) {
        return;
    }
    m_output += bytes;
    if (m_connected) {
        flush();
    }
}

void Channel::flush()
{
    const bool before = m_output.empty();
    while (m_sent < m_output.size()) {
        const ssize_t sent = ::send(m_socket, m_output.data() + m_sent, m_output.size() - m_sent, MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN) {
            return; // the reading side reports it
        }
        if (sent < 0) {
            break;
        }
        m_sent += static_cast<std::size_t>(sent);
    }
    if (m_sent == m_output.size()) {
        m_output.clear();
        m_sent = 0;
    }
    if (!before || !m_output.empty()) {
        m_loop.change(m_socket, events());
    }
}

void Channel::close(bool reset)
{
    if (!isOpen()) {
        return;
    }
    if (reset) {
        const linger now{1, 0};
        ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    m_loop.forget(m_socket);
    ::close(std::exchange(m_socket, -1));
    if (const auto closed = std::exchange(onClosed, nullptr)) {
        closed();
    }
    onInput = nullptr;
}

void Channel::readSlowly()
{
    m_slow = true;
    if (isOpen()) {
        m_loop.change(m_socket, events());
    }
}

void Channel::readSome(std::size_t bytes)
{
    const ChannelPointer self = shared_from_this();
    receive(bytes);
}

void Channel::receive(std::size_t limit)
{
    static std::string bytes(readBytes, '\0');
    while (isOpen() && limit > 0) {
        const ssize_t size = ::recv(m_socket, bytes.data(), std::min(limit, readBytes), 0);
        if (size < 0 && errno == EAGAIN) {
            return;
        }
        if (size <= 0) {
            close();
            return;
        }
        limit -= static_cast<std::size_t>(size);
        input.append(bytes.data(), static_cast<std::size_t>(size));
        if (const auto callback = onInput) {
            callback();
        }
    }
}

void Channel::handle(std::uint32_t ready)
{
    const ChannelPointer self = shared_from_this();
    if ((ready & EPOLLOUT) != 0) {
        m_connected = true;
        flush();
        if (isOpen()) {
            m_loop.change(m_socket, events());
        }
    }
    if ((ready & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && isOpen()) {
        receive((ready & (EPOLLHUP | EPOLLERR)) != 0 ? std::string::npos : readBytes);
        if ((ready & EPOLLERR) != 0) {
            close();
        }
    }
}

bool takeRequest(std::string &input, Message &request)
{
    std::string startLine;
    request = {};
    const std::size_t head = parseHead(input, startLine, request.fields);
    if (head == 0) {
        return false;
    }
    const std::string length = request.field("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    if (input.size() < head + size) {
        return false;
    }
    const auto space = startLine.find(' ');
    request.method = startLine.substr(0, space);
    request.target = startLine.substr(space + 1, startLine.rfind(' ') - space - 1);
    request.body = input.substr(head, size);
    input.erase(0, head + size);
    return true;
}

std::string formatResponse(int status, const Fields &fields, std::string_view body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n" + formatFields(fields) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    text += body;
    return text;
}

Listener::Listener(Loop &loop, Handler handler) : m_loop(loop), m_handler(std::move(handler)) { }

Listener::~Listener()
{
    crash();
}

std::uint16_t Listener::port() const
{
    return m_port;
}

void Listener::start()
{
    m_socket = newSocket();
    const int yes = 1;
    ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const sockaddr_in local = addressOf("127.0.0.1", m_port);
    if (::bind(m_socket, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0 || ::listen(m_socket, SOMAXCONN) != 0) {
        cannotRun("listen");
    }
    m_port = portOf(m_socket);
    m_loop.watch(m_socket, EPOLLIN, [this](std::uint32_t) {
        accept();
    });
}

void Listener::accept()
{
    while (true) {
        const int handle = ::accept4(m_socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (handle < 0) {
            return;
        }
        const auto channel = std::make_shared<Channel>(m_loop, handle, true);
        // The channel lives as long as it is open: its callback for the end holds it.
        channel->onClosed = [channel] {};
        const std::weak_ptr<Channel> weak = channel;
        channel->onInput = [this, weak] {
            Message request;
            while (const auto open = weak.lock()) {
                if (!open->isOpen() || !takeRequest(open->input, request)) {
                    return;
                }
                m_handler(open, std::move(request));
            }
        };
        std::erase_if(m_channels, [](const auto &known) {
            return known.expired();
        });
        m_channels.push_back(channel);
        channel->start();
    }
}

void Listener::crash()
{
    if (m_socket < 0) {
        return;
    }
    m_loop.forget(m_socket);
    ::close(std::exchange(m_socket, -1));
    for (const auto &weak : std::exchange(m_channels, {})) {
        if (const auto channel = weak.lock()) {
            channel->close(true);
        }
    }
}

Store::Store(Loop &loop)
    : m_loop(loop), m_listener(loop, [this](const ChannelPointer &channel, const Message &request) {
        handle(channel, request);
    })
{
    m_listener.start();
}

std::uint16_t Store::port() const
{
    return m_listener.port();
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    std::string record(1, static_cast<char>(key.size()));
    record += key + value;
    append(topic, bigEndian(record.size(), 4) + record);
}

void Store::append(const std::string &topic, std::string_view records)
{
    while (records.size() >= 4) {
        const std::size_t size = readBigEndian(records.substr(0, 4));
        m_topics[topic].emplace_back(records.substr(4, size));
        records.remove_prefix(std::min(records.size(), 4 + size));
    }
    for (const auto &waiting : m_waiting) {
        if (!waiting->done && waiting->topic == topic) {
            waiting->done = true;
            respondRead(waiting->channel, topic, waiting->from);
        }
    }
    std::erase_if(m_waiting, [](const auto &waiting) {
        return waiting->done;
    });
}

void Store::respondRead(const ChannelPointer &channel, const std::string &topic, std::size_t from)
{
    const auto &records = m_topics[topic];
    std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < records.size(); ++i) {
        body += bigEndian(records[i].size(), 4) + records[i];
    }
    channel->write(formatResponse(200, {{"Store-Era", "1"}}, body));
}

std::string Store::newest(const std::string &topic)
{
    std::map<std::string, std::pair<std::size_t, std::string>> values;
    const auto &records = m_topics[topic];
    for (std::size_t i = 0; i < records.size(); ++i) {
        const std::size_t size = records[i].empty() ? 0 : static_cast<unsigned char>(records[i][0]);
        const std::string key = records[i].substr(1, size);
        if (records[i].size() > 1 + size) {
            values[key] = {i, records[i].substr(1 + size)};
        } else {
            values.erase(key);
        }
    }
    std::string items;
    for (const auto &[key, value] : values) {
        items += items.empty() ? "" : ",";
        items += "{\"key\":" + jsonText(key) + ",\"value\":\"" + base64(value.second) + "\",\"offset\":" + std::to_string(value.first) + "}";
    }
    return "{\"items\":[" + items + "],\"has_more\":false,\"end_offset\":" + std::to_string(records.size()) + "}";
}

void Store::handle(const ChannelPointer &channel, const Message &request)
{
    const Fields era{{"Store-Era", "1"}};
    const std::string path = request.path();
    const std::string topic = request.query("topic");
    if (path == "/usage") {
        channel->write(formatResponse(200, {}, "{}"));
    } else if (path == "/api/log-append") {
        const std::size_t offset = m_topics[topic].size();
        append(topic, request.body);
        channel->write(formatResponse(200, era, "{\"offset\":" + std::to_string(offset) + ",\"end_offset\":" + std::to_string(m_topics[topic].size()) + "}"));
    } else if (path == "/api/log-newest") {
        channel->write(formatResponse(200, era, newest(topic)));
    } else if (path == "/api/log-read") {
        const std::size_t from = std::stoul(request.query("from"));
        const std::string wait = request.query("wait_ms");
        if (from > m_topics[topic].size()) {
            channel->write(formatResponse(410, era, "{\"first_offset\":0}"));
        } else if (from < m_topics[topic].size() || wait.empty()) {
            respondRead(channel, topic, from);
        } else {
            const auto waiting = std::make_shared<Waiting>(Waiting{channel, topic, from});
            m_waiting.push_back(waiting);
            m_loop.after(std::stod(wait) / 1000, [this, waiting] {
                if (!std::exchange(waiting->done, true)) {
                    respondRead(waiting->channel, waiting->topic, waiting->from);
                }
            });
        }
    } else {
        channel->write(formatResponse(404, era, "{}"));
    }
}

Server::Server(Loop &loop, Store &store, std::string id, std::string service, std::string stage, int slots, Run run)
    : id(std::move(id))
    , m_loop(loop)
    , m_store(store)
    , m_service(std::move(service))
    , m_stage(std::move(stage))
    , m_slots(slots)
    , m_run(std::move(run))
    , m_listener(loop, [this](const ChannelPointer &channel, const Message &request) {
        handle(channel, request);
    })
{
    start();
    beat();
}

void Server::start()
{
    m_listener.start();
    m_born = unixMs();
    m_sequence = 0;
    isUp = true;
    registerSelf();
}

void Server::crash(double restartAfter)
{
    isUp = false;
    m_listener.crash();
    running = 0;
    m_loop.after(restartAfter, [this] {
        start();
    });
}

void Server::registerSelf()
{
    m_listed = true;
    m_lastBeat = now();
    std::string entry = "{\"service\":\"" + m_service + "\",\"address\":\"127.0.0.1:" + std::to_string(m_listener.port())
        + "\",\"zone\":\"z\",\"version\":\"1\",\"slots\":" + std::to_string(m_slots)
        + ",\"state\":\"ready\",\"cold_ms\":0,\"sequence\":" + std::to_string(++m_sequence) + ",\"born\":" + std::to_string(m_born);
    entry += m_stage.empty() ? "}" : ",\"stage\":\"" + m_stage + "\"}";
    m_store.put("keyed.servers", id, entry);
}

void Server::beat()
{
    m_loop.after(beatInterval, [this] {
        if (isUp) {
            registerSelf();
        } else if (m_listed && now() - m_lastBeat > missedBeats * beatInterval) {
            m_listed = false;
            m_store.put("keyed.servers", id, "");
        }
        beat();
    });
}

void Server::handle(const ChannelPointer &channel, const Message &request)
{
    Fields fields{{"Attempt-Id", request.field("Attempt-Id")}, {"Server-Load", std::to_string(running) + ",0," + std::to_string(m_slots)}};
    const std::string expected = request.field("Expect-Instance");
    if (!expected.empty() && expected != id) {
        fields.emplace_back("Not-Executed", "1");
        channel->write(formatResponse(421, fields, ""));
    } else if (request.path() == "/api/kv-list") {
        channel->write(formatResponse(200, fields, R"({"epoch":1,"next_token":0,"held":[]})"));
    } else if (request.path() == "/api/order") {
        m_stage = request.body.find("\"prefill\"") != std::string::npos ? "prefill" : "decode";
        channel->write(formatResponse(202, fields, "{}"));
        registerSelf();
    } else if (request.method == "DELETE") {
        channel->write(formatResponse(200, fields, "{}"));
    } else if (request.field("Serving-Stage") == "prefill" && m_stage != "prefill") {
        fields.emplace_back("Not-Executed", "1");
        channel->write(formatResponse(421, fields, ""));
    } else if (request.field("Serving-Stage") == "prefill") {
        channel->write(formatResponse(200,
                                      fields,
                                      "{\"transfer_handle\":\"" + id + "-" + std::to_string(m_born % 1000000) + "-" + std::to_string(++m_handles)
                                          + R"(","tokens":1,"version":1})"));
    } else if (m_stage == "prefill") {
        fields.emplace_back("Not-Executed", "1");
        channel->write(formatResponse(421, fields, ""));
    } else {
        fields.emplace_back("Server-Seal", "seal-" + id);
        m_run(*this, channel, request, std::move(fields));
    }
}

namespace
{

void writeEvent(Loop &loop, const ChannelPointer &channel, int event, const EventPlan &plan, std::function<void()> done)
{
    if (!channel->isOpen() || event > plan.events) {
        channel->write("0\r\n\r\n");
        done();
        return;
    }
    const std::string text = "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event)
        + std::string(plan.padding ? plan.padding(event) : 0, 'x') + "\n\n";
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    channel->write(size.data() + text + "\r\n");
    loop.after(plan.gap, [&loop, channel, event, plan, done = std::move(done)]() mutable {
        writeEvent(loop, channel, event + 1, plan, std::move(done));
    });
}

} // namespace

void writeEvents(Loop &loop, const ChannelPointer &channel, const Message &request, const Fields &fields, const EventPlan &plan, std::function<void()> done)
{
    channel->write("HTTP/1.1 200 OK\r\n" + formatFields(fields) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string last = request.field("Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    loop.after(plan.first, [&loop, channel, first, plan, done = std::move(done)]() mutable {
        writeEvent(loop, channel, first, plan, std::move(done));
    });
}

struct Client::State : std::enable_shared_from_this<Client::State>
{
    State(Loop &ownLoop, std::string ownAddress, std::uint16_t ownPort) : loop(ownLoop), address(std::move(ownAddress)), port(ownPort) { }

    void end()
    {
        if (const auto callback = std::exchange(done, nullptr)) {
            answer.ended = now();
            callback(answer);
        }
    }

    /** Consumes what has come of the body; true at its end. */
    bool takeBody()
    {
        if (!chunked) {
            const std::size_t part = std::min(left, channel->input.size());
            answer.body += storesBody ? channel->input.substr(0, part) : "";
            channel->input.erase(0, part);
            left -= part;
            return left == 0;
        }
        while (true) {
            const auto line = channel->input.find("\r\n");
            if (line == std::string::npos) {
                return false;
            }
            const std::size_t size = std::stoul(channel->input.substr(0, line), nullptr, 16);
            if (channel->input.size() < line + 2 + size + 2) {
                return false;
            }
            answer.body += channel->input.substr(line + 2, size);
            channel->input.erase(0, line + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    void receive()
    {
        if (!done) {
            return;
        }
        if (!headRead) {
            std::string startLine;
            Message head;
            const std::size_t size = parseHead(channel->input, startLine, head.fields);
            if (size == 0) {
                return;
            }
            channel->input.erase(0, size);
            headRead = true;
            answer.status = std::atoi(startLine.c_str() + startLine.find(' ') + 1); // NOLINT(cert-err34-c)
            chunked = equalNames(head.field("Transfer-Encoding"), "chunked");
            const std::string length = head.field("Content-Length");
            left = length.empty() ? 0 : std::stoul(length);
            closes = equalNames(head.field("Connection"), "close");
        }
        if (takeBody()) {
            answer.complete = true;
            const ChannelPointer finished = closes ? std::exchange(channel, nullptr) : nullptr;
            if (finished) {
                finished->onClosed = nullptr;
                finished->close();
            }
            end();
        }
    }

    void connect()
    {
        const int handle = newSocket();
        if (rate > 0) {
            constexpr int smallBuffer = 32768;
            ::setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &smallBuffer, sizeof smallBuffer);
        }
        const sockaddr_in peer = addressOf(address, port);
        static_cast<void>(::connect(handle, reinterpret_cast<const sockaddr *>(&peer), sizeof peer)); // the channel reports its end
        channel = std::make_shared<Channel>(loop, handle, false);
        const std::weak_ptr<State> weak = weak_from_this();
        channel->onInput = [weak] {
            if (const auto state = weak.lock()) {
                state->receive();
            }
        };
        channel->onClosed = [weak] {
            if (const auto state = weak.lock()) {
                state->answer.closed = state->done != nullptr;
                state->end();
            }
        };
        channel->start();
        if (rate > 0) {
            channel->readSlowly();
            readOn();
        }
    }

    void readOn()
    {
        constexpr double step = 0.1;
        const std::weak_ptr<State> weak = weak_from_this();
        loop.after(step, [weak] {
            const auto state = weak.lock();
            if (state && state->channel && state->channel->isOpen()) {
                const ChannelPointer reading = state->channel;
                reading->readSome(static_cast<std::size_t>(state->rate * step));
                state->readOn();
            }
        });
    }

    Loop &loop;
    std::string address;
    std::uint16_t port;
    ChannelPointer channel;
    Answer answer;
    Done done;
    double rate = 0;
    int number = 0;
    bool headRead = false;
    bool chunked = false;
    bool closes = false;
    bool storesBody = true;
    std::size_t left = 0;
};

Client::Client(Loop &loop, std::string address, std::uint16_t port) : m_state(std::make_shared<State>(loop, std::move(address), port)) { }

Client::~Client()
{
    m_state->done = nullptr;
    if (m_state->channel) {
        m_state->channel->onClosed = nullptr;
        m_state->channel->close();
    }
}

void Client::readSlowly(double rate)
{
    m_state->rate = rate;
    m_state->storesBody = false;
}

void Client::send(const std::string &method, const std::string &path, const Fields &fields, const std::string &body, double limit, Done done)
{
    State &state = *m_state;
    state.answer = {};
    state.answer.sent = now();
    for (const auto &[name, value] : fields) {
        state.answer.id = name == "Attempt-Id" ? value : state.answer.id;
    }
    state.done = std::move(done);
    state.headRead = false;
    const int number = ++state.number;
    if (!state.channel || !state.channel->isOpen()) {
        state.connect();
    }
    std::string request = method + " " + path + " HTTP/1.1\r\nHost: a.example\r\n" + formatFields(fields);
    request += method == "GET" ? "\r\n" : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    state.channel->write(request);
    const std::weak_ptr<State> weak = m_state;
    state.loop.after(limit, [weak, number] {
        const auto self = weak.lock();
        if (self && self->number == number && self->done) {
            const ChannelPointer given = std::exchange(self->channel, nullptr);
            given->onClosed = nullptr;
            given->close(true);
            self->end();
        }
    });
}

Fields clientFields(const std::string &id, int deadlineMs)
{
    return {{"Attempt-Id", id}, {"Deadline-Ms", std::to_string(deadlineMs)}, {"X-Api-Key", "key-1"}};
}

Entry::Entry(std::string folder, int number, std::uint16_t store, const Bounds &bounds)
    : m_folder(std::move(folder))
    , m_number(number)
    , m_address("127.0.7." + std::to_string(10 + number)) // an address of its own, as machines have
    , m_port(freePort(m_address))
    , m_readyPort(freePort(m_address))
{
    const std::uint16_t peers = freePort(m_address);
    std::ofstream file(m_folder + "/entry-" + std::to_string(m_number) + ".toml");
    file << "node_name = \"edge-z-" << m_number << "\"\nrole = \"entry\"\nmachine_class = \"edge\"\nserves = [\"edge\"]\nip = \"" << m_address
         << "\"\nzone = \"z\"\nregion = \"r\"\nport_range = [" << peers << "," << peers + 15 << "]\nheartbeat_ms = 1200\n[listen]\nfront = \"" << m_address
         << ":" << m_port << "\"\nready = \"" << m_address << ":" << m_readyPort << "\"\n[limits]\ncpu_share = 0.19\ncores = 1\nmemory_mb = " << bounds.memoryMb
         << "\nmax_fds = 4100\n[bounds]\ncontact_ms = " << bounds.contactMs << "\ndrain_ms = " << bounds.drainMs
         << "\ngrace_s = 8\nconfig_ms = " << bounds.configMs
         << "\nlease_ms = 3000\nreport_window_s = 5\nusage_late_s = 10\nbudget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 58\n[platform]\naddress = "
            "\"127.0.0.1:"
         << store << "\"\n[cloud]\naddress = \"127.0.0.1:" << store << "\"\nduties = [\"usage_report\"]\n";
}

Entry::~Entry()
{
    kill();
}

void Entry::start()
{
    const std::string number = std::to_string(m_number);
    const std::string settings = "SNIPEHILL_SETTINGS=" + m_folder + "/entry-" + number + ".toml";
    const std::string log = m_folder + "/entry-" + number + ".log";
    m_startedAt = now();
    m_process = ::fork();
    if (m_process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // also if the case itself is killed
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        constexpr rlim_t descriptors = 4100;
        const rlimit files{descriptors, descriptors};
        ::setrlimit(RLIMIT_NOFILE, &files);
        std::array<char *, 4> arguments{const_cast<char *>("target/src/snipehilld"), const_cast<char *>("--platform-entry"), nullptr};
        std::array<char *, 3> environment{const_cast<char *>("PATH=/usr/bin:/bin"), const_cast<char *>(settings.c_str()), nullptr};
        ::execve(arguments[0], arguments.data(), environment.data());
        ::_exit(2);
    }
}

void Entry::kill()
{
    if (m_process > 0) {
        ::kill(m_process, SIGKILL);
        ::waitpid(std::exchange(m_process, -1), nullptr, 0);
    }
}

bool Entry::isRunning()
{
    if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process) {
        m_process = -1;
    }
    return m_process > 0;
}

int Entry::memoryMb() const
{
    std::ifstream file("/proc/" + std::to_string(m_process) + "/status");
    std::string name;
    while (file >> name) {
        if (name == "RssAnon:") {
            int kilobytes = 0;
            file >> kilobytes;
            return kilobytes / 1024;
        }
    }
    return 0;
}

bool Entry::isReady() const
{
    return askBriefly(m_address, m_readyPort, "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200");
}

std::string Entry::address() const
{
    return m_address;
}

std::uint16_t Entry::port() const
{
    return m_port;
}

double Entry::startedAt() const
{
    return m_startedAt;
}

bool waitUntilReady(Loop &loop, const std::vector<std::unique_ptr<Entry>> &entries)
{
    constexpr double limit = 20;
    constexpr double step = 0.05;
    const double until = now() + limit;
    const auto ready = [&entries] {
        return std::all_of(entries.begin(), entries.end(), [](const auto &entry) {
            return entry->isReady();
        });
    };
    while (now() < until) {
        loop.run(step);
        if (ready()) {
            return true;
        }
    }
    return false;
}

TemporaryFolder::TemporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(name.data())) {
        cannotRun("temporary folder");
    }
    m_path = name;
}

TemporaryFolder::~TemporaryFolder()
{
    if (const char *kept = std::getenv("KEEP"); !kept) { // NOLINT(concurrency-mt-unsafe)
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
}

const std::string &TemporaryFolder::path() const
{
    return m_path;
}

Record::Record(const std::string &file) : m_file(std::fopen(file.c_str(), "w"))
{
    if (!m_file) {
        cannotRun(file);
    }
}

Record::~Record()
{
    std::fclose(m_file);
}

void Record::line(const std::string &text)
{
    std::fprintf(m_file, "%s\n", text.c_str());
}

void Record::note(const std::string &text)
{
    line(text);
    std::printf("%s\n", text.c_str());
}

} // namespace rig
