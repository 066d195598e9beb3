#ifndef CAPERPATH_BASE_FOLLOW_BACKOFF_HPP
#define CAPERPATH_BASE_FOLLOW_BACKOFF_HPP

#include <caperpath/base/clock.hpp>

#include <cstddef>

/// Timeouts and backoff of a router that follows a table, after calls without a
/// response. Pure functions; `failures` is the number of such calls in a row.
namespace caperpath
{

/// How long to wait for the response to begin. `usual` suffices on a link that
/// is not saturated; the timeout grows, since on a saturated link every
/// response is late. Thread safe.
duration first_byte_timeout(duration usual, int failures);

/// The delay before the next call. It varies with `salt`, since routers whose
/// calls failed at the same moment would otherwise all retry at the same
/// moment. Thread safe.
duration retry_backoff(int failures, std::size_t salt);

/// How long the store may hold the next call for changes, after it held one for
/// `last` without any: twice as long, up to `longest`. After a lost call the
/// holds are short again, since the loss of a held call is noticed late. Thread
/// safe.
duration next_hold(duration last, duration longest);

/// True if the whole table should be read again. One lost call is no reason:
/// the store reports if the changes since a version are incomplete. After more
/// lost calls the changes may be larger than the table, since the store sends
/// each version of a row. Thread safe.
bool needs_full_read(int failures);

} // namespace caperpath

#endif
