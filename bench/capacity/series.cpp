#include "capacity/series.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <utility>

namespace caperpath::bench
{

namespace
{

constexpr double percent = 100;
constexpr double half = 0.5;

double worst_error(std::vector<point> const& points, line const& through)
{
    double worst = 0;
    for (auto const& one : points)
    {
        auto const expected = through.intercept + through.slope * one.size;
        auto const off = std::abs(one.value - expected) / std::abs(one.value);
        worst = std::max(worst, off);
    }
    return worst;
}

bool is_linear(line const& through)
{
    return through.largest_relative_error <= linear_within;
}

nlohmann::json to_json(series const& one)
{
    auto const through = fit(one.points);
    nlohmann::json points = nlohmann::json::array();
    for (auto const& measured : one.points)
    {
        points.push_back({{"size", measured.size}, {"value", measured.value}});
    }
    return {{"part", one.part},
            {"name", one.name},
            {"size_unit", one.size_unit},
            {"unit", one.unit},
            {"points", std::move(points)},
            {"slope", through.slope},
            {"intercept", through.intercept},
            {"largest_relative_error", through.largest_relative_error},
            {"linear", is_linear(through)}};
}

void print(std::ostream& out, series const& one)
{
    auto const through = fit(one.points);
    out << one.part << ": " << one.name << " [" << one.unit << "]\n";
    for (auto const& measured : one.points)
    {
        out << "    " << measured.size << ' ' << one.size_unit << ": "
            << measured.value << '\n';
    }
    out << "    = " << through.intercept << " + " << through.slope
        << " each, largest error "
        << std::round(through.largest_relative_error * percent) << "%"
        << (is_linear(through) ? "" : ", NOT LINEAR") << '\n';
}

} // namespace

line fit(std::vector<point> const& points)
{
    double weights = 0;
    double sizes = 0;
    double values = 0;
    for (auto const& one : points)
    {
        auto const weight = 1 / (one.value * one.value);
        weights += weight;
        sizes += weight * one.size;
        values += weight * one.value;
    }
    auto const mean_size = sizes / weights;
    auto const mean_value = values / weights;
    double covariance = 0;
    double variance = 0;
    for (auto const& one : points)
    {
        auto const weight = 1 / (one.value * one.value);
        auto const off = one.size - mean_size;
        covariance += weight * off * (one.value - mean_value);
        variance += weight * off * off;
    }
    line through;
    through.slope = covariance / variance;
    through.intercept = mean_value - through.slope * mean_size;
    through.largest_relative_error = worst_error(points, through);
    return through;
}

nlohmann::json to_json(report const& all)
{
    nlohmann::json lines = nlohmann::json::array();
    for (auto const& one : all.lines)
    {
        lines.push_back(to_json(one));
    }
    nlohmann::json figures = nlohmann::json::array();
    for (auto const& one : all.figures)
    {
        figures.push_back({{"part", one.part},
                           {"name", one.name},
                           {"unit", one.unit},
                           {"value", one.value}});
    }
    return {{"lines", std::move(lines)}, {"figures", std::move(figures)}};
}

std::string to_text(report const& all)
{
    std::ostringstream out;
    out << std::setprecision(4);
    for (auto const& one : all.lines)
    {
        print(out, one);
    }
    for (auto const& one : all.figures)
    {
        out << one.part << ": " << one.name << " = " << one.value << ' '
            << one.unit << '\n';
    }
    return out.str();
}

double median(std::vector<double> values)
{
    return quantile(std::move(values), half);
}

double quantile(std::vector<double> values, double part)
{
    auto const last = static_cast<double>(values.size() - 1);
    auto const index = static_cast<std::ptrdiff_t>(std::round(last * part));
    auto const at = values.begin() + index;
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

} // namespace caperpath::bench
