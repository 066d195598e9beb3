#ifndef CAPERPATH_BASE_TRANSFER_WATCH_HPP
#define CAPERPATH_BASE_TRANSFER_WATCH_HPP

#include <caperpath/base/clock.hpp>

#include <cstddef>

/// Tells an answer that arrives slowly from one that has stalled. An answer may
/// take as long as its size needs, as long as each stretch of time brings some
/// of it. A limit on the whole transfer would throw away what has arrived and
/// fetch it again, over a link that is too slow already.
namespace caperpath
{

/// Value type.
struct transfer_watch
{
    duration longest_stall{};   ///< in which `least_progress` must arrive
    instant since{};            ///< begin of the current stretch
    std::size_t since_bytes{0}; ///< that arrived in it

    friend bool operator==(transfer_watch const&,
                           transfer_watch const&) = default;
};

/// Less than this in a stretch is a trickle, which counts as a stall.
inline constexpr std::size_t least_progress = 4'096;

/// Thread safe. @pre `longest_stall` is positive.
transfer_watch watch_transfer(duration longest_stall, instant now);

/// Thread safe. `bytes` arrived at `now`.
transfer_watch arrived(transfer_watch of, std::size_t bytes, instant now);

/// Thread safe. When the transfer counts as stalled unless more arrives.
instant stalled_at(transfer_watch const& of);

} // namespace caperpath

#endif
