#ifndef CAPERPATH_BENCH_CAPACITY_SERIES_HPP
#define CAPERPATH_BENCH_CAPACITY_SERIES_HPP

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

/// Measured series, the lines through them, and how they are printed.
namespace caperpath::bench
{

/// One measurement: `value` at `size`.
struct point
{
    double size{};
    double value{};

    friend bool operator==(point const&, point const&) = default;
};

/// value = intercept + slope * size.
struct line
{
    double slope{};
    double intercept{};
    /// Of a measured point from the line, as a part of the measured value.
    double largest_relative_error{};

    friend bool operator==(line const&, line const&) = default;
};

/// A line is called linear when no point is further from it than this. Medians
/// on a shared machine repeat within about a tenth.
inline constexpr double linear_within = 0.15;

/// The least-squares line of relative residuals: sizes span three decades, and
/// with absolute residuals the largest point alone would decide. Thread safe.
/// @pre at least two points of different size, none with value 0
line fit(std::vector<point> const& points);

/// One quantity measured at several sizes.
struct series
{
    std::string part;
    std::string name;
    std::string size_unit; ///< what is counted
    std::string unit;      ///< of the values
    std::vector<point> points;
};

/// One quantity measured at one size.
struct figure
{
    std::string part;
    std::string name;
    std::string unit;
    double value{};
};

struct report
{
    std::vector<series> lines;
    std::vector<figure> figures;
};

/// Thread safe. Machine-readable and human-readable forms.
nlohmann::json to_json(report const& all);
std::string to_text(report const& all);

/// The median. @pre not empty
double median(std::vector<double> values);

/// The value that `part` (0 to 1) of all values do not exceed. @pre not empty
double quantile(std::vector<double> values, double part);

} // namespace caperpath::bench

#endif
