#include "support/cluster.h"
#include "support/wait.h"

#include <catch2/catch.hpp>
#include <json/reader.h>

#include <fstream>
#include <sstream>

using namespace snipehill;
using namespace snipehill::support;

namespace
{

// Exit codes of snipehillctl as its help lists them.
constexpr int done = 0;
constexpr int findings = 1;
constexpr int unreachable = 3;
constexpr int raceLost = 4;
constexpr int lagging = 5;

/** An operator with a folder of records and the command-line tool. */
class Operator
{
public:
    explicit Operator(const Cluster &cluster, std::string name) : m_cluster(cluster), m_name(std::move(name)) { }

    void write(const std::string &file, const std::string &text) const
    {
        std::ofstream(m_folder.file(file), std::ios::trunc) << text;
    }

    std::string folder() const
    {
        const std::string path = m_folder.file("");
        return path.substr(0, path.size() - 1);
    }

    /** Starts the tool; the folder and the platform's addresses are added where the command takes them. */
    ChildProcess start(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--log", toString(m_cluster.log.endpoint), "--instances", toString(m_cluster.platform.endpoint)});
        return {SNIPEHILL_BIN_DIR "/src/snipehillctl", std::move(arguments), output()};
    }

    int run(std::vector<std::string> arguments)
    {
        ChildProcess tool = start(std::move(arguments));
        return tool.waitForExit(defaultWaitTimeout).value_or(-1);
    }

    int publish(std::vector<std::string> options = {})
    {
        options.insert(options.begin(), {"publish", folder()});
        return run(std::move(options));
    }

    /** What the last command printed. */
    std::string said() const
    {
        std::ostringstream text;
        text << std::ifstream(output()).rdbuf();
        return text.str();
    }

private:
    std::string output() const
    {
        return m_outputs.file(m_name + ".out");
    }

    const Cluster &m_cluster;
    std::string m_name;
    TemporaryFolder m_folder;
    TemporaryFolder m_outputs;
};

ClusterOptions smallCluster()
{
    ClusterOptions options;
    options.entries = 2;
    options.targets = {{.kind = "service", .group = "licences"}};
    return options;
}

/** Status of a look-up with a key, on the client's connection. */
unsigned lookUp(Client &client, const std::string &secret)
{
    Call call;
    call.target = "/status/4711";
    call.headers["Authorization"] = "Bearer " + secret;
    return client.call(call).status;
}

/** Appends to the config stream that took effect without an answer. */
std::size_t answersLost(const Cluster &cluster)
{
    std::size_t count = 0;
    for (const Json::Value &entry : eventsOf(cluster.journalOf(cluster.log), "append")) {
        count += entry["stream"] == "config" && entry["answerLost"] == true ? 1 : 0;
    }
    return count;
}

std::string workspaceText(int weight)
{
    return R"({"kind": "workspace", "schemaVersion": 1, "name": "bureau", "spec": {"weight": )" + std::to_string(weight) + "}}";
}

} // namespace

TEST_CASE("a key made by an operator works, and stops everywhere once its withdrawal is published", "[operator]")
{
    Cluster cluster(smallCluster());
    REQUIRE(cluster.start(defaultRecords()));
    Operator person(cluster, "person");
    REQUIRE(person.run({"key", "create", person.folder(), "second", "--workspace", "bureau"}) == done);
    const std::string printed = person.said();
    const auto from = printed.find("snh_");
    REQUIRE(from != std::string::npos);
    const std::string secret = printed.substr(from, printed.find('\n', from) - from);

    std::vector<Client> clients;
    for (const Daemon &entry : cluster.entries) {
        clients.emplace_back(entry.callers);
        CHECK(lookUp(clients.back(), secret) == 401);
    }
    REQUIRE(person.publish() == done);
    for (Client &client : clients) {
        CHECK(lookUp(client, secret) == 200);
    }
    REQUIRE(person.publish() == done);
    REQUIRE(person.run({"key", "withdraw", person.folder(), "second"}) == done);
    REQUIRE(person.publish() == done);
    for (Client &client : clients) {
        CHECK(lookUp(client, secret) == 401);
        CHECK(lookUp(client, bureauSecret) == 200);
    }
    for (const Daemon &entry : cluster.entries) {
        CHECK(cluster.outputOf(entry.name).find(secret) == std::string::npos);
    }
}

