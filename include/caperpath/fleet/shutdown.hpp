#ifndef CAPERPATH_FLEET_SHUTDOWN_HPP
#define CAPERPATH_FLEET_SHUTDOWN_HPP

#include <caperpath/base/clock.hpp>

#include <optional>

/// The deadlines of a planned stop. Every part of the process derives its own
/// from these, so that no work outlives what must finish it. Pure.
namespace caperpath::fleet
{

/// What a stop goes through, in this order. Immutable value.
struct shutdown_schedule
{
    instant began;           ///< not ready from here on
    instant out_of_rotation; ///< the load balancer has noticed
    instant answers_due;     ///< each request that was read has its answer
    instant exit_due;        ///< the process ends, whatever is left

    friend bool operator==(shutdown_schedule const&,
                           shutdown_schedule const&) = default;
};

/// What is left to do. Immutable value.
struct shutdown_work
{
    bool requests{false};    ///< read, or being read, without a final answer
    bool connections{false}; ///< open ones, idle or not
    /// Since when shares are being given back; nothing when all are.
    std::optional<instant> returning_since;

    friend bool operator==(shutdown_work const&,
                           shutdown_work const&) = default;
};

/// The stop of a process that gets SIGTERM at `began` and is killed `grace`
/// later. Thread safe. @pre `grace` is not negative.
shutdown_schedule schedule_shutdown(instant began, duration grace);

/// When a signal that is handled `now` came, at the earliest. An event loop
/// that is behind handles it late, and the time to the kill counts from the
/// signal. `before_last` is when the timer of `interval` ran the time before
/// last. Thread safe.
instant signal_time(instant before_last, instant now, duration interval);

/// True if a request that arrives `now` should be begun: it is expected to end,
/// after `expected`, or its own deadline ends it before the answers are due.
/// One of unknown length is begun while the balancer still sends requests here,
/// as its caller could be sent here again. Thread safe.
bool may_begin(shutdown_schedule const& stop, instant now,
               std::optional<duration> expected, instant deadline);

/// True when the process may end. Thread safe.
bool may_exit(shutdown_schedule const& stop, instant now,
              shutdown_work const& left);

} // namespace caperpath::fleet

#endif
