#ifndef CAPERPATH_FLEET_RETRY_ALLOWANCE_HPP
#define CAPERPATH_FLEET_RETRY_ALLOWANCE_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/fleet/membership.hpp>

#include <cstdint>
#include <optional>

/// Divides the retry allowance of the fleet among the routers, without messages
/// other than their heartbeat rows. Pure.
///
/// A router's view is its latest read of the heartbeat rows; its count n is the
/// number of routers it counts in that view, itself included. It may use 1/n of
/// the allowance, its part. If two routers did not count each other, the sum of
/// the parts could exceed the allowance. Two rules prevent this, both with
/// `clock_margin` added to the window.
///
/// Another router is counted if its row changed within `lease_time` and one
/// window before the view, or if it was removed less than a window ago: before
/// that its lease has expired, and its retries are outside the window.
///
/// A router uses its part only
///
/// - while its view is younger than `view_lifetime(n)`;
/// - while its newest acknowledged heartbeat is younger than `lease_time`;
/// - after its row has existed for `view_lifetime(n)` and one window: each view
///   of n routers or fewer without it has expired, and the retries sent under
///   such a view are outside the window.
///
/// Of all routers that use a part in one window, the one with the lowest count
/// therefore counts them all, and their parts add up to the allowance at most.
/// A router without enough information uses none. All times are of a clock that
/// includes time in suspend.
namespace caperpath::fleet
{

/// Three heartbeat intervals: after two lost heartbeats the lease lapses only
/// until the third is acknowledged.
inline constexpr duration lease_time{12'000};
/// Upper bound on the drift between two machines' clocks over these spans.
inline constexpr duration clock_margin{500};

/// How long a view that counts `sharers` routers may be used:
/// `read_pause_per_member` for each and three heartbeat intervals. This is at
/// least the interval between two reads of that many rows, plus two failed
/// reads. Thread safe.
duration view_lifetime(std::int64_t sharers);

/// The lease that a router's own heartbeat row gives it. Immutable value.
struct retry_allowance_lease
{
    std::optional<instant> held_since; ///< response to the first heartbeat
    instant renewed_at{}; ///< send time of the newest acknowledged one

    friend bool operator==(retry_allowance_lease const&,
                           retry_allowance_lease const&) = default;
};

/// The lease after the store acknowledged the heartbeat `beat`. It begins anew
/// after a gap in which others may have stopped counting this router. Thread
/// safe.
retry_allowance_lease renewed(retry_allowance_lease const& before,
                              call_times const& beat, duration window);

/// The number of routers that divide the retry allowance of a `window`, `self`
/// included; 0 if `self` may use none now. Thread safe.
std::int64_t retry_allowance_sharers(membership const& known,
                                     retry_allowance_lease const& own,
                                     incarnation_id const& self,
                                     duration window, instant now);

} // namespace caperpath::fleet

#endif
