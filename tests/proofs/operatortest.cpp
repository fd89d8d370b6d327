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

// Exit codes of snipehillctl, as listed in its help.
constexpr int exitSuccess = 0;
constexpr int exitFindings = 1;
constexpr int exitUnreachable = 3;
constexpr int exitConflict = 4;
constexpr int exitLagging = 5;

/** Runs snipehillctl with a folder of records, as an operator does. */
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

    /** Starts the tool; appends the addresses of the log and the platform to the arguments. */
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

    /** Output of the last command. */
    std::string lastOutput() const
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

/** Appends to the config stream that took effect without a response. */
std::size_t lostResponseCount(const Cluster &cluster)
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

TEST_CASE("a key created by an operator works, and is rejected by every entry once its withdrawal is published", "[operator]")
{
    Cluster cluster(smallCluster());
    REQUIRE(cluster.start(defaultRecords()));
    Operator admin(cluster, "person");
    REQUIRE(admin.run({"key", "create", admin.folder(), "second", "--workspace", "bureau"}) == exitSuccess);
    const std::string printed = admin.lastOutput();
    const auto from = printed.find("snh_");
    REQUIRE(from != std::string::npos);
    const std::string secret = printed.substr(from, printed.find('\n', from) - from);

    std::vector<Client> clients;
    for (const Daemon &entry : cluster.entries) {
        clients.emplace_back(entry.callers);
        CHECK(lookUp(clients.back(), secret) == 401);
    }
    REQUIRE(admin.publish() == exitSuccess);
    for (Client &client : clients) {
        CHECK(lookUp(client, secret) == 200);
    }
    REQUIRE(admin.publish() == exitSuccess);
    REQUIRE(admin.run({"key", "withdraw", admin.folder(), "second"}) == exitSuccess);
    REQUIRE(admin.publish() == exitSuccess);
    for (Client &client : clients) {
        CHECK(lookUp(client, secret) == 401);
        CHECK(lookUp(client, bureauSecret) == 200);
    }
    for (const Daemon &entry : cluster.entries) {
        CHECK(cluster.outputOf(entry.name).find(secret) == std::string::npos);
    }
}

TEST_CASE("of two operators who publish concurrently the later one gets a conflict", "[operator]")
{
    Cluster cluster(smallCluster());
    REQUIRE(cluster.start(defaultRecords()));
    // Delays reads so that both operators read before either appends.
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
        INFO(first.lastOutput() << second.lastOutput());
        CHECK((codeOne == exitSuccess || codeOne == exitConflict));
        CHECK((codeOther == exitSuccess || codeOther == exitConflict));
        CHECK((codeOne == exitSuccess || codeOther == exitSuccess));
        if (codeOne == exitConflict || codeOther == exitConflict) {
            ++races;
            // The records published first are in force, so only the other operator sees a difference.
            CHECK(first.run({"diff", first.folder()}) == (codeOne == exitConflict ? exitFindings : exitSuccess));
            CHECK(second.run({"diff", second.folder()}) == (codeOther == exitConflict ? exitFindings : exitSuccess));
        }
    }
    CHECK(races > 0);
}

TEST_CASE("publish resolves a lost response, names lagging processes and reports an outage", "[operator]")
{
    Cluster cluster(smallCluster());
    REQUIRE(cluster.start(defaultRecords()));
    Operator admin(cluster, "person");

    cluster.setFaults(cluster.log, R"({"config.answerLost": 1})");
    admin.write("bureau.json", workspaceText(3));
    CHECK(admin.publish() == exitSuccess);
    CHECK(lostResponseCount(cluster) == 1);
    CHECK(admin.run({"diff", admin.folder()}) == exitSuccess);

    Daemon &paused = cluster.sidecars.front();
    paused.process->pause();
    admin.write("bureau.json", workspaceText(4));
    CHECK(admin.publish({"--wait-ms", "1000"}) == exitLagging);
    INFO(admin.lastOutput());
    CHECK(admin.lastOutput().find("lagging: " + paused.name) != std::string::npos);
    CHECK(admin.lastOutput().find("lagging: " + cluster.entries.front().name) == std::string::npos);
    paused.process->resume();
    CHECK(admin.publish() == exitSuccess);

    cluster.setFaults(cluster.log, R"({"outage": true})");
    admin.write("bureau.json", workspaceText(5));
    CHECK(admin.publish() == exitUnreachable);
}

TEST_CASE("status prints JSON for scripts and reports processes that do not respond", "[operator]")
{
    Cluster cluster(smallCluster());
    REQUIRE(cluster.start(defaultRecords()));
    Operator admin(cluster, "person");
    REQUIRE(admin.run({"status", "--json"}) == exitSuccess);
    Json::Value report;
    std::istringstream(admin.lastOutput()) >> report;
    REQUIRE(report.size() == cluster.entries.size() + cluster.sidecars.size());
    for (const Json::Value &process : report) {
        CHECK(process["status"]["ready"] == true);
        CHECK(process["status"]["config"]["offset"].isInt64());
    }
    cluster.sidecars.front().process->kill();
    CHECK(admin.run({"status"}) == exitFindings);
    CHECK(admin.lastOutput().find("no answer") != std::string::npos);
}
