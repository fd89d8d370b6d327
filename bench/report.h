#pragma once

#include <json/json.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

namespace snipehill::bench
{

/** Row of a result table: a label and named values. */
struct Row
{
    std::string label;
    std::vector<std::pair<std::string, double>> values;
};

/** Prints tables and appends their rows as JSON lines to the file given by --json. */
class Report
{
public:
    Report(std::string name, int argc, char **argv) : m_name(std::move(name))
    {
        for (int i = 1; i + 1 < argc; ++i) {
            if (std::string(argv[i]) == "--json") {
                m_path = argv[i + 1];
            }
        }
    }

    void table(const std::string &title, const std::vector<Row> &rows) const
    {
        std::printf("\n%s: %s\n", m_name.c_str(), title.c_str());
        if (rows.empty()) {
            return;
        }
        std::printf("%-44s", "");
        for (const auto &[name, value] : rows.front().values) {
            std::printf(" %12s", name.c_str());
        }
        std::printf("\n");
        for (const Row &row : rows) {
            std::printf("%-44s", row.label.c_str());
            for (const auto &[name, value] : row.values) {
                std::printf(" %12.4g", value);
            }
            std::printf("\n");
            writeJson(title, row);
        }
        std::fflush(stdout);
    }

private:
    void writeJson(const std::string &title, const Row &row) const
    {
        if (m_path.empty()) {
            return;
        }
        Json::Value line;
        line["bench"] = m_name;
        line["table"] = title;
        line["label"] = row.label;
        for (const auto &[name, value] : row.values) {
            line["figures"][name] = value;
        }
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        std::ofstream(m_path, std::ios::app) << Json::writeString(builder, line) << '\n';
    }

    std::string m_name;
    std::string m_path;
};

} // namespace snipehill::bench
