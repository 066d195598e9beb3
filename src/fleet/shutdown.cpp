#include <caperpath/fleet/shutdown.hpp>

#include <algorithm>

namespace caperpath::fleet
{

namespace
{

/// The balancer asks once a second and takes a router out after two misses.
constexpr duration balancer_notices{3'000};
/// For the process to end by itself before it is killed.
constexpr duration longest_exit{300};
/// After the last answer: it reaches its caller, the tokens that its request
/// did not use are given back, the log is written.
constexpr duration longest_settling{500};
/// Giving shares back takes two round trips to the store.
constexpr duration longest_return{1'500};
/// Parts of a grace time that is too short for the spans above.
constexpr std::int64_t exit_part = 8;
constexpr std::int64_t settling_part = 4;
constexpr std::int64_t serving_part = 4;
/// A loop that keeps up ran its timer twice within so many intervals.
constexpr std::int64_t usual_intervals = 3;

duration part(duration span, std::int64_t parts)
{
    return {span.ms / parts};
}

} // namespace

instant signal_time(instant before_last, instant now, duration interval)
{
    // A signal and an overdue timer may be handled in any order, so the last
    // time the timer ran can be later than the signal.
    auto const is_behind = now - before_last > interval * usual_intervals;
    return is_behind ? before_last : now;
}

shutdown_schedule schedule_shutdown(instant began, duration grace)
{
    auto const exit = grace - std::min(longest_exit, part(grace, exit_part));
    auto const answers =
        exit - std::min(longest_settling, part(grace, settling_part));
    auto const rotation =
        std::min(balancer_notices, answers - part(answers, serving_part));
    return {began, began + rotation, began + answers, began + exit};
}

bool may_begin(shutdown_schedule const& stop, instant now,
               std::optional<duration> expected, instant deadline)
{
    if (!expected && now < stop.out_of_rotation)
    {
        return true;
    }
    auto const end = expected ? std::min(now + *expected, deadline) : deadline;
    return now < stop.answers_due && end <= stop.answers_due;
}

bool may_exit(shutdown_schedule const& stop, instant now,
              shutdown_work const& left)
{
    if (now >= stop.exit_due)
    {
        return true;
    }
    if (left.requests || now < stop.out_of_rotation)
    {
        return false;
    }
    // New connections may keep coming; those without a request are not owed an
    // answer.
    auto const connections = left.connections && now < stop.answers_due;
    auto const shares =
        left.returning_since && now < *left.returning_since + longest_return;
    return !connections && !shares;
}

} // namespace caperpath::fleet
