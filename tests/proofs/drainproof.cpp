#include "support/directcluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <sys/stat.h>

#include <csignal>
#include <fstream>
#include <string>
#include <vector>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

namespace asio = boost::asio;

const std::string daemonProgram = std::string(SNIPEHILL_BIN_DIR) + "/src/snipehilld";
constexpr milliseconds exitTimeout{12000};

void makeReady(DirectCluster &host, const std::string &configuration)
{
    host.publish(configuration);
    const bool ready = host.waitUntilReady(0);
    INFO(host.logOf(0));
    REQUIRE(ready);
}

} // namespace

// Guards against a process that ends while it receives a request, since no handler runs yet.
TEST_CASE("A request that is being received when the listener closes is answered", "[direct][drain]")
{
    DirectCluster host({{"p1", "plain", ""}}, 1);
    makeReady(host, defaultConfiguration(1));
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(host.callers(0).address), host.callers(0).port});
    host.entries[0].signal(SIGTERM);
    sleepFor(milliseconds(3000)); // the listener closes 4 s after the signal
    const std::string head
        = "POST /post/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r1\r\nDeadline-Ms: 6000\r\nX-Api-Key: key-1\r\nContent-Length: 3\r\n\r\nf";
    asio::write(socket, asio::buffer(head));
    sleepFor(milliseconds(1800));
    boost::system::error_code error;
    asio::write(socket, asio::buffer(std::string("ee")), error);
    std::string response;
    asio::read(socket, asio::dynamic_buffer(response), error);
    INFO(host.logOf(0));
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(host.entries[0].waitForExit(exitTimeout) == 0);
}

// Guards against a SIGHUP that ends a process which hasn't installed its signal handlers yet.
TEST_CASE("SIGHUP during the start does not end the process", "[direct][drain]")
{
    const TemporaryFolder folder;
    const std::string settings = folder.file("settings");
    REQUIRE(::mkfifo(settings.c_str(), 0600) == 0);
    ::setenv("SNIPEHILL_SETTINGS", settings.c_str(), 1);
    ChildProcess process(daemonProgram, std::vector<std::string>{"--platform-entry"}, folder.file("out"));
    std::ofstream writer(settings); // opens once the process reads its settings
    process.signal(SIGHUP);
    sleepFor(milliseconds(100));
    CHECK(process.running());
    writer.close();
    CHECK(process.waitForExit(exitTimeout) == 1); // the settings are empty
}
