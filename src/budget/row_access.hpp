#ifndef CAPERPATH_BUDGET_ROW_ACCESS_HPP
#define CAPERPATH_BUDGET_ROW_ACCESS_HPP

#include <caperpath/base/error.hpp>
#include <caperpath/store/table.hpp>

#include <string>
#include <vector>

namespace caperpath::budget
{

/// How often a step is tried after conflicts and lost responses before it
/// fails. Each retry reads the rows again.
constexpr int max_attempts = 16;

/// The row of `key` among `rows`, with version 0 if it is missing. Thread safe.
store::row find_row(std::vector<store::row> const& rows,
                    std::string const& key);

/// All rows whose keys start with `prefix`, read in pages. Thread safe; blocks.
result<std::vector<store::row>> scan_all(store::port const& port,
                                         std::string const& prefix);

/// True if the store rejected the call without a failed condition, so that an
/// immediate retry is useless. Thread safe.
bool rejected_without_conflict(store::commit_result const& outcome);

} // namespace caperpath::budget

#endif
