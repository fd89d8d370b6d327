#pragma once

#include <version/recordparser.h>

#include <string>
#include <vector>

namespace snipehill
{

/** A record as one file declares it. */
struct Declaration
{
    std::string path;
    RecordFile file;
};

/** What is wrong with a file. */
struct FileProblem
{
    std::string path;
    std::string detail; //!< with the line or the field
};

/** All records of a directory. */
struct Declarations
{
    std::vector<Declaration> records;
    std::vector<FileProblem> problems;
};

/** Reads each *.json file of the directory and those below, in the order of their paths. Unreadable ones are problems. */
Declarations loadDeclarations(const std::string &directory);

/** Problems between files: objects declared twice and references to what is not declared. Does no I/O. */
std::vector<FileProblem> checkConsistency(const std::vector<Declaration> &records);

/** "path: detail" a line. */
std::string toText(const std::vector<FileProblem> &problems);

/** Array of objects with path and detail. */
Json::Value toJson(const std::vector<FileProblem> &problems);

} // namespace snipehill
