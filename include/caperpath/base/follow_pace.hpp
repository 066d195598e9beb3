#ifndef CAPERPATH_BASE_FOLLOW_PACE_HPP
#define CAPERPATH_BASE_FOLLOW_PACE_HPP

#include <caperpath/base/clock.hpp>

#include <cstddef>

/// How a router that follows a table goes on after calls without an answer.
/// Pure functions of the number of such calls in a row.
namespace caperpath
{

/// How long to wait for the answer to begin, where `usual` is enough on a link
/// with room. It grows, since on a full link every answer is late. Thread safe.
duration answer_limit(duration usual, int failures);

/// The pause before the next call. It differs by `salt`: routers that lost
/// their calls at the same moment would all come back at another one. Thread
/// safe.
duration retry_pause(int failures, std::size_t salt);

/// How long the store is to hold the next call for changes, after it held one
/// for `last` without any: twice as long, up to `longest`. Short calls follow a
/// lost one, since a held call may be lost unnoticed while the store is in
/// trouble. Thread safe.
duration next_hold(duration last, duration longest);

/// True when the table is to be read whole again. A single lost call is no
/// reason: the store tells when the changes since a version are incomplete.
/// After more of them the changes may be larger than the table, since the store
/// gives each version of a row. Thread safe.
bool reads_anew(int failures);

} // namespace caperpath

#endif
