#include <caperpath/request/retry.hpp>

#include <algorithm>

namespace caperpath::request
{

namespace
{

constexpr std::int64_t us_per_ms = 1'000;
constexpr duration first_backoff{10};
constexpr duration longest_backoff{1'000};
constexpr int most_doublings = 7;
constexpr std::int64_t gaps_before_trust = 8;
constexpr duration least_retry_after{1'000};

} // namespace

retry_budget earned(retry_budget const& state)
{
    return {std::min(state.credit + retry_budget::percent, retry_budget::most)};
}

bool may_retry(retry_budget const& state)
{
    return state.credit >= retry_budget::cost;
}

retry_budget spent(retry_budget const& state)
{
    return {state.credit - retry_budget::cost};
}

duration backoff(int attempt, std::uint64_t random)
{
    auto const doublings = std::clamp(attempt - 2, 0, most_doublings);
    auto const longest = std::min(
        first_backoff * (std::int64_t{1} << doublings), longest_backoff);
    auto const half = longest.ms / 2;
    auto const width = static_cast<std::uint64_t>(longest.ms - half + 1);
    return {half + static_cast<std::int64_t>(random % width)};
}

duration spread_retry_after(duration most, std::uint64_t random)
{
    auto const longest = std::max(most, least_retry_after);
    auto const width =
        static_cast<std::uint64_t>(longest.ms - least_retry_after.ms + 1);
    return {least_retry_after.ms + static_cast<std::int64_t>(random % width)};
}

gap_tracker observed(gap_tracker const& state, duration gap)
{
    auto const faded = state.largest_us - state.largest_us / gap_tracker::decay;
    auto const gap_us = std::max<std::int64_t>(gap.ms, 0) * us_per_ms;
    return {std::max(faded, gap_us), state.seen + 1};
}

duration silence_bound(gap_tracker const& state)
{
    if (state.seen < gaps_before_trust)
    {
        return gap_tracker::initial_bound;
    }
    auto const bound =
        duration{state.largest_us / us_per_ms} * gap_tracker::gap_factor;
    return std::clamp(bound, gap_tracker::least, gap_tracker::most);
}

} // namespace caperpath::request
