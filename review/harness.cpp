#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <thread>
#include <utility>

namespace review
{

namespace
{

constexpr std::size_t chunkBytes = 65536;
constexpr const char *program = "target/src/snipehilld"; // as in the deploy file
constexpr std::size_t pageRecords = 500; // largest page of log-newest
constexpr std::size_t pageBytes = 1U << 20U;
constexpr std::string_view headEnd = "\r\n\r\n";

struct Endpoint
{
    std::string ip;
    int port = 0;
};

Endpoint parseAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    return {address.substr(0, colon), std::atoi(address.c_str() + colon + 1)};
}

sockaddr_in socketAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
    inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
    return address;
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text += static_cast<char>(value >> static_cast<unsigned>(shift));
    }
    return text;
}

std::string base64(const std::string &bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return text;
}

std::string quoted(const std::string &text)
{
    std::string result = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            result += '\\';
        }
        result += c;
    }
    return result + "\"";
}

/** Decodes the percent signs of a query value. */
std::string decoded(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    std::stringstream query(target.substr(std::min(target.size(), target.find('?') + 1)));
    for (std::string part; std::getline(query, part, '&');) {
        if (part.starts_with(name + "=")) {
            return decoded(part.substr(name.size() + 1));
        }
    }
    return {};
}

std::string httpAnswer(int status, const std::string &type, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nStore-Era: 1\r\nContent-Type: " + type + "\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/** Key and value of a record of a keyed topic. */
std::pair<std::string, std::string> splitKeyed(const std::string &record)
{
    const std::size_t length = record.empty() ? 0 : static_cast<unsigned char>(record[0]);
    return {record.substr(std::min<std::size_t>(1, record.size()), length), record.size() > 1 + length ? record.substr(1 + length) : std::string()};
}

/** Reads until the head is complete; takes it from the buffer. */
std::optional<std::string> takeHead(Connection &connection)
{
    auto end = connection.buffer.find(headEnd);
    while (end == std::string::npos) {
        if (!connection.receive()) {
            return std::nullopt;
        }
        end = connection.buffer.find(headEnd);
    }
    std::string head = connection.buffer.substr(0, end + 2);
    connection.buffer.erase(0, end + headEnd.size());
    return head;
}

/** Reads a number of bytes; fewer if the connection ends. */
std::string takeBytes(Connection &connection, std::size_t size)
{
    while (connection.buffer.size() < size && connection.receive()) { }
    std::string bytes = connection.buffer.substr(0, size);
    connection.buffer.erase(0, bytes.size());
    return bytes;
}

std::optional<std::string> takeLine(Connection &connection)
{
    auto end = connection.buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!connection.receive()) {
            return std::nullopt;
        }
        end = connection.buffer.find("\r\n");
    }
    std::string line = connection.buffer.substr(0, end);
    connection.buffer.erase(0, end + 2);
    return line;
}

} // namespace

Record::Record(const std::string &path) : m_file(path) { }

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_lock);
    const auto since = std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count();
    std::ostringstream stamped;
    stamped << since << " ms  " << text << '\n';
    m_file << stamped.str() << std::flush;
    std::cout << stamped.str() << std::flush;
}

Connection::~Connection()
{
    if (m_socket >= 0) {
        ::close(m_socket);
    }
}

Connection::Connection(Connection &&other) noexcept : buffer(std::move(other.buffer)), m_socket(std::exchange(other.m_socket, -1)) { }

bool Connection::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool Connection::receive()
{
    std::array<char, chunkBytes> chunk{};
    const auto size = ::recv(m_socket, chunk.data(), chunk.size(), 0);
    if (size <= 0) {
        return false;
    }
    buffer.append(chunk.data(), static_cast<std::size_t>(size));
    return true;
}

void Connection::limitReads(milliseconds timeout) const
{
    timeval time{};
    time.tv_sec = timeout.count() / 1000;
    time.tv_usec = timeout.count() % 1000 * 1000;
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

bool Connection::isClosedByPeer() const
{
    char byte = 0;
    const auto size = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Connection connectTo(const std::string &address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in peer = socketAddress(parseAddress(address));
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) != 0) {
        ::close(socket);
        return Connection(-1);
    }
    return Connection(socket);
}

std::string headerOf(const std::string &head, std::string_view name)
{
    std::stringstream lines(head);
    for (std::string line; std::getline(lines, line);) {
        const auto colon = line.find(':');
        const bool same = colon == name.size() && std::equal(name.begin(), name.end(), line.begin(), [](unsigned char a, unsigned char b) {
                              return std::tolower(a) == std::tolower(b);
                          });
        if (same) {
            const auto first = line.find_first_not_of(" \t", colon + 1);
            const auto last = line.find_last_not_of(" \t\r");
            return first == std::string::npos || last < first ? std::string() : line.substr(first, last - first + 1);
        }
    }
    return {};
}

std::optional<Message> readRequest(Connection &connection)
{
    auto head = takeHead(connection);
    if (!head) {
        return std::nullopt;
    }
    const auto length = static_cast<std::size_t>(std::atoll(headerOf(*head, "Content-Length").c_str()));
    std::string body = takeBytes(connection, length);
    if (body.size() < length) {
        return std::nullopt;
    }
    return Message{std::move(*head), std::move(body)};
}

