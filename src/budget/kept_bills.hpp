#ifndef CAPERPATH_SRC_BUDGET_KEPT_BILLS_HPP
#define CAPERPATH_SRC_BUDGET_KEPT_BILLS_HPP

#include <caperpath/base/error.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/store/table.hpp>

namespace caperpath::budget
{

/// Writes the unsettled bills of responses that a fenced holder kept into its
/// ledger. Several routers may call it at once. Thread safe; blocks. On an
/// error, call it again. @pre the holder is fenced
result<void> settle_kept_bills(store::port const& port,
                               incarnation_id const& holder);

} // namespace caperpath::budget

#endif
