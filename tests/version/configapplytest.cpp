#include <version/configapply.h>
#include <version/configsnapshot.h>
#include <version/jsonfields.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace snipehill;

namespace
{

const std::string hashA(64, 'a');
const std::string hashB(64, 'b');

Json::Value json(const std::string &text)
{
    Reason reason;
    const auto value = parseJson(text, reason);
    INFO(text << ": " << reason.detail);
    REQUIRE(value);
    return *value;
}

std::string workspace(const std::string &name, const std::string &rest, int version = 1)
{
    return R"({"kind":"workspace","schemaVersion":)" + std::to_string(version) + R"(,"name":")" + name + "\"," + rest + "}";
}

std::string key(const std::string &name, const std::string &owner, const std::string &hash, const std::string &replaces, int version = 1)
{
    return R"({"kind":"key","schemaVersion":)" + std::to_string(version) + R"(,"name":")" + name + R"(","replaces":)" + replaces + R"(,"spec":{"workspace":")"
        + owner + R"(","sha256":")" + hash + R"("}})";
}

std::string route(const std::string &name, const std::string &prefix, const std::string &group)
{
    return R"({"kind":"route","schemaVersion":1,"name":")" + name + R"(","spec":{"prefix":")" + prefix + R"(","targetGroup":")" + group + R"("}})";
}

std::string withdrawal(const std::string &kind, const std::string &name, const std::string &replaces)
{
    return R"({"kind":")" + kind + R"(","schemaVersion":1,"name":")" + name + R"(","replaces":)" + replaces + R"(,"withdrawn":true})";
}

ConfigVersion applyAll(const std::vector<std::string> &records, int supportedSchemaVersion = 1)
{
    ConfigVersion config;
    config.supportedSchemaVersion = supportedSchemaVersion;
    for (std::size_t i = 0; i < records.size(); ++i) {
        applyRecord(config, static_cast<Offset>(i), json(records[i]));
    }
    return config;
}

} // namespace

