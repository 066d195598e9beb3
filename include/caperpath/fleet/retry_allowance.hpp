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
/// If a router did not count another one, both would use the part of the latter
/// and the sum would exceed the limit. A router that counts n routers therefore
/// uses a part only
///
/// - while its view of the rows is younger than `view_lifetime(n)`;
/// - while its newest acknowledged heartbeat is younger than `lease_time`;
/// - after its row has existed for `view_lifetime(n)` and one window: each view
///   of n routers or fewer without it has expired, and the retries sent under
///   such a view are outside the window.
///
/// It counts each other router until one window after that router's lease
/// expired: until its row was read unchanged for that long, or was missing for
/// a window. Of all routers that use a part in one window, the one with the
/// lowest count therefore counts them all, and their parts add up to the
/// allowance at most. A router without enough information uses none. All times
/// are of a clock that includes time in suspend.
namespace caperpath::fleet
{

/// Tolerates two lost heartbeats.
inline constexpr duration lease_time{12'000};
/// Upper bound on the drift between two machines' clocks over these spans.
inline constexpr duration clock_margin{500};

/// How long a view that counts `sharers` routers may be used: the interval
/// between two reads of that many rows, and two failed reads. Thread safe.
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
