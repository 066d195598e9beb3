#include <caperpath/base/follow_pace.hpp>

#include <algorithm>

namespace caperpath
{

namespace
{

constexpr int most_doublings = 2;
constexpr int failures_to_read_anew = 2;
constexpr std::int64_t first_pause_ms = 50;
constexpr std::int64_t longest_pause_ms = 400;
constexpr int most_pause_doublings = 3;

} // namespace

duration answer_limit(duration usual, int failures)
{
    return {usual.ms << std::clamp(failures, 0, most_doublings)};
}

duration retry_pause(int failures, std::size_t salt)
{
    auto const doublings = std::clamp(failures - 1, 0, most_pause_doublings);
    auto const longest =
        std::min(longest_pause_ms, first_pause_ms << doublings);
    // The first retry may come at once, the later ones after half the pause.
    auto const least = failures > 1 ? longest / 2 : 0;
    auto const spread = static_cast<std::size_t>(longest - least);
    return {least + static_cast<std::int64_t>(salt % spread)};
}

duration next_hold(duration last, duration longest)
{
    return std::max(last, std::min(last + last, longest));
}

bool reads_anew(int failures)
{
    return failures >= failures_to_read_anew;
}

} // namespace caperpath
