#ifndef CAPERPATH_BUDGET_SHARE_RULES_HPP
#define CAPERPATH_BUDGET_SHARE_RULES_HPP

#include <caperpath/budget/share.hpp>

namespace caperpath::budget
{

/// The share row as far as it can be relied upon: while a write that lowers it
/// is under way or its answer was lost, the lower values count. Thread safe.
share_row usable(share_state const& state);

/// The largest reservation that may be admitted now. Thread safe.
token_count reservable(share_state const& state);

/// True before this router's first write of a share row. Thread safe.
bool is_newcomer(share_state const& state);

/// What the traffic of the horizon needs, and what a holder keeps beyond it.
/// Thread safe.
token_count tokens_ahead(share_state const& state);

/// The most to hold ahead of need. @pre `state.seen`. Thread safe.
token_count most_ahead(share_state const& state);

/// Idle tokens that another router has more use for. @pre `state.seen`. Thread
/// safe.
token_count surplus(share_state const& state, instant now);

/// Tokens worth a draw of their own, without anybody waiting; 0 if none. @pre
/// `state.seen`. Thread safe.
token_count refill(share_state const& state, instant now);

/// True when tokens may be moved without anybody waiting for them. Thread safe.
bool may_deal(share_state const& state, instant now);

} // namespace caperpath::budget

#endif
