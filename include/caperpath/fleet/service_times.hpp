#ifndef CAPERPATH_FLEET_SERVICE_TIMES_HPP
#define CAPERPATH_FLEET_SERVICE_TIMES_HPP

#include <caperpath/base/clock.hpp>

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

/// How long requests of a route take, from what was observed lately.
namespace caperpath::fleet
{

/// Counts by duration in buckets of a constant ratio; older observations count
/// less. Immutable value.
struct time_histogram
{
    static constexpr std::size_t bucket_count = 72;

    std::array<float, bucket_count> weights{};
    instant halved_at{};

    friend bool operator==(time_histogram const&,
                           time_histogram const&) = default;
};

/// `before` with one more request that took `took`. Thread safe.
time_histogram observed(time_histogram before, duration took, instant now);

/// A duration that the part `quantile` (0 to 1) of the requests did not exceed,
/// up to a quarter more; nothing without an observation. Thread safe.
std::optional<duration> quantile_of(time_histogram const& times,
                                    double quantile);

/// The histograms of all routes that served a request lately. Bounded: the
/// route that was not seen for longest makes room. Not thread safe.
class service_times
{
public:
    /// A request of `route` was served in `took`.
    void note(std::string const& route, duration took, instant now);

    /// How long all but a few requests of `route` take; nothing if none was
    /// seen.
    std::optional<duration> usual_longest(std::string const& route) const;

private:
    struct seen
    {
        time_histogram times;
        instant last{};
    };

    void make_room();

    std::map<std::string, seen> routes;
};

} // namespace caperpath::fleet

#endif
