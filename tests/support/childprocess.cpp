#include "childprocess.h"

#include "wait.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <mutex>
#include <stdexcept>
#include <utility>

namespace snipehill::support
{

namespace
{

bool canBind(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool isBound = bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    close(descriptor);
    return isBound;
}

} // namespace

ChildProcess::ChildProcess(std::string program, std::vector<std::string> arguments, const std::string &outputFile, std::vector<std::string> variables)
{
    std::vector<char *> environment(variables.size());
    std::transform(variables.begin(), variables.end(), environment.begin(), [](std::string &variable) {
        return variable.data();
    });
    for (char **variable = environ; *variable != nullptr; ++variable) {
        environment.push_back(*variable);
    }
    environment.push_back(nullptr);
    std::vector<char *> argv{program.data()};
    for (std::string &argument : arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    const pid_t parent = getpid();
    m_id = fork();
    if (m_id < 0) {
        throw std::runtime_error("fork failed");
    }
    if (m_id > 0) {
        return;
    }
    // The child ends with the test program, also when that is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(1);
    }
    const int output = open(outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // The child must not inherit sockets of the test, such as those of its relays.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execve(program.c_str(), argv.data(), environment.data());
    _exit(127);
}

ChildProcess::~ChildProcess()
{
    kill();
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept : m_id(std::exchange(other.m_id, -1)), m_exitCode(other.m_exitCode), m_paused(other.m_paused) { }

ChildProcess &ChildProcess::operator=(ChildProcess &&other) noexcept
{
    if (this != &other) {
        kill();
        m_id = std::exchange(other.m_id, -1);
        m_exitCode = other.m_exitCode;
        m_paused = other.m_paused;
    }
    return *this;
}

pid_t ChildProcess::id() const noexcept
{
    return m_id;
}

bool ChildProcess::reap(int options)
{
    int status = 0;
    if (m_id < 0 || waitpid(m_id, &status, options) != m_id) {
        return m_id < 0;
    }
    recordExit(status);
    return true;
}

void ChildProcess::recordExit(int status)
{
    m_id = -1;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

bool ChildProcess::running()
{
    return !reap(WNOHANG);
}

void ChildProcess::signal(int number)
{
    if (running()) {
        ::kill(m_id, number);
    }
}

void ChildProcess::pause()
{
    if (m_paused || !running()) {
        return;
    }
    ::kill(m_id, SIGSTOP);
    int status = 0;
    m_paused = waitpid(m_id, &status, WUNTRACED) == m_id && WIFSTOPPED(status);
    if (!m_paused) {
        recordExit(status);
    }
}

void ChildProcess::resume()
{
    m_paused = false;
    signal(SIGCONT);
}

void ChildProcess::kill()
{
    signal(SIGKILL);
    reap(0);
}

std::optional<int> ChildProcess::waitForExit(milliseconds timeout)
{
    const bool ended = waitUntil(
        [this] {
            return !running();
        },
        timeout);
    if (!ended) {
        return std::nullopt;
    }
    return m_exitCode;
}

std::uint16_t freePort()
{
    // Below the ephemeral range, so that no outgoing connection takes the port before the process listens on it.
    constexpr int firstPort = 20000;
    constexpr int ports = 12000;
    constexpr int spread = 997; // concurrent test programs start further apart than the number of ports one of them uses
    static std::mutex lock;
    const std::lock_guard guard(lock);
    static int next = getpid() * spread % ports;
    for (int tried = 0; tried < ports; ++tried) {
        const auto port = static_cast<std::uint16_t>(firstPort + next);
        next = (next + 1) % ports;
        if (canBind(port)) {
            return port;
        }
    }
    throw std::runtime_error("no free port on 127.0.0.1");
}

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "snipehill-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("could not create a temporary folder");
    }
    m_path = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    if (!m_kept) {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
}

std::string TemporaryFolder::file(const std::string &name) const
{
    return m_path + "/" + name;
}

void TemporaryFolder::keep() noexcept
{
    m_kept = true;
}

} // namespace snipehill::support