TEST_CASE("a record is validated against the configuration before it", "[config][config-in-force]")
{
    struct Case
    {
        const char *what;
        std::vector<std::string> before;
        std::string record;
        ApplyOutcome outcome;
        std::string reason;
    };
    const std::string w = workspace("w", R"("spec":{})");
    const std::string g = R"({"kind":"targetGroup","schemaVersion":1,"name":"g","spec":{}})";
    const Case cases[] = {
        {"new object", {}, w, ApplyOutcome::Effective, ""},
        {"new object twice", {w}, w, ApplyOutcome::Rejected, "record 0 is the latest"},
        {"replacement", {w}, workspace("w", R"("replaces":0,"spec":{})"), ApplyOutcome::Effective, ""},
        {"replacement of nothing", {}, workspace("w", R"("replaces":0,"spec":{})"), ApplyOutcome::Rejected, "no record is the latest"},
        {"two operators replace the same record",
         {w, workspace("w", R"("replaces":0,"spec":{})")},
         workspace("w", R"("replaces":0,"spec":{})"),
         ApplyOutcome::Rejected,
         "record 1 is the latest"},
        {"a rejected record replaces nothing",
         {w, workspace("w", R"("replaces":9,"spec":{})")},
         workspace("w", R"("replaces":0,"spec":{})"),
         ApplyOutcome::Effective,
         ""},
        {"malformed", {}, R"({"kind":"workspace"})", ApplyOutcome::Rejected, "name"},
        {"not an object", {}, "[1]", ApplyOutcome::Rejected, "must be an object"},
        {"bad field", {}, workspace("w", R"("spec":{"weight":-1})"), ApplyOutcome::Rejected, "spec.weight"},
        {"newer schema version", {}, workspace("w", R"("spec":{"colour":"red"})", 2), ApplyOutcome::Unsupported, "newer"},
        {"key of a workspace", {w}, key("k", "w", hashA, "null"), ApplyOutcome::Effective, ""},
        {"key of no workspace", {}, key("k", "w", hashA, "null"), ApplyOutcome::Rejected, "spec.workspace names \"w\""},
        {"key of a withdrawn workspace", {w, withdrawal("workspace", "w", "0")}, key("k", "w", hashA, "null"), ApplyOutcome::Rejected, "spec.workspace"},
        {"two keys with one secret", {w, key("k", "w", hashA, "null")}, key("l", "w", hashA, "null"), ApplyOutcome::Rejected, "that of key \"k\""},
        {"secret of a withdrawn key",
         {w, key("k", "w", hashA, "null"), withdrawal("key", "k", "1")},
         key("l", "w", hashA, "null"),
         ApplyOutcome::Effective,
         ""},
        {"route to a group", {g}, route("r", "/a", "g"), ApplyOutcome::Effective, ""},
        {"route to no group", {}, route("r", "/a", "g"), ApplyOutcome::Rejected, "spec.targetGroup names \"g\""},
        {"two routes with one prefix", {g, route("r", "/a", "g")}, route("s", "/a", "g"), ApplyOutcome::Rejected, "that of route \"r\""},
        {"withdrawal", {w}, withdrawal("workspace", "w", "0"), ApplyOutcome::Effective, ""},
        {"withdrawal of nothing", {}, withdrawal("workspace", "w", "null"), ApplyOutcome::Rejected, "not in force"},
        {"withdrawal twice", {w, withdrawal("workspace", "w", "0")}, withdrawal("workspace", "w", "1"), ApplyOutcome::Rejected, "not in force"},
        {"late duplicate of a withdrawn object", {w, withdrawal("workspace", "w", "0")}, w, ApplyOutcome::Rejected, "record 1 is the latest"},
        {"withdrawn object is restored by a record that replaces the withdrawal",
         {w, withdrawal("workspace", "w", "0")},
         workspace("w", R"("replaces":1,"spec":{})"),
         ApplyOutcome::Effective,
         ""},
    };
    for (const Case &c : cases) {
        ConfigVersion config = applyAll(c.before);
        const ApplyResult result = applyRecord(config, static_cast<Offset>(c.before.size()), json(c.record));
        INFO(c.what << ": " << toString(result.outcome) << " " << result.reason.detail);
        REQUIRE(result.outcome == c.outcome);
        REQUIRE(result.reason.detail.find(c.reason) != std::string::npos);
        REQUIRE(config.offset == static_cast<Offset>(c.before.size()));
    }
}

TEST_CASE("an offset is applied once", "[config][config-in-force]")
{
    ConfigVersion config = applyAll({workspace("w", R"("spec":{})"), workspace("w", R"("replaces":0,"spec":{"weight":2})")});
    REQUIRE(applyRecord(config, 1, json(workspace("w", R"("replaces":1,"spec":{"weight":3})"))).outcome == ApplyOutcome::AlreadyApplied);
    REQUIRE(applyRecord(config, 0, json(workspace("w", R"("spec":{})"))).outcome == ApplyOutcome::AlreadyApplied);
    REQUIRE(config.workspaces.at("w").value.weight == 2);
}

TEST_CASE("key rotation and withdrawal take effect", "[config][key-isolation]")
{
    const std::string secret = "s3cret";
    const std::string other = "0ther";
    std::vector<std::string> records{workspace("w", R"("spec":{})"), key("k", "w", sha256Hex(secret), "null")};
    REQUIRE(findWorkspaceBySecret(applyAll(records), secret));
    records.push_back(key("k", "w", sha256Hex(other), "1"));
    REQUIRE_FALSE(findWorkspaceBySecret(applyAll(records), secret));
    REQUIRE(findWorkspaceBySecret(applyAll(records), other));
    std::vector<std::string> withoutKey = records;
    withoutKey.push_back(withdrawal("key", "k", "2"));
    REQUIRE_FALSE(findWorkspaceBySecret(applyAll(withoutKey), other));
    records.push_back(withdrawal("workspace", "w", "0"));
    REQUIRE_FALSE(findWorkspaceBySecret(applyAll(records), other));
}

