#include <caperpath/request/retry.hpp>

#include <algorithm>

namespace caperpath::request
{

namespace
{

constexpr std::int64_t us_per_ms = 1'000;
constexpr duration min_backoff{10};
constexpr duration max_backoff{1'000};
constexpr int max_doublings = 7;
constexpr std::int64_t min_gap_count = 8;
constexpr duration min_retry_after{1'000};

} // namespace

retry_budget credit_request(retry_budget const& state)
{
    return {std::min(state.credit + retry_budget::percent,
                     retry_budget::max_credit)};
}

bool may_retry(retry_budget const& state)
{
    return state.credit >= retry_budget::cost;
}

retry_budget debit_retry(retry_budget const& state)
{
    return {state.credit - retry_budget::cost};
}

duration backoff(int attempt, std::uint64_t random)
{
    auto const doublings = std::clamp(attempt - 2, 0, max_doublings);
    auto const longest =
        std::min(min_backoff * (std::int64_t{1} << doublings), max_backoff);
    auto const half = longest.ms / 2;
    auto const width = static_cast<std::uint64_t>(longest.ms - half + 1);
    return {half + static_cast<std::int64_t>(random % width)};
}

duration spread_retry_after(duration most, std::uint64_t random)
{
    auto const longest = std::max(most, min_retry_after);
    auto const width =
        static_cast<std::uint64_t>(longest.ms - min_retry_after.ms + 1);
    return {min_retry_after.ms + static_cast<std::int64_t>(random % width)};
}

gap_tracker record_gap(gap_tracker const& state, duration gap)
{
    auto const decayed =
        state.largest_us - state.largest_us / gap_tracker::decay;
    auto const gap_us = std::max<std::int64_t>(gap.ms, 0) * us_per_ms;
    return {std::max(decayed, gap_us), state.gap_count + 1};
}

duration silence_timeout(gap_tracker const& state)
{
    if (state.gap_count < min_gap_count)
    {
        return gap_tracker::initial_timeout;
    }
    auto const bound =
        duration{state.largest_us / us_per_ms} * gap_tracker::gap_factor;
    return std::clamp(bound, gap_tracker::min_timeout,
                      gap_tracker::max_timeout);
}

} // namespace caperpath::request
