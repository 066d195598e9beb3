#ifndef CAPERPATH_BASE_STALL_DETECTOR_HPP
#define CAPERPATH_BASE_STALL_DETECTOR_HPP

#include <caperpath/base/clock.hpp>

#include <cstddef>

/// Distinguishes a slow response from a stalled one. A response may take as
/// long as its size requires if some of it arrives in each window of time. A
/// timeout of the whole transfer would discard the received bytes and fetch
/// them again, over a link that is already too slow.
namespace caperpath
{

/// Value type.
struct stall_detector
{
    duration longest_stall{}; ///< window in which `least_progress` must arrive
    instant since{};          ///< start of the current window
    std::size_t since_bytes{0}; ///< bytes that arrived in it

    friend bool operator==(stall_detector const&,
                           stall_detector const&) = default;
};

/// In bytes. A window with fewer counts as a stall.
inline constexpr std::size_t least_progress = 4'096;

/// Starts to watch a transfer. Thread safe. @pre `longest_stall` is positive.
stall_detector start_stall_detector(duration longest_stall, instant now);

/// The state after `bytes` arrived at `now`. Thread safe.
stall_detector arrived(stall_detector of, std::size_t bytes, instant now);

/// The time from which the transfer counts as stalled unless more bytes arrive.
/// Thread safe.
instant stall_deadline(stall_detector const& of);

} // namespace caperpath

#endif