Answer readAnswer(Connection &connection)
{
    Answer answer;
    const auto head = takeHead(connection);
    if (!head) {
        return answer;
    }
    answer.head = *head;
    answer.status = std::atoi(head->c_str() + std::min<std::size_t>(head->size(), 9));
    if (headerOf(*head, "Transfer-Encoding").empty()) {
        const auto length = static_cast<std::size_t>(std::atoll(headerOf(*head, "Content-Length").c_str()));
        answer.body = takeBytes(connection, length);
        answer.complete = answer.body.size() == length;
        return answer;
    }
    while (const auto line = takeLine(connection)) {
        const auto size = static_cast<std::size_t>(std::strtoull(line->c_str(), nullptr, 16));
        const std::string piece = takeBytes(connection, size);
        answer.body += piece;
        if (piece.size() < size || !takeLine(connection)) {
            return answer;
        }
        if (size == 0) {
            answer.complete = true;
            return answer;
        }
    }
    return answer;
}

Listener::Listener(Handler handler)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = socketAddress({"127.0.0.1", 0});
    socklen_t size = sizeof address;
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(socket, SOMAXCONN) != 0
        || ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        std::cerr << "cannot listen on 127.0.0.1\n";
        std::_Exit(2);
    }
    m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    std::thread([socket, handler = std::move(handler)] {
        while (true) {
            const int accepted = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([accepted, &handler] {
                Connection connection(accepted);
                handler(connection);
            }).detach();
        }
    }).detach();
}

Store::Store()
    : m_listener([this](Connection &connection) {
        handle(connection);
    })
{
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_lock);
    m_topics[topic].push_back(static_cast<char>(key.size()) + key + value);
}

void Store::handle(Connection &connection)
{
    while (const auto request = readRequest(connection)) {
        if (!connection.send(answer(*request))) {
            return;
        }
    }
}

std::string Store::answer(const Message &request)
{
    std::stringstream line(request.head);
    std::string method;
    std::string target;
    std::string version;
    line >> method >> target >> version;
    const std::string path = target.substr(0, target.find('?'));
    const std::string topic = queryValue(target, "topic");
    if (version.substr(0, version.find('/')) != "HTTP") {
        ++m_malformedRequests;
        return httpAnswer(400, "application/json", "{}");
    }
    if (path == "/api/log-append") {
        const std::lock_guard lock(m_lock);
        auto &records = m_topics[topic];
        const std::size_t first = records.size();
        for (std::size_t at = 0; at + 4 <= request.body.size();) {
            std::size_t size = 0;
            for (std::size_t k = 0; k < 4; ++k) {
                size = size << 8U | static_cast<unsigned char>(request.body[at + k]);
            }
            records.push_back(request.body.substr(at + 4, size));
            at += 4 + size;
        }
        return httpAnswer(200, "application/json", R"({"offset":)" + std::to_string(first) + R"(,"end_offset":)" + std::to_string(records.size()) + "}");
    }
    if (path == "/api/log-read") {
        return readRecords(topic,
                           std::strtoull(queryValue(target, "from").c_str(), nullptr, 10),
                           milliseconds(std::strtoll(queryValue(target, "wait_ms").c_str(), nullptr, 10)));
    }
    if (path == "/api/log-newest") {
        return readNewest(topic, queryValue(target, "after"));
    }
    return httpAnswer(404, "application/json", "{}");
}

