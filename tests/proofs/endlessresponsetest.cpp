#include "support/directcluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <fstream>
#include <list>
#include <string>
#include <thread>
#include <vector>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

constexpr long maxEntryKilobytes = 160 * 1024; // memory of the smallest instance that entries run on
constexpr int callsBefore = 40; // each adds to the retry budget
constexpr milliseconds within{4500}; // for each request; their deadline is 5 s

/** Largest memory that a process has had, in kilobytes. */
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

} // namespace

// Guards against targets that send bytes without end: memory without bound, and requests that wait until their deadline.
TEST_CASE("A response that never ends is given up within bounds, and the request goes on elsewhere", "[endless]")
{
    struct Case
    {
        const char *what;
        const char *path;
        const char *faults;
        int callers; //!< at once; for the slow case as many as the retry budget moves to the other engine
    };
    const std::vector<Case> cases{
        {"body of a look-up", "/read/x", R"({"endless": 1000000})", 24},
        {"event of a stream", "/ask/x", R"({"endless": 1000000})", 24},
        {"event of a stream, a byte at a time", "/ask/x", R"({"endless": 1000000, "dripMs": 50})", 8},
    };
    for (const Case &c : cases) {
        DYNAMIC_SECTION(c.what)
        {
            DirectCluster cluster({{"p1", "plain", ""}, {"p2", "plain", ""}, {"e1", "engines", "decode"}, {"e2", "engines", "decode"}},
                                  {.retrySlack = 200, .ownProcesses = true});
            cluster.publish(defaultConfiguration(1));
            REQUIRE(cluster.waitUntilReady(0));
            for (int i = 0; i < callsBefore; ++i) {
                cluster.call(0, promptCall("/ask/x", "before" + std::to_string(i), 100));
            }
            cluster.setFaults("p1", c.faults);
            cluster.setFaults("e1", c.faults);
            std::vector<Response> responses(static_cast<std::size_t>(c.callers));
            std::vector<std::thread> threads;
            threads.reserve(responses.size());
            for (int i = 0; i < c.callers; ++i) {
                threads.emplace_back([&cluster, &responses, &c, i] {
                    const std::string id = "r" + std::to_string(i);
                    const Call call = c.path[1] == 'r' ? directCall("GET", c.path + id, id) : promptCall(c.path, id, 100);
                    responses[static_cast<std::size_t>(i)] = cluster.call(0, call);
                });
            }
            for (std::thread &thread : threads) {
                thread.join();
            }
            int served = 0;
            for (const Response &response : responses) {
                served += response.status == 200 && response.complete ? 1 : 0;
                CHECK(response.ended - response.sent <= within);
            }
            // Retries beyond the shared budget are refused; what is complete must be whole.
            CHECK(served >= c.callers / 2);
            CHECK(peakMemoryOf(cluster.entries[0].id()) <= maxEntryKilobytes);
        }
    }
}

// Guards against bodies that are no longer counted once they are complete, although callers are slow to read them.
TEST_CASE("Large bodies that callers do not read stay within the memory of the entry", "[endless]")
{
    namespace asio = boost::asio;
    using Tcp = asio::ip::tcp;
    constexpr int callers = 40;
    constexpr std::size_t bodyBytes = 6U << 20U; // more than socket buffers hold
    DirectCluster cluster({{"p1", "plain", ""}, {"p2", "plain", ""}}, {.retrySlack = 200, .ownProcesses = true});
    cluster.publish(defaultConfiguration(1));
    REQUIRE(cluster.waitUntilReady(0));
    for (const char *target : {"p1", "p2"}) {
        cluster.setFaults(target, R"({"bodyBytes": )" + std::to_string(bodyBytes) + "}");
    }
    asio::io_context context;
    std::list<Tcp::socket> sockets;
    for (int i = 0; i < callers; ++i) {
        Tcp::socket &socket = sockets.emplace_back(context, Tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(4096));
        socket.connect({asio::ip::make_address(cluster.callers(0).address), cluster.callers(0).port});
        const std::string id = "r" + std::to_string(i);
        std::string request = "GET /read/x HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: 5000\r\nX-Api-Key: key-1\r\nConnection: close\r\nAttempt-Id: ";
        request += id;
        request += "\r\n\r\n";
        asio::write(socket, asio::buffer(request));
        sleepFor(milliseconds(150)); // one body is complete before the next one is read
    }
    CHECK(peakMemoryOf(cluster.entries[0].id()) <= maxEntryKilobytes);
    int whole = 0;
    for (Tcp::socket &socket : sockets) {
        std::string response;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(response), error);
        const auto end = response.find("\r\n\r\n");
        INFO(response.substr(0, 300));
        REQUIRE(end != std::string::npos);
        const bool served = response.starts_with("HTTP/1.1 200");
        CHECK((!served || response.size() - end - 4 == bodyBytes));
        whole += served ? 1 : 0;
    }
    CHECK(whole > 0);
    INFO(whole << " served, peak " << peakMemoryOf(cluster.entries[0].id()) << " KB");
    CHECK(whole < callers);
    CHECK(cluster.entries[0].running());
}
