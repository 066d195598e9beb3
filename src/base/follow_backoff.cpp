#include <caperpath/base/follow_backoff.hpp>

#include <algorithm>

namespace caperpath
{

namespace
{

constexpr int max_timeout_doublings = 2;
constexpr int failures_to_full_read = 2;
constexpr std::int64_t first_delay_ms = 50;
constexpr std::int64_t max_delay_ms = 400;
constexpr int max_delay_doublings = 3;

} // namespace

duration first_byte_timeout(duration usual, int failures)
{
    return {usual.ms << std::clamp(failures, 0, max_timeout_doublings)};
}

duration retry_backoff(int failures, std::size_t salt)
{
    auto const doublings = std::clamp(failures - 1, 0, max_delay_doublings);
    auto const longest = std::min(max_delay_ms, first_delay_ms << doublings);
    // The first retry may follow at once, later ones after half the delay.
    auto const shortest = failures > 1 ? longest / 2 : 0;
    auto const spread = static_cast<std::size_t>(longest - shortest);
    return {shortest + static_cast<std::int64_t>(salt % spread)};
}

duration next_hold(duration last, duration longest)
{
    return std::max(last, std::min(last + last, longest));
}

bool needs_full_read(int failures)
{
    return failures >= failures_to_full_read;
}

} // namespace caperpath
