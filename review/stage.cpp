#include "stage.h"

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iomanip>
#include <sstream>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stage
{

namespace
{

const Clock::time_point start = Clock::now();

sockaddr_in addressOf(const std::string &address, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

std::string trimmed(const std::string &text)
{
    const auto first = text.find_first_not_of(" \t");
    return first == std::string::npos ? std::string() : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool fillTo(Channel &channel, std::size_t size, std::int64_t until)
{
    while (channel.buffer.size() < size) {
        const std::string piece = channel.readSome(until - nowMs());
        if (piece.empty()) {
            return false;
        }
        channel.buffer += piece;
    }
    return true;
}

bool readLine(Channel &channel, std::string &line, std::int64_t until)
{
    std::size_t end = 0;
    while ((end = channel.buffer.find("\r\n")) == std::string::npos) {
        const std::string piece = channel.readSome(until - nowMs());
        if (piece.empty()) {
            return false;
        }
        channel.buffer += piece;
    }
    line = channel.buffer.substr(0, end);
    channel.buffer.erase(0, end + 2);
    return true;
}

bool readChunks(Channel &channel, std::string &body, std::int64_t until)
{
    std::string line;
    while (readLine(channel, line, until)) {
        const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (size == 0) {
            return readLine(channel, line, until);
        }
        if (!fillTo(channel, size + 2, until)) {
            body += channel.buffer;
            return false;
        }
        body += channel.buffer.substr(0, size);
        channel.buffer.erase(0, size + 2);
    }
    return false;
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - start).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(milliseconds(std::max<std::int64_t>(0, ms)));
}

Record::Record(const std::string &path) : m_file(path) { }

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_lock);
    m_file << std::setw(7) << nowMs() << " " << text << std::endl;
}

Channel::Channel(int descriptor) : m_descriptor(descriptor)
{
    if (m_descriptor >= 0) {
        const int on = 1;
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
}

Channel::~Channel()
{
    close();
}

Channel::Channel(Channel &&other) noexcept : buffer(std::move(other.buffer)), m_descriptor(std::exchange(other.m_descriptor, -1)), m_timedOut(other.m_timedOut)
{
}

Channel &Channel::operator=(Channel &&other) noexcept
{
    close();
    buffer = std::move(other.buffer);
    m_descriptor = std::exchange(other.m_descriptor, -1);
    m_timedOut = other.m_timedOut;
    return *this;
}

Channel Channel::connectTo(const std::string &address, std::uint16_t port, std::int64_t timeoutMs)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in peer = addressOf(address, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) != 0) {
        pollfd poll{descriptor, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&poll, 1, static_cast<int>(timeoutMs)) != 1 || ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0
            || error != 0) {
            ::close(descriptor);
            return Channel();
        }
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return Channel(descriptor);
}

bool Channel::isOpen() const
{
    return m_descriptor >= 0;
}

bool Channel::sendAll(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string Channel::readSome(std::int64_t timeoutMs)
{
    m_timedOut = false;
    pollfd poll{m_descriptor, POLLIN, 0};
    if (m_descriptor < 0 || ::poll(&poll, 1, static_cast<int>(std::max<std::int64_t>(0, timeoutMs))) != 1) {
        m_timedOut = true;
        return {};
    }
    std::string bytes(65536, '\0');
    const ssize_t count = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
    bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return bytes;
}

bool Channel::timedOut() const
{
    return m_timedOut;
}

int Channel::descriptor() const
{
    return m_descriptor;
}

void Channel::close()
{
    if (m_descriptor >= 0) {
        ::close(std::exchange(m_descriptor, -1));
    }
}

void Channel::reset()
{
    if (m_descriptor >= 0) {
        const linger now{1, 0};
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    close();
}

std::string Message::header(const std::string &name) const
{
    const auto found = headers.find(lowered(name));
    return found == headers.end() ? std::string() : found->second;
}

Message readMessage(Channel &channel, bool isRequest, std::int64_t timeoutMs, bool headOnly)
{
    const std::int64_t until = nowMs() + timeoutMs;
    Message message;
    std::string line;
    if (!readLine(channel, message.start, until)) {
        return message;
    }
    while (readLine(channel, line, until) && !line.empty()) {
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            message.headers[lowered(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
        }
    }
    std::istringstream words(message.start);
    std::string first;
    std::string second;
    words >> first >> second;
    message.valid = line.empty() && !second.empty();
    if (isRequest) {
        message.method = first;
        message.target = second;
    } else {
        message.status = std::atoi(second.c_str());
    }
    if (headOnly || !message.valid) {
        return message;
    }
    if (lowered(message.header("Transfer-Encoding")) == "chunked") {
        message.complete = readChunks(channel, message.body, until);
    } else if (!message.header("Content-Length").empty()) {
        const std::size_t size = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
        message.complete = fillTo(channel, size, until);
        message.body = channel.buffer.substr(0, size);
        channel.buffer.erase(0, size);
    } else {
        message.complete = true;
    }
    return message;
}

Listener::Listener(std::string address, std::uint16_t port, Handler handler) : m_handler(std::move(handler))
{
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in own = addressOf(address, port);
    if (::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0 || ::listen(m_descriptor, 512) != 0) {
        return;
    }
    socklen_t size = sizeof own;
    ::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&own), &size);
    m_port = ntohs(own.sin_port);
    m_thread = std::thread([this] {
        while (!m_stopped) {
            pollfd poll{m_descriptor, POLLIN, 0};
            if (::poll(&poll, 1, 50) != 1) {
                continue;
            }
            const int accepted = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0) {
                std::thread([handler = m_handler, accepted] {
                    handler(Channel(accepted));
                }).detach();
            }
        }
    });
}

