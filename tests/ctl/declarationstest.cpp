#include <ctl/changes.h>
#include <ctl/declarations.h>

#include <version/configapply.h>

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <random>

using namespace snipehill;

namespace
{

/** Temporary directory of record files, removed when the test ends. */
class RecordDirectory
{
public:
    RecordDirectory() : m_path(std::filesystem::temp_directory_path() / ("snipehill-records-" + std::to_string(randomId())))
    {
        std::filesystem::create_directories(m_path / "below");
    }
    ~RecordDirectory()
    {
        std::filesystem::remove_all(m_path);
    }
    RecordDirectory(const RecordDirectory &) = delete;
    RecordDirectory &operator=(const RecordDirectory &) = delete;

    void write(const std::string &name, const std::string &text) const
    {
        std::ofstream(m_path / name) << text;
    }
    std::string path() const
    {
        return m_path.string();
    }

private:
    std::filesystem::path m_path;
};

const std::string workspaceText = R"({ // a tenant
    "kind": "workspace", "schemaVersion": 1, "name": "bureau", "spec": {"weight": 2}})";
const std::string groupText = R"({"kind": "targetGroup", "schemaVersion": 1, "name": "licences", "spec": {"kind": "service", "maxTargets": 4}})";
const std::string routeText
    = R"({"kind": "route", "schemaVersion": 1, "name": "fees", "spec": {"prefix": "/fees", "targetGroup": "licences", "idempotent": false}})";
const std::string keyText = R"({"kind": "key", "schemaVersion": 1, "name": "bureau-1", "spec": {"workspace": "bureau",
    "sha256": "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}})";

std::vector<Declaration> parseDeclarations(const std::vector<std::string> &texts)
{
    std::vector<Declaration> records;
    for (const std::string &text : texts) {
        Reason reason;
        const auto file = parseRecordFile(text, reason);
        INFO(text << ": " << reason.detail);
        REQUIRE(file);
        records.push_back({toText(file->envelope.object), *file});
    }
    return records;
}

ConfigVersion applyRecords(const std::vector<std::string> &texts)
{
    ConfigVersion config;
    for (const Change &change : planChanges(parseDeclarations(texts), config, false)) {
        REQUIRE(applyRecord(config, config.offset + 1, change.record).outcome == ApplyOutcome::Effective);
    }
    return config;
}

std::string replaceOnce(std::string text, const std::string &what, const std::string &by)
{
    const auto at = text.find(what);
    REQUIRE(at != std::string::npos);
    return text.replace(at, what.size(), by);
}

} // namespace

TEST_CASE("records are loaded from a directory and its subdirectories", "[ctl]")
{
    const RecordDirectory directory;
    directory.write("workspace.json", workspaceText);
    directory.write("below/group.json", groupText);
    directory.write("below/route.json", routeText);
    directory.write("notes.txt", "not a record");
    const Declarations declarations = loadDeclarations(directory.path());
    REQUIRE(toText(declarations.problems).empty());
    REQUIRE(declarations.records.size() == 3);
    REQUIRE(toText(checkConsistency(declarations.records)).empty());
}

TEST_CASE("an invalid record is reported with its file and the reason", "[ctl]")
{
    struct Case
    {
        std::string text;
        const char *expectedText;
    };
    for (const Case &c : {
             Case{replaceOnce(workspaceText, "\"weight\"", "\"wait\""), "spec.wait"},
             {replaceOnce(workspaceText, "2}", "-1}"), "spec.weight"},
             {replaceOnce(workspaceText, "2}", "\"2\"}"), "spec.weight"},
             {replaceOnce(workspaceText, "\"workspace\"", "\"workshop\""), "kind"},
             {replaceOnce(workspaceText, "\"schemaVersion\": 1", "\"schemaVersion\": 99"), "schemaVersion"},
             {replaceOnce(workspaceText, "}}", "}"), "ine 2"},
             {replaceOnce(keyText, "0123", "012"), "spec.sha256"},
             {replaceOnce(routeText, "\"/fees\"", "\"fees\""), "spec.prefix"},
             {replaceOnce(groupText, "4}", "0}"), "spec.maxTargets"},
             {"", "ine 1"},
             {"[]", "object"},
             {std::string(50000, '['), ""},
             {std::string("{\"kind\":\"\0\"}", 12), ""},
         }) {
        const RecordDirectory directory;
        directory.write("wrong.json", c.text);
        const Declarations declarations = loadDeclarations(directory.path());
        INFO(c.text.substr(0, 200) << "\n" << toText(declarations.problems));
        REQUIRE(declarations.problems.size() == 1);
        REQUIRE(declarations.problems[0].path.ends_with("wrong.json"));
        REQUIRE_FALSE(declarations.problems[0].detail.empty());
        REQUIRE(declarations.problems[0].detail.find(c.expectedText) != std::string::npos);
    }
}

