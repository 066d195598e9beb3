#ifndef CAPERPATH_FLEET_SHUTDOWN_HPP
#define CAPERPATH_FLEET_SHUTDOWN_HPP

#include <caperpath/base/clock.hpp>

#include <optional>

/// The deadlines of a planned stop. Every part of the process derives its own
/// deadlines from these, so that no work outlives the part that must finish it.
/// Pure.
namespace caperpath::fleet
{

/// The stages of a stop, in this order. Immutable value.
struct shutdown_schedule
{
    instant began;           ///< reports not ready from here on
    instant out_of_rotation; ///< the load balancer sends no more requests
    instant responses_due;   ///< each request that was read has its response
    instant exit_due;        ///< the process ends even with work left

    friend bool operator==(shutdown_schedule const&,
                           shutdown_schedule const&) = default;
};

/// The remaining work. Immutable value.
struct shutdown_work
{
    bool requests{false};    ///< read, or being read, without a final response
    bool connections{false}; ///< open ones, idle or not
    /// The time from which the wait for the return of shares counts; empty once
    /// all are returned.
    std::optional<instant> returning_since;
    /// How late the event loop runs: the process ends earlier by as much, but
    /// not before responses are due.
    duration loop_delay{};

    friend bool operator==(shutdown_work const&,
                           shutdown_work const&) = default;
};

/// The stop of a process that gets SIGTERM at `began` and is killed `grace`
/// later. Thread safe. @pre `grace` is not negative.
shutdown_schedule schedule_shutdown(instant began, duration grace);

/// The time at which to assume that a signal handled `now` arrived: `now`, or,
/// if the event loop is late, `before_last`, the time of the second last run of
/// its timer with period `interval`. The time to the kill counts from the
/// signal. Thread safe.
instant signal_time(instant before_last, instant now, duration interval);

/// True if a request that arrives `now` should be started. One whose deadline
/// lies before responses are due is. A later one could be cut: it is started
/// only while the load balancer still sends requests here, since a retry could
/// arrive here again, and unless it is expected to end, after `expected`, when
/// responses are due already. An estimate alone does not count after that: a
/// request that takes longer than those before would be lost, where a rejection
/// costs its caller a retry at another router. Thread safe.
bool may_begin(shutdown_schedule const& stop, instant now,
               std::optional<duration> expected, instant deadline);

/// True if the process may end. Thread safe.
bool may_exit(shutdown_schedule const& stop, instant now,
              shutdown_work const& left);

} // namespace caperpath::fleet

#endif
