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
struct transfer_watch
{
    duration longest_stall{}; ///< window in which `least_progress` must arrive
    instant since{};          ///< start of the current window
    std::size_t since_bytes{0}; ///< bytes that arrived in it

    friend bool operator==(transfer_watch const&,
                           transfer_watch const&) = default;
};

/// In bytes. A window with fewer counts as a stall.
inline constexpr std::size_t least_progress = 4'096;

/// Starts to watch a transfer. Thread safe. @pre `longest_stall` is positive.
transfer_watch watch_transfer(duration longest_stall, instant now);

/// The state after `bytes` arrived at `now`. Thread safe.
transfer_watch arrived(transfer_watch of, std::size_t bytes, instant now);

/// The time from which the transfer counts as stalled unless more bytes arrive.
/// Thread safe.
instant stalled_at(transfer_watch const& of);

} // namespace caperpath

#endif
