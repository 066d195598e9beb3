#include <caperpath/fleet/service_times.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>

namespace caperpath::fleet
{

namespace
{

constexpr double bucket_ratio = 1.2;
constexpr duration half_life{30'000};
/// After this many half-lives an observation has no weight.
constexpr std::int64_t max_halvings = 64;
constexpr std::size_t max_routes = 1'000;
constexpr double high_quantile = 0.99;

std::size_t bucket_of(duration took)
{
    auto const ms = static_cast<double>(std::max<std::int64_t>(1, took.ms));
    auto const index = std::ceil(std::log(ms) / std::log(bucket_ratio));
    return std::min(static_cast<std::size_t>(index),
                    time_histogram::bucket_count - 1);
}

duration upper_bound_of(std::size_t bucket)
{
    return {static_cast<std::int64_t>(
        std::ceil(std::pow(bucket_ratio, static_cast<double>(bucket))))};
}

} // namespace

time_histogram observed(time_histogram before, duration took, instant now)
{
    auto const halvings = std::clamp<std::int64_t>(
        (now - before.halved_at).ms / half_life.ms, 0, max_halvings);
    if (halvings > 0)
    {
        auto const factor = std::ldexp(1.0F, -static_cast<int>(halvings));
        for (auto& weight : before.weights)
        {
            weight *= factor;
        }
        before.halved_at = now;
    }
    before.weights.at(bucket_of(took)) += 1;
    return before;
}

std::optional<duration> quantile_of(time_histogram const& times,
                                    double quantile)
{
    auto const& weights = times.weights;
    auto const total = std::accumulate(weights.begin(), weights.end(), 0.0);
    if (total <= 0)
    {
        return std::nullopt;
    }
    auto below = 0.0;
    for (std::size_t i = 0; i < weights.size(); ++i)
    {
        below += weights.at(i);
        if (below >= quantile * total)
        {
            return upper_bound_of(i);
        }
    }
    return upper_bound_of(weights.size() - 1);
}

void service_times::note(std::string const& route, duration took, instant now)
{
    if (this->routes.size() >= max_routes && !this->routes.contains(route))
    {
        this->evict_oldest();
    }
    auto& one = this->routes[route];
    one.times = observed(one.times, took, now);
    one.last_observed = now;
}

std::optional<duration>
service_times::usual_longest(std::string const& route) const
{
    auto const found = this->routes.find(route);
    if (found == this->routes.end())
    {
        return std::nullopt;
    }
    return quantile_of(found->second.times, high_quantile);
}

void service_times::evict_oldest()
{
    auto const oldest = std::min_element(
        this->routes.begin(), this->routes.end(),
        [](auto const& a, auto const& b)
        { return a.second.last_observed < b.second.last_observed; });
    this->routes.erase(oldest);
}

} // namespace caperpath::fleet
