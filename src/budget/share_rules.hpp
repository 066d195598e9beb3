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

} // namespace caperpath::budget

#endif
