#include <caperpath/base/adaptive_timeout.hpp>

#include <algorithm>

namespace caperpath
{

namespace
{

constexpr duration min_timeout{200};
/// Single responses take several times as long as the mean.
constexpr double mean_multiple = 8;
constexpr double newest_weight = 0.2;
constexpr int max_doublings = 4;

} // namespace

duration next_call_timeout(adaptive_timeout const& of, duration longest)
{
    auto const doublings = std::min(of.unanswered, max_doublings);
    auto const usual = static_cast<std::int64_t>(of.usual_ms * mean_multiple);
    auto const wait = std::max(min_timeout.ms, usual) << doublings;
    return {std::min(longest.ms, wait)};
}

adaptive_timeout after_response(adaptive_timeout of, duration took)
{
    of.usual_ms += newest_weight * (static_cast<double>(took.ms) - of.usual_ms);
    of.unanswered = 0;
    return of;
}

adaptive_timeout after_timeout(adaptive_timeout of)
{
    of.unanswered += 1;
    return of;
}

} // namespace caperpath