TEST_CASE("programs that support different schema versions agree on the records that both support", "[config][config-in-force]")
{
    const std::vector<std::string> records{
        workspace("w", R"("spec":{"weight":1})"),
        workspace("w", R"("spec":{"weight":2})", 2),
        workspace("w", R"("replaces":0,"spec":{"weight":3})"),
        key("k", "w", hashA, "null"),
        workspace("only-new", R"("spec":{})", 2),
        key("l", "only-new", hashB, "null"), // refers to an object that the old program does not support: rejected by both
        key("m", "only-new", hashB, "null", 2),
    };
    const ConfigVersion oldProgram = applyAll(records, 1);
    const ConfigVersion newProgram = applyAll(records, 2);
    REQUIRE(oldProgram.workspaces.at("w").value.weight == 3);
    REQUIRE(newProgram.workspaces.at("w").value.weight == 2);
    REQUIRE(oldProgram.keys.contains("k"));
    REQUIRE(newProgram.keys.contains("k"));
    REQUIRE_FALSE(oldProgram.keys.contains("l"));
    REQUIRE_FALSE(newProgram.keys.contains("l"));
    REQUIRE_FALSE(oldProgram.keys.contains("m"));
    REQUIRE(newProgram.keys.contains("m"));
    REQUIRE(oldProgram.unsupportedRecords.size() == 3);
    // Each schema version of an object has its own sequence of replacements.
    REQUIRE(replaceableOffset(newProgram, {RecordKind::Workspace, "w"}, 1) == Offset{2});
    REQUIRE(replaceableOffset(newProgram, {RecordKind::Workspace, "w"}, 2) == Offset{1});
    REQUIRE(replaceableOffset(newProgram, {RecordKind::Workspace, "x"}, 1) == std::nullopt);

    SECTION("and survive the snapshot of an old program")
    {
        ConfigVersion reader;
        reader.supportedSchemaVersion = 2;
        Reason reason;
        const auto read = readSnapshot(writeSnapshot(oldProgram), 2, reason);
        REQUIRE(read);
        REQUIRE(configDigest(*read) == configDigest(newProgram));
    }
    SECTION("and survive a snapshot of a new program read by an old one")
    {
        Reason reason;
        const auto read = readSnapshot(writeSnapshot(newProgram), 1, reason);
        REQUIRE(read);
        REQUIRE(read->workspaces.at("w").value.weight == 3);
        REQUIRE(read->unsupportedRecords.size() == 3);
        const auto again = readSnapshot(writeSnapshot(*read), 2, reason);
        REQUIRE(again);
        REQUIRE(configDigest(*again) == configDigest(newProgram));
    }
}

