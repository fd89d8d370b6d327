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
#include <future>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

namespace asio = boost::asio;

const std::string daemonProgram = std::string(SNIPEHILL_BIN_DIR) + "/src/snipehilld";
constexpr milliseconds exitTimeout{12000};

/** Configuration whose routes allow a request to last longer than the process after SIGTERM. */
std::string patientConfiguration()
{
    std::string text = defaultConfiguration(1);
    const std::string timeout = R"("timeout_ms":5000)";
    for (auto at = text.find(timeout); at != std::string::npos; at = text.find(timeout, at + timeout.size())) {
        text.replace(at, timeout.size(), R"("timeout_ms":20000)");
    }
    return text;
}

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

// Guards against requests that outlast the process and are cut by its end without an answer.
TEST_CASE("A request that can't end before the process is answered before that", "[direct][drain]")
{
    struct Case
    {
        const char *what;
        Call call;
        milliseconds sent; //!< after SIGTERM; negative: before it
        unsigned status; //!< 504 if it may have run
    };
    const std::vector<Case> cases{
        {"lookup before the signal", directCall("GET", "/read/x", "r1"), milliseconds(-1), 504},
        {"posting before the signal", directCall("POST", "/post/x", "r2", "fee"), milliseconds(-1), 504},
        {"stream before the signal", promptCall("/review/x", "r3", 100), milliseconds(-1), 504},
        {"late posting", directCall("POST", "/post/x", "r4", "fee"), milliseconds(3400), 504},
        {"late stream", promptCall("/review/x", "r5", 100), milliseconds(3400), 503},
    };
    DirectCluster host({{"p1", "plain", ""}, {"p2", "plain", ""}, {"e1", "engines", "decode"}}, 1);
    makeReady(host, patientConfiguration());
    for (const char *target : {"p1", "p2", "e1"}) {
        host.setFaults(target, R"({"beforeMs": 15000})");
    }
    std::vector<std::future<Response>> responses;
    const auto send = [&](bool late) {
        for (const Case &c : cases) {
            if ((c.sent > milliseconds(0)) == late) {
                Call call = c.call;
                call.headers["Deadline-Ms"] = "15000";
                responses.push_back(std::async(std::launch::async, [server = host.callers(0), call] {
                    return callOnce(server, call);
                }));
            }
        }
    };
    send(false);
    REQUIRE(waitUntil([&] {
        return host.events("e1", "run").size() == 1;
    }));
    host.entries[0].signal(SIGTERM);
    sleepFor(milliseconds(3400));
    send(true);
    for (std::size_t i = 0; i < cases.size(); ++i) {
        const Response response = responses[i].get();
        INFO(cases[i].what << ": " << response.error);
        CHECK(response.complete);
        CHECK(response.status == cases[i].status);
    }
    CHECK(host.events("e1", "run").size() == 1);
    CHECK(host.entries[0].waitForExit(exitTimeout) == 0);
}

// Guards against streams that are admitted shortly before the end of the process and cut by it, because their time limit lies beyond it.
TEST_CASE("A draining process refuses the streams that it can't finish and serves the others", "[direct][drain]")
{
    struct Case
    {
        const char *what;
        milliseconds sent; //!< after SIGTERM
        const char *tokenCounts;
        const char *limitMs;
        unsigned status;
        std::size_t runs;
    };
    const std::vector<Case> cases{
        {"long stream whose callers the balancer may send here again", milliseconds(500), "100,6000", "8000", 503, 0},
        {"short stream whose callers the balancer may send here again", milliseconds(500), "100,20", "8000", 200, 1},
        {"late long stream", milliseconds(3300), "100,474", "8000", 503, 0},
        {"late short stream", milliseconds(3300), "100,20", "8000", 503, 0},
        {"late short stream that ends in time", milliseconds(3300), "100,20", "3000", 200, 1},
    };
    DirectCluster host({{"e1", "engines", "decode"}}, 1);
    makeReady(host, patientConfiguration());
    host.entries[0].signal(SIGTERM);
    const TimePoint stopped = Clock::now();
    std::size_t runs = 0;
    for (const Case &c : cases) {
        INFO(c.what);
        sleepFor(std::chrono::duration_cast<milliseconds>(stopped + c.sent - Clock::now()));
        Call call = promptCall("/review/x", "r" + std::to_string(&c - cases.data()), 100);
        call.headers["Token-Counts"] = c.tokenCounts;
        call.headers["Deadline-Ms"] = c.limitMs;
        const Response response = host.call(0, call);
        CHECK(response.complete);
        CHECK(response.status == c.status);
        CHECK(response.headers.contains("retry-after") == (c.status == 503));
        runs += c.runs;
        CHECK(host.events("e1", "run").size() == runs);
    }
    CHECK(host.entries[0].waitForExit(exitTimeout) == 0);
}

