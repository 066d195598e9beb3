#ifndef CAPERPATH_BUDGET_SHARE_RULES_HPP
#define CAPERPATH_BUDGET_SHARE_RULES_HPP

#include <caperpath/budget/share.hpp>

namespace caperpath::budget
{

/// The part of the share row that is certain: while a write that lowers it is
/// in progress or its response was lost, the lower values count. Thread safe.
share_row usable(share_state const& state);

/// The largest reservation that may be admitted now. Thread safe.
token_count reservable(share_state const& state);

/// True if this router has not written a share row yet. Thread safe.
bool is_newcomer(share_state const& state);

/// Tokens to hold free: the need of the horizon's traffic, at least the spare
/// tokens, or the allocated target if there is one. Thread safe.
token_count tokens_ahead(share_state const& state);

/// The maximum to hold ahead of need. @pre `state.seen`. Thread safe.
token_count most_ahead(share_state const& state);

/// Idle tokens to return for other routers. @pre `state.seen`. Thread safe.
token_count surplus(share_state const& state, instant now);

/// Tokens to draw while no reservation waits; 0 if a draw is not worth its
/// write. @pre `state.seen`. Thread safe.
token_count refill(share_state const& state, instant now);

/// True if tokens may be moved while no reservation waits for them. Thread
/// safe.
bool may_reallocate(share_state const& state, instant now);

} // namespace caperpath::budget

#endif