TEST_CASE("a snapshot represents the active configuration", "[config][config-in-force]")
{
    const std::vector<std::string> records{
        workspace("w", R"("spec":{"weight":2})"),
        workspace("gone", R"("spec":{})"),
        key("k", "w", hashA, "null"),
        withdrawal("workspace", "gone", "1"),
        "{}",
    };
    const ConfigVersion config = applyAll(records);
    const Json::Value snapshot = writeSnapshot(config);

    SECTION("directly after the record at its upTo offset it changes nothing")
    {
        ConfigVersion fullReader = config;
        REQUIRE(applyRecord(fullReader, 5, snapshot).outcome == ApplyOutcome::Effective);
        REQUIRE(fullReader.snapshotOffset == 5);
        fullReader.offset = config.offset;
        REQUIRE(configDigest(fullReader) == configDigest(config));
    }
    SECTION("after any other record it has no effect")
    {
        ConfigVersion fullReader = config;
        applyRecord(fullReader, 5, json(withdrawal("key", "k", "2")));
        const std::string digest = configDigest(fullReader);
        REQUIRE(applyRecord(fullReader, 6, snapshot).outcome == ApplyOutcome::Rejected);
        REQUIRE_FALSE(fullReader.keys.contains("k"));
        fullReader.offset = 5;
        REQUIRE(configDigest(fullReader) == digest);
    }
    SECTION("a reader that starts at the snapshot agrees with one that read the whole stream")
    {
        ConfigVersion fullReader = config;
        applyRecord(fullReader, 5, snapshot);
        ConfigFold newReader;
        beginPage(newReader, 4);
        REQUIRE(advance(newReader, 4, json(records[4])).outcome == ApplyOutcome::HistoryMissing);
        REQUIRE_FALSE(newReader.complete);
        REQUIRE(advance(newReader, 5, snapshot).outcome == ApplyOutcome::Effective);
        REQUIRE(newReader.complete);
        REQUIRE(configDigest(newReader.config) == configDigest(fullReader));
        // The snapshot includes the withdrawal, so a late duplicate of the withdrawn record is still rejected.
        REQUIRE(advance(newReader, 6, json(records[1])).outcome == ApplyOutcome::Rejected);
        REQUIRE(advance(newReader, 3, json(records[3])).outcome == ApplyOutcome::AlreadyApplied);
    }
    SECTION("a withdrawal is included in one snapshot only, then removed by all readers")
    {
        ConfigVersion fullReader = config;
        applyRecord(fullReader, 5, snapshot);
        REQUIRE(findWorkspaceBySecret(fullReader, "x") == nullptr);
        REQUIRE(replaceableOffset(fullReader, {RecordKind::Workspace, "gone"}, 1) == Offset{3});
        applyRecord(fullReader, 6, writeSnapshot(fullReader));
        REQUIRE(replaceableOffset(fullReader, {RecordKind::Workspace, "gone"}, 1) == std::nullopt);
    }
}

TEST_CASE("malformed snapshots are rejected", "[config][parse]")
{
    const ConfigVersion config = applyAll({workspace("w", R"("spec":{})"), key("k", "w", hashA, "null")});
    struct Case
    {
        const char *what;
        void (*corrupt)(Json::Value &snapshot);
    };
    const Case cases[] = {
        {"unknown field",
         [](Json::Value &s) {
             s["x"] = 1;
         }},
        {"no entries",
         [](Json::Value &s) {
             s.removeMember("entries");
         }},
        {"entries of another type",
         [](Json::Value &s) {
             s["entries"] = "x";
         }},
        {"other schema version",
         [](Json::Value &s) {
             s["schemaVersion"] = 2;
         }},
        {"entry after upTo",
         [](Json::Value &s) {
             s["upTo"] = 0;
         }},
        {"entry without a record",
         [](Json::Value &s) {
             s["entries"][0].removeMember("record");
         }},
        {"entry that does not parse",
         [](Json::Value &s) {
             s["entries"][0]["record"]["spec"]["weight"] = "heavy";
         }},
        {"entries out of order",
         [](Json::Value &s) {
             s["entries"][0]["offset"] = 1;
             s["entries"][1]["offset"] = 0;
         }},
        {"the same offset twice",
         [](Json::Value &s) {
             s["entries"][1]["offset"] = 0;
         }},
    };
    for (const Case &c : cases) {
        Json::Value snapshot = writeSnapshot(config);
        c.corrupt(snapshot);
        Reason reason;
        INFO(c.what);
        REQUIRE_FALSE(readSnapshot(snapshot, 1, reason));
        ConfigVersion applied = config;
        REQUIRE(applyRecord(applied, 2, snapshot).outcome == ApplyOutcome::Rejected);
        REQUIRE(applied.keys.contains("k"));
    }
}

TEST_CASE("a snapshot is due well before the retention of the log ends", "[config]")
{
    struct Case
    {
        SnapshotConditions conditions;
        bool due;
    };
    const Duration retention = seconds(400);
    for (const Case &c : {Case{{std::nullopt, retention, false}, true},
                          {{seconds(99), retention, false}, false},
                          {{seconds(100), retention, false}, true},
                          {{seconds(100), retention, true}, false},
                          {{seconds(200), retention, true}, true}}) {
        REQUIRE(isSnapshotDue(c.conditions) == c.due);
    }
}