// Guards against requests that come late in the grace period, are passed on, and are cut by the end of the process.
TEST_CASE("Each request that arrives during a planned stop and is passed on gets an answer", "[direct][drain]")
{
    constexpr milliseconds step{50};
    constexpr seconds grace{4};
    struct Kind
    {
        const char *id; //!< start of the requests' ids
        Call call;
        bool kept; //!< sent on a connection that was open before the signal
    };
    struct Pause
    {
        milliseconds begin; //!< of a time in which the process does not run
        milliseconds end;
    };
    const Call posting = directCall("POST", "/post/x", "", "fee");
    const Call lookup = directCall("GET", "/read/x", "");
    const std::vector<Kind> kinds{
        {"posting-new", posting, false}, {"posting-kept", posting, true}, {"lookup-new", lookup, false}, {"lookup-kept", lookup, true}};
    // The second one covers the time at which the process ends.
    const std::vector<Pause> pauses{{milliseconds(0), milliseconds(0)}, {milliseconds(3500), milliseconds(3650)}};
    for (const Pause &pause : pauses) {
        INFO("pause until " << pause.end.count() << " ms");
        DirectCluster host({{"p1", "plain", ""}, {"p2", "plain", ""}}, {.entries = 1, .grace = grace});
        makeReady(host, patientConfiguration());
        for (const char *target : {"p1", "p2"}) {
            host.setFaults(target, R"({"beforeMs": 900})"); // far beyond the goal, so that no prediction foresees it
        }
        std::vector<std::unique_ptr<Client>> keptConnections;
        std::vector<std::pair<std::string, std::future<Response>>> sent;
        const int steps = grace / step;
        for (int i = 0; i < 2 * steps; ++i) {
            keptConnections.push_back(std::make_unique<Client>(host.callers(0)));
            CHECK(keptConnections.back()->call(directCall("GET", "/none", "open" + std::to_string(i))).status == 404);
        }
        host.entries[0].signal(SIGTERM);
        const TimePoint stopped = Clock::now();
        std::size_t nextKept = 0;
        for (int i = 0; i < steps; ++i) {
            sleepFor(std::chrono::duration_cast<milliseconds>(stopped + i * step - Clock::now()));
            if (pause.end > pause.begin && i * step == pause.begin) {
                host.entries[0].pause();
            }
            if (pause.end > pause.begin && i * step == pause.end) {
                host.entries[0].resume();
            }
            for (const Kind &kind : kinds) {
                const std::string id = std::string(kind.id) + "-" + std::to_string((i * step).count()) + "ms";
                Call call = kind.call;
                call.headers["Deadline-Ms"] = "15000";
                call.headers["Attempt-Id"] = id;
                Client *connection = kind.kept ? keptConnections[nextKept++].get() : nullptr;
                sent.emplace_back(id, std::async(std::launch::async, [connection, server = host.callers(0), call] {
                                      return connection ? connection->call(call) : callOnce(server, call);
                                  }));
            }
        }
        CHECK(host.entries[0].waitForExit(exitTimeout) == 0);
        CHECK(Clock::now() - stopped < grace + (pause.end - pause.begin));
        std::set<std::string> passedOn;
        for (const char *target : {"p1", "p2"}) {
            for (const Json::Value &event : host.events(target, "run")) {
                passedOn.insert(event["id"].asString());
            }
        }
        CHECK(passedOn.size() > static_cast<std::size_t>(steps)); // most of the grace period is used
        for (auto &[id, pending] : sent) {
            const Response response = pending.get();
            INFO(id << ": status " << response.status << ", " << response.error);
            CHECK((response.complete || !passedOn.contains(id)));
            CHECK((response.status != 503 || !passedOn.contains(id)));
        }
    }
}

// Guards against streams that are admitted late in a planned stop by their expected length, and cut with part of their events sent.
TEST_CASE("Each stream that arrives late in a planned stop is complete or refused, whatever the engine's speed", "[direct][drain]")
{
    constexpr milliseconds step{200};
    constexpr seconds grace{5};
    constexpr seconds excusedBefore{3}; // streams sent no later may still be running ...
    constexpr milliseconds lastSixth = milliseconds(grace) * 5 / 6; // ... in this part of the grace period
    struct Case
    {
        const char *what;
        const char *faults;
        const char *tokenCounts;
    };
    const std::vector<Case> cases{
        {"many tokens at the pace of an engine that also reads prompts", R"({"beforeMs": 450, "eventMs": 50, "events": 80})", "100,80"},
        {"late first event", R"({"beforeMs": 1500, "eventMs": 20, "events": 60})", "100,60"},
        {"few slow tokens", R"({"beforeMs": 300, "eventMs": 190, "events": 15})", "100,15"},
    };
    for (const Case &c : cases) {
        DirectCluster host({{"e1", "engines", "decode"}}, {.entries = 1, .grace = grace});
        makeReady(host, patientConfiguration());
        std::vector<std::unique_ptr<Client>> connections;
        const int streams = 4000 / static_cast<int>(step.count());
        for (int i = 0; i < streams; ++i) {
            connections.push_back(std::make_unique<Client>(host.callers(0)));
            CHECK(connections.back()->call(promptCall("/review/x", "open" + std::to_string(i), 100)).complete);
        }
        host.setFaults("e1", c.faults);
        host.entries[0].signal(SIGTERM);
        const TimePoint stopped = Clock::now();
        std::vector<std::future<Response>> sent;
        for (int i = 0; i < streams; ++i) {
            sleepFor(std::chrono::duration_cast<milliseconds>(stopped + i * step - Clock::now()));
            Call call = promptCall("/review/x", "r" + std::to_string(i), 100);
            call.headers["Token-Counts"] = c.tokenCounts;
            call.headers["Deadline-Ms"] = "8000";
            sent.push_back(std::async(std::launch::async, [connection = connections[static_cast<std::size_t>(i)].get(), call] {
                return connection->call(call);
            }));
        }
        CHECK(host.entries[0].waitForExit(exitTimeout) == 0);
        std::set<std::string> passedOn;
        for (const Json::Value &event : host.events("e1", "run")) {
            passedOn.insert(event["id"].asString());
        }
        int complete = 0;
        for (int i = 0; i < streams; ++i) {
            const Response response = sent[static_cast<std::size_t>(i)].get();
            const std::string id = "r" + std::to_string(i);
            INFO(c.what << ", sent after " << (response.sent - stopped) / milliseconds(1) << " ms: status " << response.status << ", " << response.error);
            if (passedOn.contains(id) && !response.complete) {
                CHECK(response.sent - stopped <= excusedBefore);
                CHECK(response.ended - stopped >= lastSixth);
            }
            CHECK((response.status != 503 || (response.complete && !passedOn.contains(id))));
            complete += response.status == 200 && response.complete ? 1 : 0;
        }
        CHECK(complete > 0);
    }
}