TEST_CASE("operators who race are told who was first", "[operator]")
{
    Cluster cluster(smallCluster());
    REQUIRE(cluster.start(defaultRecords()));
    // Reads take long enough that both operators read before either appends.
    cluster.setFaults(cluster.log, R"({"config.slowMs": 150})");
    Operator first(cluster, "first");
    Operator second(cluster, "second");
    int races = 0;
    constexpr int rounds = 5;
    for (int round = 0; round < rounds; ++round) {
        first.write("bureau.json", workspaceText(10 + 2 * round));
        second.write("bureau.json", workspaceText(11 + 2 * round));
        ChildProcess one = first.start({"publish", first.folder()});
        ChildProcess other = second.start({"publish", second.folder()});
        const int codeOne = one.waitForExit(defaultWaitTimeout).value_or(-1);
        const int codeOther = other.waitForExit(defaultWaitTimeout).value_or(-1);
        INFO(first.said() << second.said());
        CHECK((codeOne == done || codeOne == raceLost));
        CHECK((codeOther == done || codeOther == raceLost));
        CHECK((codeOne == done || codeOther == done));
        if (codeOne == raceLost || codeOther == raceLost) {
            ++races;
            // The winner's records are in force, so only the loser sees a difference.
            CHECK(first.run({"diff", first.folder()}) == (codeOne == raceLost ? findings : done));
            CHECK(second.run({"diff", second.folder()}) == (codeOther == raceLost ? findings : done));
        }
    }
    CHECK(races > 0);
}

TEST_CASE("publish resolves a lost answer, names who lags and tells of an outage", "[operator]")
{
    Cluster cluster(smallCluster());
    REQUIRE(cluster.start(defaultRecords()));
    Operator person(cluster, "person");

    cluster.setFaults(cluster.log, R"({"config.answerLost": 1})");
    person.write("bureau.json", workspaceText(3));
    CHECK(person.publish() == done);
    CHECK(answersLost(cluster) == 1);
    CHECK(person.run({"diff", person.folder()}) == done);

    Daemon &paused = cluster.sidecars.front();
    paused.process->pause();
    person.write("bureau.json", workspaceText(4));
    CHECK(person.publish({"--wait-ms", "1000"}) == lagging);
    INFO(person.said());
    CHECK(person.said().find("lagging: " + paused.name) != std::string::npos);
    CHECK(person.said().find("lagging: " + cluster.entries.front().name) == std::string::npos);
    paused.process->resume();
    CHECK(person.publish() == done);

    cluster.setFaults(cluster.log, R"({"outage": true})");
    person.write("bureau.json", workspaceText(5));
    CHECK(person.publish() == unreachable);
}

TEST_CASE("status is JSON for scripts and tells of a process that does not answer", "[operator]")
{
    Cluster cluster(smallCluster());
    REQUIRE(cluster.start(defaultRecords()));
    Operator person(cluster, "person");
    REQUIRE(person.run({"status", "--json"}) == done);
    Json::Value report;
    std::istringstream(person.said()) >> report;
    REQUIRE(report.size() == cluster.entries.size() + cluster.sidecars.size());
    for (const Json::Value &process : report) {
        CHECK(process["status"]["ready"] == true);
        CHECK(process["status"]["config"]["offset"].isInt64());
    }
    cluster.sidecars.front().process->kill();
    CHECK(person.run({"status"}) == findings);
    CHECK(person.said().find("no answer") != std::string::npos);
}
