#include "declarations.h"

#include "changes.h"

#include <version/configapply.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace snipehill
{

namespace
{

constexpr std::uintmax_t maxRecordFileBytes = 1U << 20U;

std::vector<std::string> findRecordFiles(const std::string &directory, std::vector<FileProblem> &problems)
{
    std::vector<std::string> paths;
    std::error_code error;
    std::filesystem::recursive_directory_iterator at(directory, error);
    for (; !error && at != std::filesystem::recursive_directory_iterator(); at.increment(error)) {
        if (at->is_regular_file() && at->path().extension() == ".json") {
            paths.push_back(at->path().string());
        }
    }
    if (error) {
        problems.push_back({directory, error.message()});
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

std::optional<RecordFile> readRecord(const std::string &path, std::string &problem)
{
    std::error_code error;
    const std::ifstream file(path, std::ios::binary);
    if (!file || std::filesystem::file_size(path, error) > maxRecordFileBytes || error) {
        problem = "can't be read, or is larger than 1 MiB";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    Reason reason;
    auto record = parseRecordFile(text.str(), reason);
    problem = reason.detail;
    return record;
}

} // namespace

Declarations loadDeclarations(const std::string &directory)
{
    Declarations declarations;
    for (const std::string &path : findRecordFiles(directory, declarations.problems)) {
        std::string problem;
        if (auto record = readRecord(path, problem)) {
            declarations.records.push_back({path, std::move(*record)});
        } else {
            declarations.problems.push_back({path, problem});
        }
    }
    return declarations;
}

std::vector<FileProblem> checkConsistency(const std::vector<Declaration> &records)
{
    std::vector<FileProblem> problems;
    std::map<std::pair<ObjectName, int>, std::string> seen;
    std::vector<Declaration> unique;
    for (const Declaration &declaration : records) {
        const RecordEnvelope &envelope = declaration.file.envelope;
        const auto [first, fresh] = seen.emplace(std::pair(envelope.object, envelope.schemaVersion), declaration.path);
        if (fresh) {
            unique.push_back(declaration);
        } else {
            problems.push_back({declaration.path, toText(envelope.object) + " is declared in " + first->second + " too"});
        }
    }
    // Applies all records to an empty configuration, which rejects references to objects that don't exist.
    for (const FileProblem &problem : findRejectedChanges(ConfigVersion{}, planChanges(unique, ConfigVersion{}, false))) {
        problems.push_back(problem);
    }
    return problems;
}

std::string toText(const std::vector<FileProblem> &problems)
{
    std::string text;
    for (const FileProblem &problem : problems) {
        text.append(problem.path).append(": ").append(problem.detail).append("\n");
    }
    return text;
}

Json::Value toJson(const std::vector<FileProblem> &problems)
{
    Json::Value list(Json::arrayValue);
    for (const FileProblem &problem : problems) {
        Json::Value entry;
        entry["path"] = problem.path;
        entry["detail"] = problem.detail;
        list.append(std::move(entry));
    }
    return list;
}

} // namespace snipehill
