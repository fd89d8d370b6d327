#pragma once

#include <sys/types.h>
#include <unistd.h>

#include <cstdint>
#include <fstream>
#include <sstream>
#include <string>

namespace snipehill::bench
{

/** CPU time of a process in seconds; 0 if it has exited. */
inline double processorSeconds(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    std::getline(file, text);
    // Fields after the program name in parentheses; user and system time are the 12th and 13th of them.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/** Resident memory of a process in MB (1024 * 1024 bytes). */
inline double residentMegabytes(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

/** Bytes received on the loopback interface, IP and TCP headers included. */
inline double loopbackBytes()
{
    std::ifstream file("/proc/net/dev");
    std::string line;
    while (std::getline(file, line)) {
        const auto name = line.find("lo:");
        if (name != std::string::npos) {
            return std::stod(line.substr(name + 3));
        }
    }
    return 0;
}

} // namespace snipehill::bench
