#pragma once

#include <core/time.h>

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace snipehill::support
{

/**
 * Child process, signalled by its process id only; the destructor kills and reaps it. The child is killed when the thread
 * that started it ends. Not thread-safe.
 */
class ChildProcess
{
public:
    /**
     * Starts a program with its output appended to the file. Throws std::runtime_error if fork fails.
     *
     * @param variables NAME=VALUE, in addition to the environment of this process
     */
    ChildProcess(std::string program, std::vector<std::string> arguments, const std::string &outputFile, std::vector<std::string> variables = {});
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t id() const noexcept;
    bool running();
    /** Sends a signal unless the process has exited. */
    void signal(int number);
    /** Sends SIGSTOP and waits until the process has stopped. Does nothing if it is stopped or has exited. */
    void pause();
    /** Sends SIGCONT. */
    void resume();
    /** Sends SIGKILL and waits for the exit. */
    void kill();
    /** Waits for the exit. Returns the exit code, 128 + the signal number if a signal ended the process, or nothing after the timeout. */
    std::optional<int> waitForExit(milliseconds timeout);

private:
    bool reap(int options);
    void recordExit(int status);

    pid_t m_id = -1; //!< -1 once reaped
    int m_exitCode = -1;
    bool m_paused = false;
};

/** A currently free port of 127.0.0.1. One process gets each port at most once, until the range is used up. Thread-safe. */
std::uint16_t freePort();

/** New folder in the system's temporary directory; the destructor removes it with its contents. */
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;
    /** Path of a file in the folder. */
    std::string file(const std::string &name) const;
    /** Keeps the folder after destruction, to inspect a failure. */
    void keep() noexcept;

private:
    std::string m_path;
    bool m_kept = false;
};

} // namespace snipehill::support
