#pragma once

#include <core/time.h>

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace snipehill::support
{

/**
 * A program started by a test, addressed by its process id only. Killed and reaped when the object goes.
 * To be started by the main thread: the program ends with the thread that started it. Used by one thread.
 */
class ChildProcess
{
public:
    /** Starts a program; what it prints goes to the file. Throws when it can't be started. */
    ChildProcess(std::string program, std::vector<std::string> arguments, const std::string &outputFile);
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t id() const noexcept;
    bool running();
    /** Sends a signal, unless the process has ended. */
    void signal(int number);
    /** SIGSTOP, and waits until the process stands still. Nothing happens when it does already. */
    void pause();
    /** SIGCONT. */
    void resume();
    /** SIGKILL, and waits for the end. */
    void kill();
    /** Waits for the end; the exit code, 128 + the number of the signal that ended it, or empty after the bound. */
    std::optional<int> waitForExit(milliseconds timeout);

private:
    bool reap(int options);
    void recordExit(int status);

    pid_t m_id = -1; //!< -1: reaped
    int m_exitCode = -1;
    bool m_paused = false;
};

/** A port of 127.0.0.1 that was free a moment ago; not given twice by one test program. */
std::uint16_t freePort();

/** Folder of its own under the system's temporary folder, removed with all it holds when the object goes. */
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;
    /** Path of a file in the folder. */
    std::string file(const std::string &name) const;
    /** Leaves the folder where it is, for a look at what went wrong. */
    void keep() noexcept;

private:
    std::string m_path;
    bool m_kept = false;
};

} // namespace snipehill::support