TEST_CASE("a mutated record is either parsed or rejected with a reason", "[ctl][fuzz]")
{
    constexpr unsigned seed = 77001;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const std::vector<std::string> texts{workspaceText, groupText, routeText, keyText};
    for (int round = 0; round < 2000; ++round) {
        std::string text = texts[random() % texts.size()];
        for (unsigned edit = 0; edit < 1 + random() % 3; ++edit) {
            text[random() % text.size()] = char(random() % 256);
        }
        Reason reason;
        const auto file = parseRecordFile(text, reason);
        REQUIRE((file || !reason.detail.empty()));
    }
}

TEST_CASE("a missing directory is reported as a problem", "[ctl]")
{
    REQUIRE(loadDeclarations("/nonexistent/records").problems.size() == 1);
}

TEST_CASE("unresolved references and duplicates across files are found offline", "[ctl]")
{
    struct Case
    {
        std::vector<std::string> texts;
        const char *expectedText;
    };
    for (const Case &c : {
             Case{{workspaceText, workspaceText}, "declared in"},
             {{routeText}, "targetGroup"},
             {{keyText}, "workspace"},
             {{groupText, routeText, replaceOnce(routeText, "\"name\": \"fees\"", "\"name\": \"other\"")}, "prefix"},
         }) {
        const auto problems = checkConsistency(parseDeclarations(c.texts));
        REQUIRE(problems.size() == 1);
        INFO(toText(problems));
        REQUIRE(problems[0].detail.find(c.expectedText) != std::string::npos);
    }
}

TEST_CASE("planned changes bring the configuration in force to the declared state", "[ctl]")
{
    const ConfigVersion config = applyRecords({workspaceText, groupText, routeText, keyText});
    REQUIRE(planChanges(parseDeclarations({routeText, keyText, groupText, workspaceText}), config, true).empty());

    const auto updates = planChanges(parseDeclarations({replaceOnce(workspaceText, "2}", "3}")}), config, false);
    REQUIRE(updates.size() == 1);
    REQUIRE(updates[0].kind == ChangeKind::Update);
    REQUIRE(updates[0].fields == std::vector<std::string>{"weight: 2 -> 3"});
    REQUIRE(updates[0].record["replaces"].asInt64() == 0);

    const std::string withdrawn = R"({"kind": "key", "schemaVersion": 1, "name": "bureau-1", "withdrawn": true})";
    const auto withdrawals = planChanges(parseDeclarations({withdrawn}), config, false);
    REQUIRE(withdrawals.size() == 1);
    REQUIRE(withdrawals[0].kind == ChangeKind::Withdraw);
    REQUIRE(findRejectedChanges(config, withdrawals).empty());
    REQUIRE(planChanges(parseDeclarations({withdrawn}), ConfigVersion{}, false).empty());
}

TEST_CASE("pruning withdraws undeclared objects, referring objects first", "[ctl]")
{
    const ConfigVersion config = applyRecords({workspaceText, groupText, routeText, keyText});
    const auto keep = parseDeclarations({workspaceText});
    REQUIRE(planChanges(keep, config, false).empty());
    REQUIRE(findUndeclaredObjects(keep, config).size() == 3);
    const auto changes = planChanges(keep, config, true);
    REQUIRE(changes.size() == 3);
    REQUIRE(changes.back().object.kind == RecordKind::TargetGroup);
    REQUIRE(findRejectedChanges(config, changes).empty());
}

TEST_CASE("a change planned from an outdated version is rejected", "[ctl]")
{
    ConfigVersion config = applyRecords({workspaceText});
    const auto mine = planChanges(parseDeclarations({replaceOnce(workspaceText, "2}", "3}")}), config, false);
    const auto theirs = planChanges(parseDeclarations({replaceOnce(workspaceText, "2}", "4}")}), config, false);
    REQUIRE(applyRecord(config, config.offset + 1, theirs[0].record).outcome == ApplyOutcome::Effective);
    const auto rejected = findRejectedChanges(config, mine);
    REQUIRE(rejected.size() == 1);
    REQUIRE(rejected[0].detail.find("replaces") != std::string::npos);
}

TEST_CASE("the example records are valid and consistent", "[ctl][pages]")
{
    const Declarations declarations = loadDeclarations(SNIPEHILL_SOURCE_DIR "/examples/records");
    REQUIRE(toText(declarations.problems).empty());
    REQUIRE_FALSE(declarations.records.empty());
    REQUIRE(toText(checkConsistency(declarations.records)).empty());
}
