#ifndef CAPERPATH_BASE_LOOP_DELAY_HPP
#define CAPERPATH_BASE_LOOP_DELAY_HPP

#include <caperpath/base/clock.hpp>

#include <array>
#include <cstddef>
#include <optional>

/// Measures how far an event loop is behind, by how late it runs a timer.
/// Pure.
namespace caperpath
{

/// Number of runs that have to be late before a delay counts as lasting.
inline constexpr std::size_t lasting_runs = 4;

/// Value type.
struct loop_delay
{
    duration interval{}; ///< of the timer
    instant due{};       ///< when the timer is to run next
    instant ran{};       ///< when it ran last
    /// How long the events of the current turn of the loop can have waited.
    duration waited{};
    /// How late the latest runs were, in a ring.
    std::array<duration, lasting_runs> late{};
    std::size_t next{0}; ///< index of the oldest of them

    friend bool operator==(loop_delay const&, loop_delay const&) = default;
};

/// Starts to measure. Thread safe. @pre `interval` is positive.
loop_delay start_loop_delay(duration interval, instant now);

/// The state after the timer ran at `now`. Thread safe.
loop_delay note_timer_run(loop_delay of, instant now);

/// The state after a turn of the loop that began with the latest run of the
/// timer, which ended at `now`. Thread safe.
loop_delay note_turn(loop_delay of, instant now);

/// Upper bound of the time, to within the interval, for which an event that is
/// handled at `now` can have waited for the loop. Thread safe.
duration longest_wait(loop_delay const& of, instant now);

/// What is known of received bytes that were not handled yet. Immutable value.
struct unread_input
{
    duration since_read{}; ///< from the kernel
    /// Since the latest packet of the connection; empty if not known.
    std::optional<duration> since_packet;
    bool may_be_several_packets{false};

    friend bool operator==(unread_input const&, unread_input const&) = default;
};

/// How long the first of the bytes have waited; `longest` if nothing tells.
/// Thread safe.
duration unread_time(unread_input const& input, duration longest);

/// The delay that all of the latest runs had at least: 0 after a single pause,
/// positive while the loop has more work than time. Thread safe.
duration lasting_delay(loop_delay const& of);

/// How late a recent run was at most. Thread safe.
duration longest_recent_delay(loop_delay const& of);

} // namespace caperpath

#endif
