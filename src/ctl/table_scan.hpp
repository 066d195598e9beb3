#ifndef CAPERPATH_SRC_CTL_TABLE_SCAN_HPP
#define CAPERPATH_SRC_CTL_TABLE_SCAN_HPP

#include <caperpath/store/table.hpp>

#include <string>
#include <vector>

namespace caperpath::ctl
{

/// Returns every row whose key starts with `prefix`, read page by page. Blocks.
result<std::vector<store::row>> scan_all(store::port const& port,
                                         std::string const& prefix);

} // namespace caperpath::ctl

#endif
