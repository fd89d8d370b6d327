#pragma once

#include <algorithm>
#include <fstream>
#include <string>
#include <vector>

namespace snipehill::bench
{

/** One line of a chart: values at x = 0, 1, 2, ... */
struct Series
{
    std::string name;
    std::vector<double> values;
};

/** Line chart with a y axis from 0 to 1. */
struct Chart
{
    std::string title;
    std::string xLabel;
    std::string yLabel;
    std::vector<Series> series;
};

/** Moving average over a window of values. */
inline std::vector<double> smooth(const std::vector<double> &values, std::size_t window)
{
    std::vector<double> result;
    double sum = 0;
    for (std::size_t i = 0; i < values.size(); ++i) {
        sum += values[i];
        sum -= i >= window ? values[i - window] : 0;
        result.push_back(sum / static_cast<double>(std::min(i + 1, window)));
    }
    return result;
}

/** Writes a chart as an SVG file. */
inline void writeSvg(const std::string &path, const Chart &chart)
{
    constexpr double left = 60;
    constexpr double top = 40;
    constexpr double width = 760;
    constexpr double height = 320;
    static const char *const colours[] = {"#888888", "#d08020", "#2060c0", "#30a050"};
    std::size_t length = 1;
    for (const Series &series : chart.series) {
        length = std::max(length, series.values.size());
    }
    std::ofstream file(path);
    file << R"(<svg xmlns="http://www.w3.org/2000/svg" width="860" height="440" font-family="sans-serif" font-size="12">)"
         << "\n<rect width=\"860\" height=\"440\" fill=\"white\"/>\n<text x=\"60\" y=\"22\" font-size=\"15\">" << chart.title << "</text>\n";
    for (int tick = 0; tick <= 5; ++tick) {
        const double y = top + height * (1 - tick / 5.0);
        const double x = left + width * tick / 5.0;
        file << "<line x1=\"60\" x2=\"820\" y1=\"" << y << "\" y2=\"" << y << "\" stroke=\"#dddddd\"/>\n"
             << "<text x=\"52\" y=\"" << y + 4 << "\" text-anchor=\"end\">" << tick / 5.0 << "</text>\n"
             << "<text x=\"" << x << "\" y=\"378\" text-anchor=\"middle\">" << length * static_cast<std::size_t>(tick) / 5 << "</text>\n";
    }
    file << "<text x=\"440\" y=\"396\" text-anchor=\"middle\">" << chart.xLabel
         << "</text>\n<text x=\"14\" y=\"200\" transform=\"rotate(-90 14 200)\" text-anchor=\"middle\">" << chart.yLabel << "</text>\n";
    for (std::size_t i = 0; i < chart.series.size(); ++i) {
        const Series &series = chart.series[i];
        const char *colour = colours[i % std::size(colours)];
        file << "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" << colour << "\" points=\"";
        for (std::size_t x = 0; x < series.values.size(); ++x) {
            file << left + width * static_cast<double>(x) / static_cast<double>(length) << ',' << top + height * (1 - std::clamp(series.values[x], 0.0, 1.0))
                 << ' ';
        }
        file << "\"/>\n<text x=\"" << 60 + 190 * i << "\" y=\"424\" fill=\"" << colour << "\">" << series.name << "</text>\n";
    }
    file << "</svg>\n";
}

} // namespace snipehill::bench