// Guards against requests that were read ahead behind another one and dropped, because its response announced the end of the connection.
TEST_CASE("Pipelined requests that were received before a planned stop are answered", "[direct][drain]")
{
    struct Case
    {
        const char *what;
        const char *first; //!< request line of the request that the others follow
        const char *more; //!< headers of it
    };
    const std::vector<Case> cases{
        {"behind a stream", "POST /review/x HTTP/1.1", "Model: m\r\nToken-Counts: 100,20\r\nPrompt-Prefix: a:100\r\n"},
        {"behind a posting", "POST /post/x HTTP/1.1", ""},
    };
    constexpr int lookups = 3;
    for (const Case &c : cases) {
        INFO(c.what);
        DirectCluster host({{"p1", "plain", ""}, {"e1", "engines", "decode"}}, 1);
        makeReady(host, defaultConfiguration(1));
        for (const char *target : {"p1", "e1"}) {
            host.setFaults(target, R"({"beforeMs": 400})");
        }
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address(host.callers(0).address), host.callers(0).port});
        const auto message = [](std::string line, const std::string &id, const std::string &more) {
            line += "\r\nHost: a.example\r\nDeadline-Ms: 4000\r\nX-Api-Key: key-1\r\nAttempt-Id: ";
            line += id;
            line += "\r\n";
            line += more;
            return line;
        };
        std::string bytes = message(c.first, "first", std::string(c.more) + "Content-Length: 3\r\n\r\nfee");
        for (int i = 0; i < lookups; ++i) {
            bytes += message("GET /read/x HTTP/1.1", "lookup" + std::to_string(i), "\r\n");
        }
        asio::write(socket, asio::buffer(bytes));
        sleepFor(milliseconds(100));
        host.entries[0].signal(SIGTERM);
        std::string received;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(received), error);
        INFO(received);
        std::size_t at = received.find("Attempt-Id: first");
        CHECK(at != std::string::npos);
        for (int i = 0; i < lookups; ++i) {
            at = received.find("Attempt-Id: lookup" + std::to_string(i), at);
            CHECK(at != std::string::npos);
            CHECK(received.find("ran lookup" + std::to_string(i)) != std::string::npos);
        }
        // Only the last response announces the end of the connection.
        CHECK(received.find("Connection: close") != std::string::npos);
        CHECK(received.find("Connection: close") > received.find("Attempt-Id: lookup1"));
        CHECK(error == asio::error::eof);
        CHECK(host.entries[0].waitForExit(exitTimeout) == 0);
    }
}

// Guards against a process that uses what is destroyed already when it ends with a request in progress.
TEST_CASE("A process that ends with a stream in progress names it and exits with 0", "[direct][drain]")
{
    DirectCluster host({{"e1", "engines", "decode"}}, 1);
    makeReady(host, patientConfiguration());
    host.setFaults("e1", R"({"eventMs": 4000})");
    Call call = promptCall("/review/x", "r1", 100);
    call.headers["Deadline-Ms"] = "20000";
    auto pending = std::async(std::launch::async, [&host, call] {
        return host.call(0, call);
    });
    REQUIRE(waitUntil([&] {
        return host.events("e1", "run").size() == 1;
    }));
    host.entries[0].signal(SIGTERM);
    CHECK(host.entries[0].waitForExit(exitTimeout) == 0);
    CHECK(!pending.get().complete);
    const std::string log = host.logOf(0);
    const auto named = log.find("request cut by the end of the process");
    REQUIRE(named != std::string::npos);
    CHECK(log.find("\"request\":\"r1\"", named) != std::string::npos);
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
