#pragma once

#include "stage.h"

#include <optional>

namespace stage
{

/** A small deployment: the project's stand-in of the store, entries as processes, and whatever servers a case adds. */
class Fleet
{
public:
    /** Takes the path of record.txt from the arguments and TROUBLE from the environment, and starts the store. */
    Fleet(int argc, char **argv);

    bool trouble() const;
    std::uint16_t storePort() const;
    const std::string &folder() const;
    Record &record();

    /** Starts an entry with the command of the deploy file, on its own loopback address. */
    std::size_t addEntry(const std::string &name, long memoryMb = 260);
    /** Starts an entry again that has ended. */
    void restart(std::size_t entry);
    const EntryOptions &options(std::size_t entry) const;
    pid_t process(std::size_t entry) const;
    Processes &processes();

    void publishConfig(const std::string &json);
    void publishServer(const std::string &id, const std::string &json);
    bool waitAllReady(std::int64_t timeoutMs);

    /** Ends the program at once with the result: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    [[noreturn]] void finish(int result, const std::string &why);

private:
    void launch(std::size_t entry);

    struct Entry
    {
        EntryOptions options;
        std::string settings;
        pid_t process = -1;
    };

    std::string m_folder;
    Record m_record;
    bool m_trouble = true;
    std::uint16_t m_storePort = 0;
    std::vector<Entry> m_entries;
    std::optional<Processes> m_processes;
};

/** Entry of a server in the store. */
std::string serverJson(const std::string &service, std::uint16_t port, const std::string &stage, std::int64_t born);

/** A request as its client sees it. */
struct Outcome
{
    std::int64_t sentAt = 0;
    std::int64_t firstAt = -1; //!< first byte of the answer
    std::int64_t endedAt = -1; //!< end of the answer or of the channel; -1: neither came while the client waited
    int status = 0;
    bool complete = false;
    std::size_t bytes = 0;
    std::string body; //!< its first bytes
};

struct Ask
{
    std::string method = "POST";
    std::string path;
    std::string id;
    std::int64_t deadlineMs = 3000;
    std::string key;
    std::string headers; //!< further lines, each with its CR LF
    std::string body;
    std::int64_t waitMs = 8000; //!< how long the client keeps the channel
    std::int64_t pauseMs = 0; //!< between two reads of up to 64 KB
};

/** Sends a request on a new channel and reads its answer, whatever it is, at the pace of the client. */
Outcome askEntry(const EntryOptions &entry, const Ask &ask);

} // namespace stage
