#ifndef CAPERPATH_BUDGET_ROW_ACCESS_HPP
#define CAPERPATH_BUDGET_ROW_ACCESS_HPP

#include <caperpath/base/error.hpp>
#include <caperpath/store/table.hpp>

#include <string>
#include <vector>

namespace caperpath::budget
{

/// How often a step is repeated after a conflict or a lost answer before the
/// caller is told. Each repeat reads the rows again.
constexpr int most_attempts = 16;

/// The row of `key` among `rows`, with version 0 when it is not there. Thread
/// safe.
store::row find_row(std::vector<store::row> const& rows,
                    std::string const& key);

/// Every row whose key starts with `prefix`, page by page. Thread safe; blocks.
result<std::vector<store::row>> scan_all(store::port const& port,
                                         std::string const& prefix);

/// True when repeating at once is of no use: the store turned the call away.
/// Thread safe.
bool is_turned_away(store::commit_result const& outcome);

} // namespace caperpath::budget

#endif
