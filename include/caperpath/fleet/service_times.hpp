#ifndef CAPERPATH_FLEET_SERVICE_TIMES_HPP
#define CAPERPATH_FLEET_SERVICE_TIMES_HPP

#include <caperpath/base/clock.hpp>

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

/// Service times of each route, from recent observations.
namespace caperpath::fleet
{

/// Weighted counts of durations in buckets of a constant ratio; the weight of
/// an observation decays with its age. Immutable value.
struct time_histogram
{
    /// At a ratio of 1.2 the last bucket is at seven minutes.
    static constexpr std::size_t bucket_count = 72;

    std::array<float, bucket_count> weights{};
    instant halved_at{};

    friend bool operator==(time_histogram const&,
                           time_histogram const&) = default;
};

/// Returns `before` with an added observation of `took`. Thread safe.
time_histogram observed(time_histogram before, duration took, instant now);

/// The `quantile` (0 to 1) of the durations, overestimated by at most a fifth
/// and 1 ms. Durations above seven minutes (the last bucket) count as that
/// long. Empty without observations. Thread safe.
std::optional<duration> quantile_of(time_histogram const& times,
                                    double quantile);

/// The histograms of the routes that recently served a request. Bounded: evicts
/// the route with the oldest latest observation. Not thread safe.
class service_times
{
public:
    /// Records that a request of `route` was served in `took`.
    void note(std::string const& route, duration took, instant now);

    /// The 99th percentile of the service times of `route`; empty if none was
    /// recorded.
    std::optional<duration> usual_longest(std::string const& route) const;

private:
    struct route_times
    {
        time_histogram times;
        instant last_observed{};
    };

    void evict_oldest();

    std::map<std::string, route_times> routes;
};

} // namespace caperpath::fleet

#endif
