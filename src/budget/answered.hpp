#ifndef CAPERPATH_SRC_BUDGET_ANSWERED_HPP
#define CAPERPATH_SRC_BUDGET_ANSWERED_HPP

#include <caperpath/base/error.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/store/table.hpp>

namespace caperpath::budget
{

/// Brings the bills of answers that a fenced holder kept, and did not live to
/// settle, into its ledger; see `answered_key`. Several routers may do it at
/// once. Thread safe; blocks. On an error, repeat it. @pre the holder is fenced
result<void> settle_answered(store::port const& port,
                             incarnation_id const& holder);

} // namespace caperpath::budget

#endif
