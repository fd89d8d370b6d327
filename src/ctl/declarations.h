#pragma once

#include <version/recordparser.h>

#include <string>
#include <vector>

namespace snipehill
{

/** A record and the file that declares it. */
struct Declaration
{
    std::string path;
    RecordFile file;
};

/** An error in a record file. */
struct FileProblem
{
    std::string path;
    std::string detail; //!< names the line or the field
};

/** The records of a directory, and the errors of the files that could not be read. */
struct Declarations
{
    std::vector<Declaration> records;
    std::vector<FileProblem> problems;
};

/** Reads all *.json files in the directory and its subdirectories, ordered by path. Files that can't be read or parsed are reported as problems. */
Declarations loadDeclarations(const std::string &directory);

/** Finds errors across files: objects declared more than once and references to undeclared objects. Does no I/O. */
std::vector<FileProblem> checkConsistency(const std::vector<Declaration> &records);

/** Formats each problem as a line "path: detail". */
std::string toText(const std::vector<FileProblem> &problems);

/** Returns an array of objects with path and detail. */
Json::Value toJson(const std::vector<FileProblem> &problems);

} // namespace snipehill