Listener::~Listener()
{
    stop();
}

std::uint16_t Listener::port() const
{
    return m_port;
}

void Listener::stop()
{
    m_stopped = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    if (m_descriptor >= 0) {
        ::close(std::exchange(m_descriptor, -1));
    }
}

Processes::~Processes()
{
    for (const pid_t process : m_running) {
        ::kill(process, SIGCONT);
        ::kill(process, SIGKILL);
    }
    for (const pid_t process : m_running) {
        ::waitpid(process, nullptr, 0);
    }
}

pid_t Processes::start(const std::vector<std::string> &command, const std::vector<std::string> &environment, const std::string &log)
{
    std::vector<char *> words;
    words.reserve(command.size() + 1);
    for (const std::string &word : command) {
        words.push_back(const_cast<char *>(word.c_str()));
    }
    words.push_back(nullptr);
    std::vector<char *> variables;
    variables.reserve(environment.size() + 1);
    for (const std::string &variable : environment) {
        variables.push_back(const_cast<char *>(variable.c_str()));
    }
    variables.push_back(nullptr);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t process = ::fork();
    if (process == 0) {
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execve(words[0], words.data(), variables.data());
        ::_exit(127);
    }
    ::close(output);
    m_running.push_back(process);
    return process;
}

void Processes::signal(pid_t process, int number)
{
    ::kill(process, number);
}

bool Processes::waitFor(pid_t process, std::int64_t timeoutMs, int *status)
{
    const std::int64_t until = nowMs() + timeoutMs;
    int own = 0;
    while (nowMs() <= until) {
        if (::waitpid(process, &own, WNOHANG) == process) {
            m_running.erase(std::find(m_running.begin(), m_running.end(), process));
            if (status) {
                *status = own;
            }
            return true;
        }
        sleepMs(20);
    }
    return false;
}

std::uint16_t freePort(const std::string &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in own = addressOf(address, 0);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0) {
        ::close(descriptor);
        return 0;
    }
    socklen_t size = sizeof own;
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&own), &size);
    ::close(descriptor);
    return ntohs(own.sin_port);
}

std::string makeFolder()
{
    std::string name = "/tmp/snipehill-review-XXXXXX";
    return ::mkdtemp(name.data()) ? name : std::string("/tmp");
}

long peakMemoryOf(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string word; status >> word;) {
        if (word == "VmHWM:") {
            long kilobytes = 0;
            status >> kilobytes;
            return kilobytes;
        }
    }
    return -1;
}

bool putRecord(std::uint16_t storePort, const std::string &topic, const std::string &key, const std::string &value)
{
    std::string record(4, '\0');
    const std::size_t length = 1 + key.size() + value.size();
    for (int i = 0; i < 4; ++i) {
        record[static_cast<std::size_t>(i)] = static_cast<char>(length >> (8 * (3 - i)) & 0xff);
    }
    record += static_cast<char>(key.size()) + key + value;
    Channel channel = Channel::connectTo("127.0.0.1", storePort, 1000);
    if (!channel.isOpen()) {
        return false;
    }
    channel.sendAll("POST /api/log-append?topic=" + topic
                    + "&part=0 HTTP/1.1\r\nHost: store\r\nConnection: close\r\nContent-Length: " + std::to_string(record.size()) + "\r\n\r\n" + record);
    return readMessage(channel, false, 2000).status == 200;
}

std::string writeSettings(const std::string &folder, const EntryOptions &options)
{
    std::string path = folder + "/" + options.name + ".toml";
    std::ofstream file(path);
    file << "node_name = \"" << options.name << "\"\nrole = \"entry\"\nzone = \"" << options.zone << "\"\nregion = \"r\"\nport_range = [" << options.peers
         << ", " << options.peers + 1 << "]\nheartbeat_ms = 1200\n[listen]\nfront = \"" << options.address << ":" << options.front << "\"\nready = \""
         << options.address << ":" << options.ready << "\"\n[limits]\ncpu_share = 0.19\ncores = 1\nmemory_mb = " << options.memoryMb
         << "\nmax_fds = 4100\n[bounds]\ncontact_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 2000\n"
            "rollback_slack_ms = 250\nmax_skew_ms = 5000\nbudget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 52\nlease_ms = 3000\nthaw_ms = 300\n"
            "report_window_s = 5\nusage_late_s = 10\nusage_tolerance = 0.05\nrecover_s = 12\n"
         << options.bounds << "[platform]\naddress = \"127.0.0.1:" << options.store << "\"\nform = \"log\"\nkeep_s = 20\n";
    if (!options.cloud.empty()) {
        file << "[cloud]\naddress = \"" << options.cloud << "\"\nrate_per_s = 50.0\nduties = [\"usage_report\"]\nduty_per_s = 50.0\n";
    }
    return path;
}

bool waitReady(const EntryOptions &options, std::int64_t timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    while (nowMs() < until) {
        Channel channel = Channel::connectTo(options.address, options.ready, 500);
        if (channel.isOpen()) {
            channel.sendAll("GET /api/ready HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n");
            if (readMessage(channel, false, 1000).status == 200) {
                return true;
            }
        }
        sleepMs(50);
    }
    return false;
}

} // namespace stage
