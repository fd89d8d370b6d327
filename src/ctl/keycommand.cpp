#include "command.h"

#include <core/ids.h>
#include <version/configversion.h>
#include <version/recordparser.h>

#include <json/writer.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>

namespace snipehill
{

namespace
{

constexpr std::size_t secretWordCount = 4; // 64 random bits each

std::string randomSecret()
{
    std::string secret = "snh_";
    for (std::size_t word = 0; word < secretWordCount; ++word) {
        std::array<char, 17> digits{};
        std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(randomId()));
        secret += digits.data();
    }
    return secret;
}

std::string keyRecordPath(const std::string &directory, const std::string &name)
{
    return directory + "/key-" + name + ".json";
}

Json::Value buildKeyRecord(const std::string &name)
{
    Json::Value record;
    record["kind"] = toString(RecordKind::Key);
    record["schemaVersion"] = newestSchemaVersion;
    record["name"] = name;
    return record;
}

/** Writes the record if it is valid, so that an invalid name or workspace is reported before the record is published. */
bool writeRecord(const std::string &path, const Json::Value &record, Reason &reason)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "    ";
    const std::string text = Json::writeString(builder, record) + "\n";
    if (!parseRecordFile(text, reason)) {
        return false;
    }
    std::ofstream file(path, std::ios::trunc);
    file << text;
    file.close();
    if (!file) {
        reason = {Step::Parse, "", path + ": can't be written"};
    }
    return !file.fail();
}

int createKey(const CommandOptions &options, const std::string &directory, const std::string &name)
{
    const std::string path = keyRecordPath(directory, name);
    if (options.workspace.empty()) {
        return failCommand(ExitUsage, "key create needs --workspace");
    }
    if (std::filesystem::exists(path)) {
        return failCommand(ExitFindings, path + " exists; a key keeps its secret, create one of another name");
    }
    const std::string secret = randomSecret();
    Json::Value record = buildKeyRecord(name);
    record["spec"]["workspace"] = options.workspace;
    record["spec"]["sha256"] = sha256Hex(secret);
    Reason reason;
    if (!writeRecord(path, record, reason)) {
        return failCommand(ExitFindings, reason.detail);
    }
    Json::Value report;
    report["path"] = path;
    report["secret"] = secret;
    printReport(options, report, secret + "\n");
    std::fprintf(stderr, "The secret is shown this once; %s holds its hash. Publish the directory to put the key in force.\n", path.c_str());
    return ExitSuccess;
}

int withdrawKey(const CommandOptions &options, const std::string &directory, const std::string &name)
{
    Json::Value record = buildKeyRecord(name);
    record["withdrawn"] = true;
    const std::string path = keyRecordPath(directory, name);
    Reason reason;
    if (!writeRecord(path, record, reason)) {
        return failCommand(ExitFindings, reason.detail);
    }
    Json::Value report;
    report["path"] = path;
    printReport(options, report, path + "\n");
    std::fprintf(stderr, "Publish the directory to take the key out of force.\n");
    return ExitSuccess;
}

} // namespace

int runKey(const CommandOptions &options)
{
    if (options.arguments.size() == 3 && options.arguments[0] == "create") {
        return createKey(options, options.arguments[1], options.arguments[2]);
    }
    if (options.arguments.size() == 3 && options.arguments[0] == "withdraw") {
        return withdrawKey(options, options.arguments[1], options.arguments[2]);
    }
    return failCommand(ExitUsage, "use: key create DIR NAME --workspace NAME, or key withdraw DIR NAME");
}

} // namespace snipehill
