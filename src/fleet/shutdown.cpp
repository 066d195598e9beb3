#include <caperpath/fleet/shutdown.hpp>

#include <algorithm>

namespace caperpath::fleet
{

namespace
{

/// The load balancer probes once a second and removes a router after two failed
/// probes, so within two seconds; this leaves a margin of one second.
constexpr duration balancer_removal_time{3'000};
/// The stop counts from the time at which the signal was handled; it was sent
/// up to this much earlier.
constexpr duration max_signal_notice{250};
/// Time for the process to end by itself before it is killed.
constexpr duration max_exit_time{300};
/// Time after the last response: to transmit it to the caller, return the
/// request's unused tokens and write the log.
constexpr duration max_flush_time{500};
/// Returning shares takes two round trips to the store.
constexpr duration max_share_return_time{1'500};
/// With a short grace time, the exit takes at most 1/8 and the flush at most
/// 1/4 of it, and at least 1/4 of the time for responses lies after the removal
/// from the load balancer.
constexpr std::int64_t exit_divisor = 8;
constexpr std::int64_t flush_divisor = 4;
constexpr std::int64_t rotation_divisor = 4;
constexpr std::int64_t notice_divisor = 8;
/// Shares of the flush time: what a late event loop leaves of it at least, and
/// how much of it the return of shares may use.
constexpr std::int64_t min_flush_divisor = 5;
constexpr std::int64_t share_divisor = 2;
/// An event loop that keeps up runs its timer twice within this many intervals.
constexpr std::int64_t max_timer_intervals = 3;

duration fraction_of(duration span, std::int64_t divisor)
{
    return {span.ms / divisor};
}

} // namespace

instant signal_time(instant before_last, instant now, duration interval)
{
    // A signal and an overdue timer may be handled in any order, so the last
    // run of the timer may be later than the signal.
    auto const is_behind = now - before_last > interval * max_timer_intervals;
    return is_behind ? before_last : now;
}

shutdown_schedule schedule_shutdown(instant began, duration grace)
{
    auto const exit =
        grace - std::min(max_exit_time, fraction_of(grace, exit_divisor));
    auto const responses =
        exit - std::min(max_flush_time, fraction_of(grace, flush_divisor));
    auto const rotation =
        std::min(balancer_removal_time,
                 responses - fraction_of(responses, rotation_divisor));
    return {began, began + rotation, began + responses, began + exit};
}

bool may_begin(shutdown_schedule const& stop, instant now,
               std::optional<duration> expected, instant deadline)
{
    if (deadline <= stop.responses_due)
    {
        return now < stop.responses_due;
    }
    // From here on the request may outlive the process.
    auto const rotation = stop.out_of_rotation - stop.began;
    auto const notice =
        std::min(max_signal_notice, fraction_of(rotation, notice_divisor));
    return now < stop.out_of_rotation - notice &&
           (!expected || now + *expected <= stop.responses_due);
}

bool may_exit(shutdown_schedule const& stop, instant now,
              shutdown_work const& left)
{
    auto const flush = stop.exit_due - stop.responses_due;
    auto const earliest =
        stop.responses_due + fraction_of(flush, min_flush_divisor);
    if (now >= std::max(earliest, stop.exit_due - left.loop_delay))
    {
        return true;
    }
    if (left.requests || now < stop.out_of_rotation)
    {
        return false;
    }
    // New connections may keep arriving; those without a request need no
    // response.
    auto const connections = left.connections && now < stop.responses_due;
    // A store that does not respond must not use up the time of the exit.
    auto const shares_due =
        stop.responses_due + fraction_of(flush, share_divisor);
    auto const shares = left.returning_since && now < shares_due &&
                        now < *left.returning_since + max_share_return_time;
    return !connections && !shares;
}

} // namespace caperpath::fleet