std::string Store::readRecords(const std::string &topic, std::uint64_t from, milliseconds wait)
{
    const auto until = Clock::now() + wait;
    while (true) {
        {
            const std::lock_guard lock(m_lock);
            const auto &records = m_topics[topic];
            if (from < records.size() || Clock::now() >= until) {
                std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
                for (std::size_t i = from; i < records.size() && body.size() < pageBytes; ++i) {
                    body += bigEndian(records[i].size(), 4) + records[i];
                }
                return httpAnswer(200, "application/octet-stream", body);
            }
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
}

std::string Store::readNewest(const std::string &topic, const std::string &after)
{
    const std::lock_guard lock(m_lock);
    const auto &records = m_topics[topic];
    std::map<std::string, std::pair<std::size_t, std::string>> newest;
    for (std::size_t i = 0; i < records.size(); ++i) {
        const auto [key, value] = splitKeyed(records[i]);
        newest[key] = {i, value};
    }
    std::erase_if(newest, [](const auto &item) {
        return item.second.second.empty();
    });
    std::string items;
    std::size_t count = 0;
    std::size_t bytes = 0;
    auto item = after.empty() ? newest.begin() : newest.upper_bound(after);
    for (; item != newest.end() && count < pageRecords && bytes < pageBytes; ++item, ++count) {
        bytes += item->second.second.size();
        items += (items.empty() ? "" : ",") + (R"({"key":)" + quoted(item->first)) + R"(,"value":")" + base64(item->second.second) + R"(","offset":)"
            + std::to_string(item->second.first) + "}";
    }
    const std::string more = item != newest.end() ? "true" : "false";
    return httpAnswer(
        200, "application/json", R"({"items":[)" + items + R"(],"has_more":)" + more + R"(,"end_offset":)" + std::to_string(records.size()) + "}");
}

Entry::Entry(EntrySettings settings, std::string folder) : m_settings(std::move(settings)), m_folder(std::move(folder)) { }

Entry::~Entry()
{
    if (m_process > 0) {
        signal(SIGKILL);
        reap();
    }
}

void Entry::start()
{
    const std::string settingsFile = m_folder + "/" + m_settings.name + ".toml";
    const std::string logFile = m_folder + "/" + m_settings.name + ".log";
    std::ofstream(settingsFile) << "node_name = \"" << m_settings.name << "\"\nrole = \"entry\"\nmachine_class = \"edge\"\nserves = [\"edge\"]\nip = \""
                                << m_settings.ip << "\"\nzone = \"z\"\nregion = \"r\"\nport_range = [7660, 7675]\nheartbeat_ms = 1200\n[listen]\nfront = \""
                                << front() << "\"\nready = \"" << m_settings.ip << ":8406\"\n"
                                << "[limits]\ncpu_share = 0.19\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\n"
                                << "[bounds]\ncontact_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 2000\nlease_ms = 3000\n"
                                << "budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 52\nreport_window_s = 5\nusage_late_s = 10\n"
                                << "[platform]\naddress = \"" << m_settings.store << "\"\n";
    std::string variable = "SNIPEHILL_SETTINGS=" + settingsFile;
    std::string command = program;
    std::string option = "--platform-entry";
    const std::array<char *, 3> arguments{command.data(), option.data(), nullptr};
    const std::array<char *, 2> environment{variable.data(), nullptr};
    const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    m_process = ::fork();
    if (m_process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(program, arguments.data(), environment.data());
        ::_exit(2);
    }
    ::close(log);
}

void Entry::signal(int number) const
{
    if (m_process > 0) {
        ::kill(m_process, number);
    }
}

void Entry::reap()
{
    ::waitpid(m_process, nullptr, 0);
    m_process = -1;
}

bool Entry::hasEnded()
{
    if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process) {
        m_process = -1;
    }
    return m_process <= 0;
}

int Entry::readiness() const
{
    Connection connection = connectTo(m_settings.ip + ":8406");
    if (!connection.isOpen() || !connection.send("GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
        return 0;
    }
    connection.limitReads(milliseconds(1000));
    return readAnswer(connection).status;
}

bool Entry::waitUntilReady(milliseconds timeout) const
{
    const auto until = Clock::now() + timeout;
    while (Clock::now() < until) {
        if (readiness() == 200) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
}

long Entry::memory() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    for (std::string word; status >> word;) {
        if (word == "VmRSS:") {
            long kilobytes = 0;
            status >> kilobytes;
            return kilobytes;
        }
    }
    return 0;
}

std::string Entry::front() const
{
    return m_settings.ip + ":8405";
}

TemporaryFolder::TemporaryFolder()
{
    const char *base = std::getenv("TMPDIR");
    m_path = std::string(base != nullptr ? base : "/tmp") + "/snipehill-review-XXXXXX";
    if (::mkdtemp(m_path.data()) == nullptr) {
        std::cerr << "cannot create a temporary folder\n";
        std::_Exit(2);
    }
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::string ownAddress(int number)
{
    return "127." + std::to_string(1 + ::getpid() / 250 % 250) + "." + std::to_string(1 + ::getpid() % 250) + "." + std::to_string(number);
}

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string_view(trouble) != "0";
}

std::string configuration()
{
    return R"({"version":1,"routes":[)"
           R"({"name":"post","host":"a.example","path_prefix":"/post/","kind":"non_idempotent","service":"app","timeout_ms":3000,"goal_ms":300,"max_attempts":1,"priority":2},)"
           R"({"name":"read","host":"a.example","path_prefix":"/read/","kind":"idempotent","service":"app","timeout_ms":3000,"goal_ms":300,"max_attempts":2,"priority":2},)"
           R"({"name":"review","host":"a.example","path_prefix":"/review/","kind":"streaming","service":"llm","timeout_ms":8000,"goal_ms":600,"gap_goal_ms":200,)"
           R"("max_attempts":1,"priority":1,"session_affinity":true}],)"
           R"("services":[{"name":"app","max_conns":96},)"
           R"({"name":"llm","max_conns":360,"engine":{"slots":64,"kv_tokens":469137,"token_kv_bytes":327680,"link_mbps":2700000.0,"handle_ttl_s":5.0}}],)"
           R"("tenants":[{"name":"bureau","api_keys":["key-1"]}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":10000,"idle_timeout_ms":20000}})";
}

std::string serverEntry(const std::string &service, const std::string &address, const std::string &stage)
{
    return R"({"service":")" + service + R"(","address":")" + address
        + R"(","zone":"z","version":1,"slots":64,"state":"ready","cold_ms":0,"sequence":1,"born":1700000000000)"
        + (stage.empty() ? std::string() : R"(,"stage":")" + stage + "\"") + "}";
}

} // namespace review
